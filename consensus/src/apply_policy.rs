//! Policies by which a node decides which requests to reject, depending on its lease and its versions.
//!
//! [`ApplyPolicy::rejects`] has the table of decisions by mode. `docs/design/agreement.md` describes the design.

use crate::lists::{Access, ListKind};
use crate::version::Version;
use asterrill::Us;

/// Mode in which a node enforces its versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyMode {
    /// Enforcement of one version, under a lease. Its external name is `full`.
    Full,
    /// Enforcement of two versions at once, under a lease, while the newer one is not active yet.
    ///
    /// A key that either of them denies is rejected. Its external name is `between`.
    Transition,
    /// Enforcement of the last version, without a lease. Its external name is `safe`.
    Safe,
    /// No lease and no version: the node started without state and has not heard from a voter.
    ///
    /// Its external name is `blank`.
    Empty,
}

impl ApplyMode {
    /// Returns the external name of the mode, which operators see.
    pub fn name(self) -> &'static str {
        match self {
            ApplyMode::Full => "full",
            ApplyMode::Transition => "between",
            ApplyMode::Safe => "safe",
            ApplyMode::Empty => "blank",
        }
    }
}

/// Policy that a node enforces.
#[derive(Clone, Debug)]
pub struct ApplyPolicy {
    /// Mode, which follows from the lease and the versions.
    pub mode: ApplyMode,
    /// Version that the lease is for; without a lease the last one.
    effective: Version,
    /// Version that is committed and not active yet.
    pending: Option<Version>,
}

/// Apply policy and the end of the lease under which it is valid.
#[derive(Clone, Debug)]
pub struct LeasedPolicy {
    /// Policy that the node enforces while the lease is valid.
    pub policy: ApplyPolicy,
    /// End of the lease, in microseconds of the clock that is passed to the node.
    ///
    /// From then on [`ApplyPolicy::after_lease_expiry`] is valid.
    pub until: Us,
}

impl ApplyPolicy {
    /// Returns a policy that enforces one version, under a lease.
    pub fn full(effective: Version) -> ApplyPolicy {
        ApplyPolicy { mode: ApplyMode::Full, effective, pending: None }
    }

    /// Returns a policy that enforces the stricter of two versions, under a lease for the first.
    pub fn transition(effective: Version, pending: Version) -> ApplyPolicy {
        ApplyPolicy { mode: ApplyMode::Transition, effective, pending: Some(pending) }
    }

    /// Returns a policy that enforces the last version, without a lease.
    pub fn safe(last: Version) -> ApplyPolicy {
        let mode = if last.is_empty() { ApplyMode::Empty } else { ApplyMode::Safe };
        ApplyPolicy { mode, effective: last, pending: None }
    }

    /// Returns the number of the version that the lease is for; without a lease, of the last version.
    pub fn effective_number(&self) -> u64 {
        self.effective.number
    }

    /// Returns the number of the newest version that is enforced.
    pub fn newest_number(&self) -> u64 {
        self.pending.as_ref().map_or(self.effective.number, |pending| pending.number)
    }

    /// Returns the version that the lease is for; without a lease the last one.
    pub fn effective(&self) -> &Version {
        &self.effective
    }

    /// Returns the policy that is valid once the lease has expired.
    pub fn after_lease_expiry(&self) -> ApplyPolicy {
        ApplyPolicy::safe(self.pending.clone().unwrap_or_else(|| self.effective.clone()))
    }

    /// Reports whether a request that names this key is rejected.
    ///
    /// | mode | no entry | allowed | denied |
    /// | --- | --- | --- | --- |
    /// | full | served | served | rejected |
    /// | transition | served unless one of the two denies it | served if both allow it, or only the pending one has an entry | rejected |
    /// | safe, empty | served | rejected, because the permission may have been revoked | rejected |
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

    /// Reports whether a key is allowed by the effective version and has no entry in the pending one.
    ///
    /// Such a key is rejected until the pending version is active.
    fn is_revoked(&self, pending: &Version, kind: ListKind, key: &str) -> bool {
        let allowed = self.effective.entry(kind, key).is_some_and(|entry| entry.access == Access::Allowed);
        allowed && pending.entry(kind, key).is_none()
    }
}
