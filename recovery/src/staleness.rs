//! What of a snapshot still holds after this start. This is the one table; `docs/design/recovery.md` describes it.

use crate::assessment::{Assessment, DiscardReason, RestoredCost, ValueKind, Verdict};
use crate::clock::{age, ClockReading};
use crate::snapshot::Snapshot;
use asterrill::Us;
use std::collections::BTreeMap;

/// Beyond this time after a start nothing that was restored withholds an RPC or a call, unless fresh evidence says the
/// same. In microseconds.
pub const MAX_EFFECT_TIME_US: Us = 10_000_000;
/// A restored cost counts for so many runs at the most, so that as many fresh ones outweigh it.
pub const MAX_RESTORED_RUNS: f64 = 8.0;
/// A restored cost is at most this fraction of its latency target: twice that of a server that has learned nothing.
pub const MAX_COST_FRACTION: f64 = 0.4;

/// The age at which a cost counts for half, in microseconds: methods change with releases.
const COST_HALF_LIFE: f64 = 86_400_000_000.0;
/// Runs below which a cost is not worth restoring.
const MIN_RUNS: f64 = 0.5;
/// The weight from which a cost counts as not discounted.
const FULL_WEIGHT: f64 = 0.999;
/// A concurrency target is of its minute's load. Microseconds.
const MAX_TARGET_AGE: Us = MAX_EFFECT_TIME_US;
/// A slowdown may have been a short one. Microseconds.
const MAX_SLOWDOWN_AGE: Us = 2_000_000;
/// Failures of upstream calls are a reason for care so long. Microseconds.
const MAX_FAILURE_AGE: Us = 60_000_000;
/// The weight of a breaker that is restored as careful.
const RESTORED_BREAKER_WEIGHT: f64 = 0.5;
/// The shortest latency targets in which an empty account fills up (`buf_limit` over `mrr`).
const ACCOUNT_FILL_TARGETS: f64 = 0.5;
/// Tenants' allowances are full again after this time at the latest. Microseconds.
const MAX_ALLOWANCE_AGE: Us = MAX_EFFECT_TIME_US;

/// The latency targets of the methods in force, in microseconds.
pub trait LatencyTargets {
    /// None for a method that is not in force.
    fn target(&self, method: &str) -> Option<Us>;
    /// The shortest of all; 0 where there is no method.
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

/// What this start is like.
#[derive(Clone)]
pub struct CurrentServer<'a> {
    /// The backend's name.
    pub name: &'a str,
    /// The hash of the settings in force.
    pub settings_hash: u64,
    /// Cores of the machine.
    pub cores: f64,
    /// Memory of the machine, in MB.
    pub memory_mb: u64,
    /// Now.
    pub now: ClockReading,
    /// The agent has started without a warm cache.
    pub agent_cold: bool,
    /// How old a snapshot may be at all, in microseconds.
    pub max_snapshot_age: Us,
    /// The latency targets in force.
    pub targets: &'a dyn LatencyTargets,
}

/// Assesses a snapshot against this start. The rules, in order:
///
/// 1. Another backend's snapshot, or one whose age can't be trusted or is beyond `max_snapshot_age`: all is discarded.
/// 2. Costs are discounted by half a day, by half under other settings, on other cores and while the agent is empty;
///    they count for at most [`MAX_RESTORED_RUNS`] runs and [`MAX_COST_FRACTION`] of their latency target. A method whose
///    target changed is new.
/// 3. The concurrency target is accepted with a warm agent under the same settings on the same machine within
///    [`MAX_EFFECT_TIME_US`] only.
/// 4. The slowdown likewise, within 2 s: a slow spell from before is no reason to reject anything.
/// 5. An open breaker never comes back open. Within a minute one failure opens it again.
/// 6. Accounts are accepted within the time in which an empty one fills up anyway, tenants' allowances within
///    [`MAX_EFFECT_TIME_US`].
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

/// A snapshot of this backend, and its age.
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

    /// Of a value that holds only under the same settings on the same machine and up to some age.
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
        } else if weight >= FULL_WEIGHT {
            Verdict::Accepted
        } else {
            Verdict::Discounted(weight)
        };
        assessment.record(ValueKind::Costs, verdict);
    }

    fn cost_weight(&self) -> f64 {
        let halvings = [!self.same_settings(), !self.same_machine(), self.server.agent_cold];
        let halvings = halvings.into_iter().filter(|applies| *applies).count() as i32;
        0.5_f64.powf(self.age as f64 / COST_HALF_LIFE + f64::from(halvings))
    }

    fn restored_costs(&self, weight: f64) -> Vec<RestoredCost> {
        let mut costs = Vec::new();
        for method in &self.snapshot.methods {
            let runs = method.runs.min(MAX_RESTORED_RUNS) * weight;
            let same_target = self.server.targets.target(&method.name) == Some(method.latency_target);
            if same_target && runs >= MIN_RUNS && method.mean > 0.0 {
                let mean = method.mean.min(method.latency_target as f64 * MAX_COST_FRACTION);
                costs.push(RestoredCost { method: method.name.clone(), mean, runs });
            }
        }
        costs
    }

    /// The concurrency target and the slowdown.
    fn assess_load(&self, assessment: &mut Assessment) {
        let (target, slowdown) = (self.snapshot.concurrency_target, self.snapshot.slowdown);
        let verdict = self.verdict(MAX_TARGET_AGE, true, target > 0.0);
        assessment.concurrency_target = (verdict == Verdict::Accepted).then_some(target);
        assessment.record(ValueKind::ConcurrencyTarget, verdict);
        let verdict = self.verdict(MAX_SLOWDOWN_AGE, true, slowdown > 0.0);
        assessment.slowdown = (verdict == Verdict::Accepted).then_some(slowdown);
        assessment.record(ValueKind::Slowdown, verdict);
    }

    fn assess_breaker(&self, assessment: &mut Assessment) {
        let failed = self.snapshot.call_failures > 0;
        assessment.trip_breaker_on_first_failure = failed && self.age <= MAX_FAILURE_AGE;
        let verdict = if !failed {
            Verdict::Discarded(DiscardReason::NoValue)
        } else if assessment.trip_breaker_on_first_failure {
            Verdict::Discounted(RESTORED_BREAKER_WEIGHT)
        } else {
            Verdict::Discarded(DiscardReason::TooOld)
        };
        assessment.record(ValueKind::Breaker, verdict);
    }

    /// Callers' accounts and tenants' allowances.
    fn assess_balances(&self, assessment: &mut Assessment) {
        let Snapshot { accounts, tenants, .. } = self.snapshot;
        let fill_time = (self.server.targets.shortest() as f64 * ACCOUNT_FILL_TARGETS) as Us;
        let verdict = self.verdict(fill_time, false, !accounts.is_empty());
        if verdict == Verdict::Accepted {
            assessment.accounts = accounts.clone();
        }
        assessment.record(ValueKind::Accounts, verdict);
        let verdict = self.verdict(MAX_ALLOWANCE_AGE, false, !tenants.is_empty());
        if verdict == Verdict::Accepted {
            assessment.tenants = tenants.clone();
        }
        assessment.record(ValueKind::Tenants, verdict);
    }
}
