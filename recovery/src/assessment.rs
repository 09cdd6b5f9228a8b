//! Result of assessing a snapshot: the values to restore, and a verdict on each kind of value.

use crate::snapshot::{AccountBalance, TenantAllowance};
use asterrill::Us;

/// Kind of value in a snapshot. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ValueKind {
    /// Mean serving times of the methods.
    Costs,
    /// Target number of concurrent runs.
    ConcurrencyTarget,
    /// Ratio of the current serving times to the learned ones.
    Slowdown,
    /// State of the circuit breaker for upstream calls.
    Breaker,
    /// Accounts of the callers.
    Accounts,
    /// Allowances of the tenants.
    Tenants,
}

impl ValueKind {
    /// All kinds, in the order of their assessment.
    pub const ALL: [ValueKind; 6] = [
        ValueKind::Costs,
        ValueKind::ConcurrencyTarget,
        ValueKind::Slowdown,
        ValueKind::Breaker,
        ValueKind::Accounts,
        ValueKind::Tenants,
    ];
}

/// Reason for discarding a value. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The clocks do not determine the age of the snapshot.
    AgeUnknown,
    /// The snapshot is older than is allowed for values of this kind.
    TooOld,
    /// The snapshot was written by another backend.
    OtherBackend,
    /// The snapshot was taken under other settings.
    OtherSettings,
    /// The machine had a different number of cores or a different amount of memory.
    OtherMachine,
    /// The agent has started without a warm cache.
    AgentEmpty,
    /// The snapshot has no value of this kind, or only values that can't be used, such as costs of methods that no
    /// longer exist or whose latency target has changed.
    NoValue,
}

/// Decision on a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The value is restored unchanged.
    Accepted,
    /// The value is restored with this weight, which is above 0 and below 1.
    Discounted(f64),
    /// The value is not restored.
    Discarded(DiscardReason),
}

/// Verdict on one kind of value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueVerdict {
    /// Kind of the value.
    pub kind: ValueKind,
    /// Decision on the value.
    pub verdict: Verdict,
}

/// Cost of a method that is to be restored.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredCost {
    /// Name of the method.
    pub method: String,
    /// Mean time to serve an RPC, in microseconds.
    pub mean: f64,
    /// Number of runs that the mean counts as.
    pub runs: f64,
}

/// Values that the decision module restores. All others start as on a server that has learned nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Costs of methods.
    pub costs: Vec<RestoredCost>,
    /// Target number of concurrent runs.
    pub concurrency_target: Option<f64>,
    /// Ratio of the current serving times to the learned ones.
    pub slowdown: Option<f64>,
    /// Whether a single failed upstream call opens the breaker. No call is withheld until then.
    pub trip_breaker_on_first_failure: bool,
    /// Accounts of the callers.
    pub accounts: Vec<AccountBalance>,
    /// Allowances of the tenants as they were in the snapshot, without their growth over its age.
    pub tenants: Vec<TenantAllowance>,
    /// Age of the snapshot, in microseconds.
    pub age: Us,
    /// Verdict on each kind of value, in the order of [`ValueKind::ALL`].
    pub verdicts: Vec<ValueVerdict>,
}

impl Assessment {
    /// Returns an assessment that discards all values for the same reason.
    pub(crate) fn discard_all(reason: DiscardReason) -> Assessment {
        let verdict = Verdict::Discarded(reason);
        let verdicts = ValueKind::ALL.map(|kind| ValueVerdict { kind, verdict });
        Assessment { verdicts: verdicts.into(), ..Assessment::default() }
    }

    pub(crate) fn record(&mut self, kind: ValueKind, verdict: Verdict) {
        self.verdicts.push(ValueVerdict { kind, verdict });
    }

    /// Returns a summary for the log, such as `Costs discounted to 0.50, ConcurrencyTarget discarded: TooOld`.
    pub fn summary(&self) -> String {
        let describe = |ValueVerdict { kind, verdict }: &ValueVerdict| match verdict {
            Verdict::Accepted => format!("{kind:?} accepted"),
            Verdict::Discounted(weight) => format!("{kind:?} discounted to {weight:.2}"),
            Verdict::Discarded(reason) => format!("{kind:?} discarded: {reason:?}"),
        };
        self.verdicts.iter().map(describe).collect::<Vec<_>>().join(", ")
    }
}
