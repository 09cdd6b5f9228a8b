//! What each part of a backend does in each view. This is the one table; `docs/design/membership.md` describes it.

use crate::view::View;

/// The fraction of the divided limits that is divided evenly for good: each member uses its part of it in every view, so
/// that a side of a partition without a quorum still sends some calls upstream. The rest is divided by leases.
pub const STATIC_QUOTA_FRACTION: f64 = 0.25;

/// Which changes of the configuration an operator may make here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedChanges {
    /// All.
    Any,
    /// Undoing a change, or accepting the running version.
    RollbackOnly,
}

/// What a backend does in a view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// This member's part of the limits that the settings divide among the expected members, over an even part (1 is
    /// even): tenants' quotas, and the bound on calls to an upstream tier that all share.
    pub quota_factor: f64,
    /// Which changes an operator may make.
    pub allowed_changes: AllowedChanges,
    /// It reports that it is ready, as far as its own work goes: callers that are cut off from the rest have only it.
    pub ready: bool,
}

/// The policy of a view. `leased_fraction`: the fraction, 0 to 1, of what is divided by leases that this member holds;
/// `expected_members`: among how many the settings divide; `agreed_size`: of the cluster.
///
/// The factors of all sides of a partition together are at most `expected_members`: [`STATIC_QUOTA_FRACTION`] of it in
/// static parts, the rest by leases, whose sum is at most 1.
pub fn role_policy(
    view: View, leased_fraction: f64, expected_members: usize, agreed_size: usize,
) -> RolePolicy {
    let expected = expected_members.max(1) as f64;
    let static_factor = STATIC_QUOTA_FRACTION * expected / expected.max(agreed_size as f64);
    let leased = if view.has_quorum() { leased_fraction.clamp(0.0, 1.0) } else { 0.0 };
    RolePolicy {
        quota_factor: static_factor + (1.0 - STATIC_QUOTA_FRACTION) * expected * leased,
        allowed_changes: if view.has_quorum() { AllowedChanges::Any } else { AllowedChanges::RollbackOnly },
        ready: true,
    }
}

#[cfg(test)]
#[path = "tests/role_policy.rs"]
mod tests;
