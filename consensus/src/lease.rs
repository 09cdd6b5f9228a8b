//! Spans of leases, and the lease of this node.
//!
//! Why no two nodes act on contradicting versions for longer than [`contradiction_bound`], in short: a node counts its lease
//! from the moment at which it asked for it. The leader grants it only after a majority has confirmed, later than the request
//! came in, that it still leads; it counts the lease from then, and a twentieth longer, for clocks that run at different
//! rates. So a lease that the leader counts as expired has expired. A new leader waits for one such span before it activates
//! a version that contradicts the active one: no earlier leader can have granted anything later than that election.

use asterrill::Us;
use std::collections::BTreeMap;

/// The rates of two clocks differ by at most one part in this many.
const CLOCK_RATE_TOLERANCE: u64 = 20;
/// Requests for the lease whose sending times are remembered.
const MAX_OPEN_ROUNDS: usize = 32;

/// For how long a leader counts a lease of length `lease` after granting it, in microseconds.
pub fn leader_lease_span(lease: Us) -> Us {
    lease.saturating_add(lease / CLOCK_RATE_TOLERANCE + 1)
}

/// The longest time for which one node may act on a version that contradicts a version that is active elsewhere, for leases
/// of length `lease` that are renewed every `renew_interval`; microseconds.
pub fn contradiction_bound(lease: Us, renew_interval: Us) -> Us {
    leader_lease_span(lease).saturating_add(renew_interval)
}

/// The lease of this node, as a lease holder.
#[derive(Debug, Default)]
pub struct LocalLease {
    round: u64,
    /// When each of the last rounds was requested.
    requested_at: BTreeMap<u64, Us>,
    until: Us,
}

impl LocalLease {
    /// Begins a round: a request for the lease is sent now. Returns the number of the round, counted from 1.
    pub fn begin_round(&mut self, now: Us) -> u64 {
        self.round += 1;
        self.requested_at.insert(self.round, now);
        while self.requested_at.len() > MAX_OPEN_ROUNDS {
            self.requested_at.pop_first();
        }
        self.round
    }

    /// A round was granted: the lease lasts from when it was requested. False if the round is not remembered any more.
    pub fn granted(&mut self, round: u64, lease: Us) -> bool {
        let Some(requested_at) = self.requested_at.get(&round).copied() else { return false };
        self.requested_at = self.requested_at.split_off(&(round + 1));
        self.until = self.until.max(requested_at.saturating_add(lease));
        true
    }

    /// When the lease ends; 0 before the first.
    pub fn until(&self) -> Us {
        self.until
    }
}
