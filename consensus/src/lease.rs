//! Lease durations, and the lease of this node.
//!
//! No two nodes enforce contradicting versions for longer than [`contradiction_bound`], for these reasons:
//!
//! - A node counts its lease from the moment at which it sent the request.
//! - The leader grants the lease only after a majority has confirmed, later than the request arrived, that it still
//!   leads. It counts the lease from that moment, and for a twentieth longer, because clocks run at different rates.
//!   A lease that the leader counts as expired has therefore expired.
//! - A new leader waits for the duration of one lease, including that twentieth, before it activates a version that
//!   contradicts the active one. No earlier leader can have granted a lease later than the election.

use asterrill::Us;
use std::collections::BTreeMap;

/// Bound on the difference between the rates of two clocks: at most one part in this many.
const CLOCK_RATE_TOLERANCE_DIVISOR: u64 = 20;
/// Maximum number of lease requests whose send times are retained.
const MAX_OPEN_ROUNDS: usize = 32;

/// Returns the time for which a leader counts a lease of `lease_duration` after granting it, in microseconds.
pub fn leader_lease_duration(lease_duration: Us) -> Us {
    lease_duration.saturating_add(lease_duration / CLOCK_RATE_TOLERANCE_DIVISOR + 1)
}

/// Returns the maximum time for which one node may enforce a version that contradicts one that is active elsewhere, in
/// microseconds.
///
/// Leases last for `lease_duration` and are renewed every `renew_interval`.
pub fn contradiction_bound(lease_duration: Us, renew_interval: Us) -> Us {
    leader_lease_duration(lease_duration).saturating_add(renew_interval)
}

/// Lease of this node, as a lease holder.
#[derive(Debug, Default)]
pub struct LocalLease {
    round: u64,
    /// Send time of the request of each of the last rounds.
    request_times: BTreeMap<u64, Us>,
    until: Us,
}

impl LocalLease {
    /// Begins a round, whose request is sent now. Returns the number of the round, counted from 1.
    pub fn begin_round(&mut self, now: Us) -> u64 {
        self.round += 1;
        self.request_times.insert(self.round, now);
        while self.request_times.len() > MAX_OPEN_ROUNDS {
            self.request_times.pop_first();
        }
        self.round
    }

    /// Extends the lease by the grant of a round, counted from the send time of its request.
    ///
    /// Returns false if the send time of that request is no longer retained.
    pub fn accept_grant(&mut self, round: u64, lease_duration: Us) -> bool {
        let Some(requested_at) = self.request_times.get(&round).copied() else { return false };
        self.request_times = self.request_times.split_off(&(round + 1));
        self.until = self.until.max(requested_at.saturating_add(lease_duration));
        true
    }

    /// Returns the end of the lease; 0 before the first.
    pub fn until(&self) -> Us {
        self.until
    }
}
