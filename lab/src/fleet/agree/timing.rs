//! Voters, and the times of the scenario.

/// Members whose majority orders versions.
pub(super) const VOTERS: [usize; 3] = [0, 1, 2];
/// Milliseconds between two changes.
pub(super) const CHANGE_EVERY_MS: u64 = 3_000;
/// Changes.
pub(super) const CHANGES: usize = 8;
const LEASE_MS: u64 = 1_000;
/// Milliseconds after which a change is in force everywhere.
pub(super) const IN_FORCE_MS: u64 = LEASE_MS + LEASE_MS / 20 + LEASE_MS / 5;
/// Milliseconds between two calls of one node, and what an answer takes.
pub(super) const CALL_INTERVAL_MS: u64 = 150;
