//! What is restored of a snapshot, and what became of each value in it.

use crate::snapshot::{AccountBalance, TenantAllowance};
use asterrill::Us;

/// The kinds of values in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ValueKind {
    /// What serving an RPC of each method takes.
    Costs,
    /// RPCs that run at a time.
    ConcurrencyTarget,
    /// Serving times over those that are learned.
    Slowdown,
    /// Whether upstream calls failed.
    Breaker,
    /// Callers' accounts.
    Accounts,
    /// Tenants' allowances.
    Tenants,
}

impl ValueKind {
    /// All kinds, in the order in which they are assessed.
    pub const ALL: [ValueKind; 6] = [
        ValueKind::Costs,
        ValueKind::ConcurrencyTarget,
        ValueKind::Slowdown,
        ValueKind::Breaker,
        ValueKind::Accounts,
        ValueKind::Tenants,
    ];
}

/// Why a value is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The clocks don't tell how old the snapshot is.
    AgeUnknown,
    /// It is older than values of its kind may be.
    TooOld,
    /// Another backend wrote it.
    OtherBackend,
    /// Other settings were in force.
    OtherSettings,
    /// The machine had other cores or memory.
    OtherMachine,
    /// The agent has started without a warm cache.
    AgentEmpty,
    /// The snapshot has no value of this kind, or only of what does not exist any more.
    NoValue,
}

/// What becomes of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is restored as it is.
    Accepted,
    /// It is restored with this weight, above 0 and below 1.
    Discounted(f64),
    /// It is not restored.
    Discarded(DiscardReason),
}

/// The verdict on one kind of values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueVerdict {
    /// Which kind.
    pub kind: ValueKind,
    /// What becomes of it.
    pub verdict: Verdict,
}

/// A method's cost to be restored.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredCost {
    /// The method.
    pub method: String,
    /// What serving an RPC takes, in microseconds.
    pub mean: f64,
    /// The runs that it counts for.
    pub runs: f64,
}

/// What the decision module is to restore. Whatever is not in it begins as on a server that has learned nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Costs of methods.
    pub costs: Vec<RestoredCost>,
    /// RPCs that run at a time.
    pub concurrency_target: Option<f64>,
    /// Serving times over those that are learned.
    pub slowdown: Option<f64>,
    /// One failure of an upstream call opens the breaker; until then nothing is withheld.
    pub trip_breaker_on_first_failure: bool,
    /// Callers' accounts.
    pub accounts: Vec<AccountBalance>,
    /// Tenants' allowances as they were in the snapshot; they have grown for the age of it since.
    pub tenants: Vec<TenantAllowance>,
    /// The age of the snapshot, in microseconds.
    pub age: Us,
    /// What became of each kind of values, in the order of [`ValueKind::ALL`].
    pub verdicts: Vec<ValueVerdict>,
}

impl Assessment {
    /// Nothing is restored, for one reason.
    pub(crate) fn discard_all(reason: DiscardReason) -> Assessment {
        let verdict = Verdict::Discarded(reason);
        let verdicts = ValueKind::ALL.map(|kind| ValueVerdict { kind, verdict });
        Assessment { verdicts: verdicts.into(), ..Assessment::default() }
    }

    pub(crate) fn record(&mut self, kind: ValueKind, verdict: Verdict) {
        self.verdicts.push(ValueVerdict { kind, verdict });
    }

    /// For the log, such as `Costs discounted to 0.50, ConcurrencyTarget discarded: TooOld`.
    pub fn summary(&self) -> String {
        let one = |ValueVerdict { kind, verdict }: &ValueVerdict| match verdict {
            Verdict::Accepted => format!("{kind:?} accepted"),
            Verdict::Discounted(weight) => format!("{kind:?} discounted to {weight:.2}"),
            Verdict::Discarded(reason) => format!("{kind:?} discarded: {reason:?}"),
        };
        self.verdicts.iter().map(one).collect::<Vec<_>>().join(", ")
    }
}
