//! Rules for which values of a snapshot are still valid after a start. `docs/design/recovery.md` describes them.

use crate::assessment::{Assessment, DiscardReason, RestoredCost, ValueKind, Verdict};
use crate::clock::{age, ClockReading};
use crate::snapshot::Snapshot;
use asterrill::Us;
use std::collections::BTreeMap;

/// Time after a start beyond which no restored value withholds an RPC or a call, unless fresh evidence confirms it.
pub const MAX_EFFECT_TIME_US: Us = 10_000_000;
/// Maximum number of runs that a restored cost counts as, so that the same number of fresh runs outweighs it.
pub const MAX_RESTORED_RUNS: f64 = 8.0;
/// Maximum restored cost as a fraction of its latency target: twice the cost assumed by a server that has learned
/// nothing.
pub const MAX_COST_FRACTION: f64 = 0.4;

/// Age at which the weight of a cost is halved, because methods change with releases.
const COST_HALF_LIFE_US: f64 = 86_400_000_000.0;
/// Number of runs below which a cost is not restored, because it has too little weight.
const MIN_RESTORED_RUNS: f64 = 0.5;
/// Weight from which a cost counts as not discounted.
const MIN_UNDISCOUNTED_WEIGHT: f64 = 0.999;
/// Maximum age of a concurrency target, because it depends on the load at its time.
const MAX_TARGET_AGE_US: Us = MAX_EFFECT_TIME_US;
/// Maximum age of a slowdown, because the slowdown may have been brief.
const MAX_SLOWDOWN_AGE_US: Us = 2_000_000;
/// Maximum age of failed upstream calls for a single further failure to open the breaker.
const MAX_FAILURE_AGE_US: Us = 60_000_000;
/// Weight reported for a breaker that opens on the first failure.
const RESTORED_BREAKER_WEIGHT: f64 = 0.5;
/// Time in which an empty account fills up (`buf_limit` over `mrr`), in units of the shortest latency target.
const ACCOUNT_FILL_TIME_IN_TARGETS: f64 = 0.5;
/// Maximum age of tenants' allowances, which are full again after this time at the latest.
const MAX_ALLOWANCE_AGE_US: Us = MAX_EFFECT_TIME_US;

/// Latency targets of the methods in force, in microseconds.
pub trait LatencyTargets {
    /// Returns the target of a method, or none if the method is not in force.
    fn target(&self, method: &str) -> Option<Us>;
    /// Returns the shortest target of all methods, or 0 if there is no method.
    fn shortest(&self) -> Us;
}

impl LatencyTargets for BTreeMap<String, Us> {
    fn target(&self, method: &str) -> Option<Us> {
        self.get(method).copied()
    }

    fn shortest(&self) -> Us {
        self.values().min().copied().unwrap_or(0)
    }
}

/// State of the server at the current start.
#[derive(Clone)]
pub struct CurrentServer<'a> {
    /// Name of the backend.
    pub name: &'a str,
    /// Hash of the settings in force.
    pub settings_hash: u64,
    /// Number of cores of the machine.
    pub cores: f64,
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// Current clock readings.
    pub now: ClockReading,
    /// Whether the agent has started without a warm cache.
    pub agent_cold: bool,
    /// Maximum age of a snapshot, in microseconds.
    pub max_snapshot_age: Us,
    /// Latency targets in force.
    pub targets: &'a dyn LatencyTargets,
}

/// Assesses which values of a snapshot are valid at the current start. The rules, in order:
///
/// 1. All values are discarded if the snapshot is of another backend, its age can't be trusted, or it is older than
///    `max_snapshot_age`.
/// 2. The weight of costs is halved for each day of age, and halved again for each of these: other settings, another
///    machine, and a cold agent. Costs count as at most [`MAX_RESTORED_RUNS`] runs and are at most
///    [`MAX_COST_FRACTION`] of their latency target. The cost of a method whose target has changed is discarded.
/// 3. The concurrency target is accepted only with a warm agent, under the same settings, on the same machine and up to
///    an age of [`MAX_EFFECT_TIME_US`].
/// 4. The slowdown is accepted under the same conditions up to an age of 2 s, because an earlier short slowdown must
///    not cause rejections now.
/// 5. The breaker is never restored as open. If calls had failed, one failure opens it up to an age of one minute.
/// 6. Accounts and tenants' allowances are accepted under the same settings on the same machine. Accounts are accepted
///    up to the age at which an empty one would be full again, allowances up to [`MAX_EFFECT_TIME_US`].
pub fn assess(snapshot: &Snapshot, server: &CurrentServer<'_>) -> Assessment {
    let age = match age(&server.now, &snapshot.taken_at) {
        _ if snapshot.name != server.name => return Assessment::discard_all(DiscardReason::OtherBackend),
        None => return Assessment::discard_all(DiscardReason::AgeUnknown),
        Some(age) if age > server.max_snapshot_age => return Assessment::discard_all(DiscardReason::TooOld),
        Some(age) => age,
    };
    let assessor = Assessor { snapshot, server, age };
    let mut assessment = Assessment { age, ..Assessment::default() };
    assessor.assess_costs(&mut assessment);
    assessor.assess_load(&mut assessment);
    assessor.assess_breaker(&mut assessment);
    assessor.assess_balances(&mut assessment);
    assessment
}

