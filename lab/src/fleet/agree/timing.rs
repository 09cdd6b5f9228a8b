//! Voters and timing of the scenario.

/// Members that vote on versions; a majority of them commits a version.
pub(super) const VOTERS: [usize; 3] = [0, 1, 2];
/// Interval between changes.
pub(super) const CHANGE_INTERVAL_MS: u64 = 3_000;
/// Number of changes.
pub(super) const CHANGE_COUNT: usize = 8;
const LEASE_MS: u64 = 1_000;
/// Documented time after which a committed change is in force at every node.
pub(super) const IN_FORCE_MS: u64 = LEASE_MS + LEASE_MS / 20 + LEASE_MS / 5;
/// Measurement slack: the interval between calls of one node, and the time that an answer takes.
pub(super) const CALL_SLACK_MS: u64 = 150;
