//! What a node may act on: the one table of what each mode says. `docs/design/agreement.md` has it in words.

use crate::lists::{Access, ListKind};
use crate::version::Version;
use asterrill::Us;

/// How a node acts on the versions that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyMode {
    /// On one version, under a lease. Operators see `full`.
    Full,
    /// Under a lease, on two versions at once while the newer one is not active yet: a key that either of them denies is
    /// rejected. Operators see `between`.
    Transition,
    /// On the last version, without a lease. Operators see `safe`.
    Safe,
    /// Without a lease and without any version: the node started without state and has not heard from a voter. Operators
    /// see `blank`.
    Empty,
}

impl ApplyMode {
    /// The name that operators see.
    pub fn name(self) -> &'static str {
        match self {
            ApplyMode::Full => "full",
            ApplyMode::Transition => "between",
            ApplyMode::Safe => "safe",
            ApplyMode::Empty => "blank",
        }
    }
}

/// What a node acts on from now on.
#[derive(Clone, Debug)]
pub struct ApplyPolicy {
    /// The mode, which follows from the lease and the versions.
    pub mode: ApplyMode,
    /// The version that the lease is for; without a lease the last one.
    effective: Version,
    /// The version that is committed and not active yet.
    pending: Option<Version>,
}

/// An apply policy and the end of the lease under which it holds.
#[derive(Clone, Debug)]
pub struct LeasedPolicy {
    /// What the node acts on.
    pub policy: ApplyPolicy,
    /// When the lease ends, in microseconds of the clock that is passed to the node. From then on
    /// [`ApplyPolicy::after_lease_expiry`] holds.
    pub until: Us,
}

impl ApplyPolicy {
    /// Act on one version, under a lease.
    pub fn full(effective: Version) -> ApplyPolicy {
        ApplyPolicy { mode: ApplyMode::Full, effective, pending: None }
    }

    /// Act on the stricter of two versions, under a lease for the first.
    pub fn transition(effective: Version, pending: Version) -> ApplyPolicy {
        ApplyPolicy { mode: ApplyMode::Transition, effective, pending: Some(pending) }
    }

    /// Act on the last version, without a lease.
    pub fn safe(last: Version) -> ApplyPolicy {
        let mode = if last.is_empty() { ApplyMode::Empty } else { ApplyMode::Safe };
        ApplyPolicy { mode, effective: last, pending: None }
    }

    /// Number of the version that the lease is for; without a lease, of the last version.
    pub fn effective_number(&self) -> u64 {
        self.effective.number
    }

    /// Number of the newest version that is acted on.
    pub fn newest_number(&self) -> u64 {
        self.pending.as_ref().map_or(self.effective.number, |pending| pending.number)
    }

    /// The version that the lease is for; without a lease the last one.
    pub fn effective(&self) -> &Version {
        &self.effective
    }

    /// What holds once the lease has ended.
    pub fn after_lease_expiry(&self) -> ApplyPolicy {
        ApplyPolicy::safe(self.pending.clone().unwrap_or_else(|| self.effective.clone()))
    }

    /// Whether a request that names this key is rejected.
    ///
    /// | mode | no entry | allowed | denied |
    /// | --- | --- | --- | --- |
    /// | full | served | served | rejected |
    /// | transition | served unless one of the two denies it | served if both allow it, or only the pending one has an entry | rejected |
    /// | safe, empty | served | rejected: it may have been revoked | rejected |
    pub fn rejects(&self, kind: ListKind, key: &str) -> bool {
        match &self.pending {
            None => self.rejected_by(&self.effective, kind, key),
            Some(pending) => {
                self.rejected_by(&self.effective, kind, key)
                    || self.rejected_by(pending, kind, key)
                    || self.is_revoked(pending, kind, key)
            }
        }
    }

    fn rejected_by(&self, version: &Version, kind: ListKind, key: &str) -> bool {
        match version.entry(kind, key).map(|entry| entry.access) {
            None => false,
            Some(Access::Denied) => true,
            Some(Access::Allowed) => matches!(self.mode, ApplyMode::Safe | ApplyMode::Empty),
        }
    }

    /// A key that was allowed and has no entry any more may no longer count as allowed, until the pending version is active.
    fn is_revoked(&self, pending: &Version, kind: ListKind, key: &str) -> bool {
        let allowed = self.effective.entry(kind, key).is_some_and(|entry| entry.access == Access::Allowed);
        allowed && pending.entry(kind, key).is_none()
    }
}