/// Assessment of a snapshot of this backend, with its age.
struct Assessor<'a> {
    snapshot: &'a Snapshot,
    server: &'a CurrentServer<'a>,
    age: Us,
}

impl Assessor<'_> {
    fn same_settings(&self) -> bool {
        self.snapshot.settings_hash == self.server.settings_hash
    }

    fn same_machine(&self) -> bool {
        self.snapshot.cores == self.server.cores && self.snapshot.memory_mb == self.server.memory_mb
    }

    /// Returns the verdict on a value that is valid only under the same settings, on the same machine and up to an age.
    fn verdict(&self, max_age: Us, needs_warm_agent: bool, has_value: bool) -> Verdict {
        let reason = if !self.same_settings() {
            DiscardReason::OtherSettings
        } else if !self.same_machine() {
            DiscardReason::OtherMachine
        } else if needs_warm_agent && self.server.agent_cold {
            DiscardReason::AgentEmpty
        } else if self.age > max_age {
            DiscardReason::TooOld
        } else if !has_value {
            DiscardReason::NoValue
        } else {
            return Verdict::Accepted;
        };
        Verdict::Discarded(reason)
    }

    fn assess_costs(&self, assessment: &mut Assessment) {
        let weight = self.cost_weight();
        assessment.costs = self.restored_costs(weight);
        let verdict = if assessment.costs.is_empty() {
            Verdict::Discarded(DiscardReason::NoValue)
        } else if weight >= MIN_UNDISCOUNTED_WEIGHT {
            Verdict::Accepted
        } else {
            Verdict::Discounted(weight)
        };
        assessment.record(ValueKind::Costs, verdict);
    }

    fn cost_weight(&self) -> f64 {
        let halvings = [!self.same_settings(), !self.same_machine(), self.server.agent_cold];
        let halvings = halvings.into_iter().filter(|applies| *applies).count() as i32;
        0.5_f64.powf(self.age as f64 / COST_HALF_LIFE_US + f64::from(halvings))
    }

    fn restored_costs(&self, weight: f64) -> Vec<RestoredCost> {
        let mut costs = Vec::new();
        for method in &self.snapshot.methods {
            let runs = method.runs.min(MAX_RESTORED_RUNS) * weight;
            let same_target = self.server.targets.target(&method.name) == Some(method.latency_target);
            if same_target && runs >= MIN_RESTORED_RUNS && method.mean > 0.0 {
                let mean = method.mean.min(method.latency_target as f64 * MAX_COST_FRACTION);
                costs.push(RestoredCost { method: method.name.clone(), mean, runs });
            }
        }
        costs
    }

    /// Assesses the concurrency target and the slowdown.
    fn assess_load(&self, assessment: &mut Assessment) {
        let (target, slowdown) = (self.snapshot.concurrency_target, self.snapshot.slowdown);
        let verdict = self.verdict(MAX_TARGET_AGE_US, true, target > 0.0);
        assessment.concurrency_target = (verdict == Verdict::Accepted).then_some(target);
        assessment.record(ValueKind::ConcurrencyTarget, verdict);
        let verdict = self.verdict(MAX_SLOWDOWN_AGE_US, true, slowdown > 0.0);
        assessment.slowdown = (verdict == Verdict::Accepted).then_some(slowdown);
        assessment.record(ValueKind::Slowdown, verdict);
    }

    fn assess_breaker(&self, assessment: &mut Assessment) {
        let failed = self.snapshot.call_failures > 0;
        assessment.trip_breaker_on_first_failure = failed && self.age <= MAX_FAILURE_AGE_US;
        let verdict = if !failed {
            Verdict::Discarded(DiscardReason::NoValue)
        } else if assessment.trip_breaker_on_first_failure {
            Verdict::Discounted(RESTORED_BREAKER_WEIGHT)
        } else {
            Verdict::Discarded(DiscardReason::TooOld)
        };
        assessment.record(ValueKind::Breaker, verdict);
    }

    /// Assesses the accounts of the callers and the allowances of the tenants.
    fn assess_balances(&self, assessment: &mut Assessment) {
        let Snapshot { accounts, tenants, .. } = self.snapshot;
        let fill_time = (self.server.targets.shortest() as f64 * ACCOUNT_FILL_TIME_IN_TARGETS) as Us;
        let verdict = self.verdict(fill_time, false, !accounts.is_empty());
        if verdict == Verdict::Accepted {
            assessment.accounts = accounts.clone();
        }
        assessment.record(ValueKind::Accounts, verdict);
        let verdict = self.verdict(MAX_ALLOWANCE_AGE_US, false, !tenants.is_empty());
        if verdict == Verdict::Accepted {
            assessment.tenants = tenants.clone();
        }
        assessment.record(ValueKind::Tenants, verdict);
    }
}
