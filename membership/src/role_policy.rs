//! Policy of a backend in each view. `docs/design/membership.md` describes the table that this module implements.

use crate::view::View;

/// Fraction of the divided limits that is permanently divided in equal parts.
///
/// Each member uses its part in every view, so that a side of a partition without a quorum still sends some calls
/// upstream. The rest is divided by leases.
pub const STATIC_QUOTA_FRACTION: f64 = 0.25;

/// Configuration changes that an operator may make on this backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedChanges {
    /// All changes are allowed.
    Any,
    /// Only rolling back a change and confirming the running version are allowed.
    RollbackOnly,
}

/// Policy of a backend in a view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Ratio of this member's share of the divided limits to an equal share; 1 is an equal share.
    ///
    /// The settings divide these limits among the expected members: the tenants' quotas, and the bound on calls to an
    /// upstream tier that all members share.
    pub quota_factor: f64,
    /// Configuration changes that an operator may make.
    pub allowed_changes: AllowedChanges,
    /// True if the backend reports that it is ready, as far as membership is concerned.
    ///
    /// It is true in every view, because callers that are cut off from the other backends have only this one.
    pub ready: bool,
}

/// Returns the policy of a view.
///
/// `leased_fraction` is the fraction, 0 to 1, of the leased part of the limits that this member holds. The settings
/// divide the limits among `expected_members`. `agreed_size` is the agreed size of the cluster.
///
/// The sum of the factors on all sides of a partition is at most `expected_members`: [`STATIC_QUOTA_FRACTION`] of it in
/// static parts and the rest by leases, whose sum is at most 1.
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
