//! Leases on the limits that the members divide among themselves.
//!
//! The quota of a lost member may be used by others only after that member must itself have detected the loss. A
//! fraction therefore shrinks at once and grows after a delay.

use crate::member_name::MemberName;
use crate::view::View;
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// Intervals from which the delay of a quota reassignment is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time within which a member that is cut off detects it, in microseconds.
    ///
    /// It consists of two rounds of probes over all members and one suspicion timeout.
    pub detection_time: Us,
    /// Additional time in microseconds for datagrams in flight and for clocks that run at different speeds (one in
    /// twenty).
    pub margin: Us,
}

/// Returns the suspicion timeout in a cluster of `members`, in microseconds.
///
/// It is the configured timeout for up to ten members and grows with the decimal logarithm beyond. With datagram
/// loss, a refutation takes that much longer to reach all members (SWIM, section 4.2, confirmed by measurement).
pub(crate) fn scaled_suspicion_timeout(suspicion_timeout: Us, members: usize) -> Us {
    (suspicion_timeout as f64 * (members.max(1) as f64).log10().max(1.0)) as Us
}

impl LeaseTiming {
    /// Derives the timing from the intervals (in microseconds) and the number of members.
    ///
    /// A member probes the others in the order of a shuffled list, so each is probed at least once in two rounds.
    pub fn from_intervals(probe_interval: Us, suspicion_timeout: Us, members: usize) -> LeaseTiming {
        let suspicion = scaled_suspicion_timeout(suspicion_timeout, members);
        let probes = 2 * members.max(2) as u64 + 2;
        let detection_time = probe_interval.saturating_mul(probes).saturating_add(suspicion);
        LeaseTiming { detection_time, margin: detection_time / 10 + probe_interval }
    }

    /// Returns the time from the loss of a member until the others may use its quota, in microseconds.
    pub fn reassignment_delay(&self) -> Us {
        self.detection_time.saturating_add(self.margin)
    }
}

/// Lease of this member on its fraction of the divided limits.
///
/// It prevents the sides of a partition from using more than the limit together. The drawback is that, after a loss,
/// the quota of the lost member stays unused for the reassignment delay. A minority uses no leased quota, and if no
/// side has a quorum, no member does.
#[derive(Clone, Debug)]
pub struct QuotaLease {
    timing: LeaseTiming,
    /// Agreed members that are not reachable, and the time at which each was lost.
    lost_since: BTreeMap<MemberName, Us>,
    /// Start of the current uninterrupted quorum as this member sees it.
    quorum_since: Option<Us>,
    /// True after the start of this member and after each revocation of the lease.
    ///
    /// Once the member has a quorum, it waits until the others must have detected its return.
    must_wait: bool,
    fraction: f64,
}

impl QuotaLease {
    /// Creates the lease of a member that has just started.
    ///
    /// The others may still use the quota of its previous process, so it waits as after a partition.
    pub fn new(timing: LeaseTiming) -> QuotaLease {
        QuotaLease { timing, lost_since: BTreeMap::new(), quorum_since: None, must_wait: true, fraction: 0.0 }
    }

    /// Sets the timing after a change of the intervals or of the number of members.
    pub fn set_timing(&mut self, timing: LeaseTiming) {
        self.timing = timing;
    }

    /// Returns the fraction, 0 to 1, of the divided limits that this member may use.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Revokes the lease until there has been a quorum for the reassignment delay.
    ///
    /// Reasons are that there is no quorum, that this process was paused for a time that it cannot determine, and that
    /// the member rejoins, leaves or is displaced.
    pub fn revoke(&mut self) {
        self.quorum_since = None;
        self.must_wait = true;
        self.fraction = 0.0;
    }

    /// Updates the lease from complete sets. Returns true if the fraction changed.
    ///
    /// `agreed` and `reachable` exclude this member; `agreed_size` includes it.
    pub fn update(
        &mut self, now: Us, view: View, agreed: &BTreeSet<MemberName>, reachable: &BTreeSet<MemberName>,
        agreed_size: usize,
    ) -> bool {
        self.lost_since.retain(|name, _| agreed.contains(name) && !reachable.contains(name));
        for name in agreed.difference(reachable) {
            self.set_lost(now, name, true);
        }
        self.advance(now, view, agreed_size)
    }

    /// Records whether a member is lost, that is, an agreed member and not reachable.
    ///
    /// Calls of this function for every member for which that may have changed, followed by [`QuotaLease::advance`],
    /// are equivalent to [`QuotaLease::update`].
    pub(crate) fn set_lost(&mut self, now: Us, name: &MemberName, lost: bool) {
        if !lost {
            self.lost_since.remove(name);
        } else if !self.lost_since.contains_key(name) {
            self.lost_since.insert(name.clone(), now);
        }
    }

    /// Advances the time and updates the fraction. Returns true if the fraction changed.
    pub(crate) fn advance(&mut self, now: Us, view: View, agreed_size: usize) -> bool {
        let before = self.fraction;
        self.fraction = self.next_fraction(now, view, agreed_size);
        self.fraction != before
    }

    /// Returns the fraction that this member may use from now on.
    ///
    /// 1. Without a quorum it is 0 at once.
    /// 2. After a quorum is reached, it stays 0 until the others must have detected this member's return.
    /// 3. Otherwise the limit is divided equally by the agreed size, less the members that have been lost for at least
    ///    the reassignment delay. A member that returns counts again at once.
    fn next_fraction(&mut self, now: Us, view: View, agreed_size: usize) -> f64 {
        if !view.has_quorum() {
            self.revoke();
            return 0.0;
        }
        let delay = self.timing.reassignment_delay();
        let quorum_since = *self.quorum_since.get_or_insert(now);
        if self.must_wait && now.saturating_sub(quorum_since) < delay {
            return 0.0;
        }
        self.must_wait = false;
        let released = self.lost_since.values().filter(|since| now.saturating_sub(**since) >= delay).count();
        1.0 / (agreed_size.saturating_sub(released).max(1) as f64)
    }
}
