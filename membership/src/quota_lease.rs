//! Which fraction of a limit that the members divide among themselves this one may use. The rule: what one member gives
//! up may be used by others only after it must have noticed itself. So a fraction shrinks at once and grows late.

use crate::member_name::MemberName;
use crate::view::View;
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// The intervals from which the delay of a quota's reassignment is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Until a member that is cut off must have noticed: two rounds of probes over all members, and a suspicion.
    /// Microseconds.
    pub detection_time: Us,
    /// Beyond it for datagrams in flight and clocks that run at different speeds (one in twenty). Microseconds.
    pub margin: Us,
}

/// How long a suspicion lasts among so many members, in microseconds: as configured up to ten, then growing with the
/// logarithm, as a refutation takes that much longer to reach all where datagrams are lost (SWIM, section 4.2, and what
/// was measured here).
pub(crate) fn scaled_suspicion_timeout(suspicion_timeout: Us, members: usize) -> Us {
    (suspicion_timeout as f64 * (members.max(1) as f64).log10().max(1.0)) as Us
}

impl LeaseTiming {
    /// From the probe interval, the suspicion timeout (both in microseconds) and the number of members. A member probes
    /// in the order of a shuffled list, so each is probed once in two rounds at the latest.
    pub fn from_intervals(probe_interval: Us, suspicion_timeout: Us, members: usize) -> LeaseTiming {
        let suspicion = scaled_suspicion_timeout(suspicion_timeout, members);
        let probes = 2 * members.max(2) as u64 + 2;
        let detection_time = probe_interval.saturating_mul(probes).saturating_add(suspicion);
        LeaseTiming { detection_time, margin: detection_time / 10 + probe_interval }
    }

    /// From the loss of a member until the others may use its quota, in microseconds.
    pub fn reassignment_delay(&self) -> Us {
        self.detection_time.saturating_add(self.margin)
    }
}

/// The lease of this member on its fraction of the divided limits.
///
/// Guards against two sides of a partition that together use more than there is. The cost: after a loss the others leave
/// the quota of the lost member unused for the reassignment delay; a minority uses nothing, and neither does anybody if
/// no side has a quorum.
#[derive(Clone, Debug)]
pub struct QuotaLease {
    timing: LeaseTiming,
    /// Agreed members that are absent, and since when.
    lost_since: BTreeMap<MemberName, Us>,
    /// Since when this member is on the side with the quorum, without a break.
    quorum_since: Option<Us>,
    /// It was without a quorum, or is new: once it has one, it waits until the others must have seen it come back.
    must_wait: bool,
    fraction: f64,
}

impl QuotaLease {
    /// The lease of a member that has just started. The others may use the quota of its process before, so it waits as
    /// after a partition.
    pub fn new(timing: LeaseTiming) -> QuotaLease {
        QuotaLease { timing, lost_since: BTreeMap::new(), quorum_since: None, must_wait: true, fraction: 0.0 }
    }

    /// Other intervals, or another number of members.
    pub fn set_timing(&mut self, timing: LeaseTiming) {
        self.timing = timing;
    }

    /// The fraction of what all divide that this member may use, 0 to 1.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Gives the quota up until there has been a quorum for the reassignment delay: there is none, or this process was
    /// paused, for how long it can't tell.
    pub fn revoke(&mut self) {
        self.quorum_since = None;
        self.must_wait = true;
        self.fraction = 0.0;
    }

    /// Updates the lease from whole sets; true if the fraction has changed. `agreed` and `reachable` are without this
    /// member, `agreed_size` is with it.
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

    /// One member's part of an update: whether it is an agreed member and not reachable. To be called for each of which
    /// that may have changed, and then [`QuotaLease::advance`]: together they are the same as [`QuotaLease::update`].
    pub(crate) fn set_lost(&mut self, now: Us, name: &MemberName, lost: bool) {
        if !lost {
            self.lost_since.remove(name);
        } else if !self.lost_since.contains_key(name) {
            self.lost_since.insert(name.clone(), now);
        }
    }

    /// Time has passed over who is lost now; true if the fraction has changed.
    pub(crate) fn advance(&mut self, now: Us, view: View, agreed_size: usize) -> bool {
        let before = self.fraction;
        self.fraction = self.next_fraction(now, view, agreed_size);
        self.fraction != before
    }

    /// 1. Without a quorum: nothing, at once.
    /// 2. With one again, or for the first time: nothing until the others must have seen this member come back.
    /// 3. Else an equal part of the agreed size, less those that have been lost for longer than it takes them to notice.
    ///    Whoever comes back counts at once.
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
