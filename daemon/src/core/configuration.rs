//! Configuration versions, service figures for change monitoring, quota and deny lists.
//!
//! The entries of a new version are staged beside the active ones, then a single input activates all of them.

use super::state::{Core, CoreState};
use crate::outbound::Outbound;
use asterrill::Us;
use asterrill_consensus::ApplyPolicy;
use asterrill_consumer::ConsumerConfig;
use asterrill_engine::RetentionLimits;
use asterrill_entries::Change;
use asterrill_rollout::{ObservedLoad, ServiceSample};
use asterrill_settings::GlobalParts;

/// Parts of a configuration version that are activated together with its staged entries.
pub struct VersionSwitch {
    /// The version number.
    pub number: u64,
    /// The parts of the decision module that are not entries; present if the global settings or a method change.
    pub global_parts: Option<GlobalParts>,
    /// The longest latency target in microseconds; used only if `global_parts` is present.
    pub longest_latency_target: Us,
    /// The queues to consume.
    pub queues: Vec<ConsumerConfig>,
    /// Whether each RPC must name a tenant.
    pub requires_tenant: bool,
}

impl Core {
    /// Returns the number of the active configuration version.
    pub fn version(&self) -> u64 {
        self.state.versions.module
    }

    /// Takes the service figures since the last sample, from which a change on probation is judged.
    pub fn take_service_sample(&mut self) -> ServiceSample {
        let (engine, names) = (&self.engine, &self.state.names);
        let name = |method| names.name(method).cloned();
        self.state.service.advance_to(self.now);
        self.state.service.take_sample(name, |method| engine.mean_cost(method))
    }

    /// Returns the load of the last minute and the memory currently in use.
    pub fn recent_load(&self) -> ObservedLoad {
        let (engine, names) = (&self.engine, &self.state.names);
        let name = |method| names.name(method).cloned();
        let mut load = self.state.service.observed_load(self.now, name, |method| engine.mean_cost(method));
        load.in_use_kb = engine.memory_in_use_kb();
        load
    }

    /// Makes the active change final: answers are judged by its latency targets, and the indices of removed tenants
    /// are released.
    pub fn commit_change(&mut self) {
        let engine = &self.engine;
        self.state.service.commit_targets();
        self.state.names.release_removed_tenants(|tenant| engine.has_tenant(tenant));
    }

    /// Checks that there is capacity to stage these changes and consume these queues. The error names what is
    /// exhausted.
    pub fn check_capacity_for(&self, changes: &[Change], queues: &[ConsumerConfig]) -> Result<(), String> {
        if self.state.queues.as_ref().is_some_and(|current| !current.has_capacity_for(queues)) {
            return Err("too many different queues since the process started; restart it".into());
        }
        self.state.names.check_capacity_for(changes)
    }

    /// Stages entries beside the active ones. None of them is visible until [`Core::switch_version`].
    ///
    /// A long change is staged in slices, so that other inputs are processed in between.
    pub fn stage(&mut self, changes: &[Change]) {
        let updates = self.state.names.stage(changes);
        self.engine.stage(&updates);
    }

    /// Activates a version together with all staged entries.
    ///
    /// All later decisions use this version; RPCs in flight keep the settings under which they were received.
    pub fn switch_version(&mut self, now: Us, switch: VersionSwitch, outbound: &mut dyn Outbound) {
        let VersionSwitch {
            number,
            global_parts,
            longest_latency_target,
            queues: queue_configs,
            requires_tenant,
        } = switch;
        let limits = global_parts.as_ref().map(|globals| RetentionLimits {
            result_ttl: globals.response_ttl,
            idempotency_result_bytes: self.result_bytes(),
            max_rpc_lifetime: globals.longest_deadline,
        });
        self.with_engine(now, outbound, |engine, now, outputs| {
            let CoreState { stats, versions, service, queues, names, agent, .. } = &mut *outputs.state;
            stats.changes += 1;
            service.advance_to(now);
            for (method, target) in names.apply_staged(requires_tenant) {
                service.set_target(method.0, target);
            }
            versions.names = number;
            if let Some(queues) = queues {
                queues.reconfigure(now, queue_configs);
            }
            versions.queues = number;
            let control = global_parts.map(|globals| {
                agent.set_longest_latency_target(longest_latency_target);
                names.gauges = globals.gauges;
                globals.control
            });
            versions.module = number;
            engine.apply_staged(now, control, limits, outputs);
        });
    }

    /// Sets this server's share of the quotas that the members divide, relative to an equal share.
    pub fn set_quota_fraction(&mut self, now: Us, fraction: f64, outbound: &mut dyn Outbound) {
        if self.state.quota_fraction.replace(fraction) != Some(fraction) {
            self.with_engine(now, outbound, |engine, now, outputs| {
                engine.set_quota_fraction(now, fraction, outputs)
            });
        }
    }

    /// Sets the agreed deny lists to enforce.
    pub fn set_apply_policy(&mut self, policy: ApplyPolicy) {
        self.state.apply_policy = Some(policy);
    }

    /// Applies the expiry of the lease of the agreed deny lists.
    pub fn expire_policy_lease(&mut self) {
        self.state.apply_policy = self.state.apply_policy.as_ref().map(ApplyPolicy::after_lease_expiry);
    }
}
