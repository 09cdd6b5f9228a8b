//! What part of a limit that members divide among themselves this one may take. The rule: what one gives up may be
//! taken by others only after it must have noticed itself. So a part shrinks at once and grows late.

use crate::id::Name;
use crate::view::View;
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// The intervals from which the waiting is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Until a member that is cut off must have noticed: two rounds of probes over all, and a suspicion.
    pub notice: Us,
    /// Beyond it for datagrams on their way and clocks that run at different speeds (one in twenty).
    pub margin: Us,
}

/// How long a suspicion lasts among so many members: as told up to ten, then with the logarithm, as it takes a word that
/// much longer to get to all and back where datagrams are lost (SWIM, section 4.2, and what was measured here).
pub fn grown(suspicion: Us, members: usize) -> Us {
    (suspicion as f64 * (members.max(1) as f64).log10().max(1.0)) as Us
}

impl Terms {
    /// From the time between probes, the time of a suspicion and the number of members. A member picks whom it probes
    /// by a shuffled list, so each is probed once in two rounds at the latest.
    pub fn of(probe: Us, suspicion: Us, members: usize) -> Terms {
        let suspicion = grown(suspicion, members);
        let notice = probe.saturating_mul(2 * members.max(2) as u64 + 2).saturating_add(suspicion);
        Terms { notice, margin: notice / 10 + probe }
    }
    /// From the loss of a member until others may take what it had.
    pub fn wait(&self) -> Us {
        self.notice.saturating_add(self.margin)
    }
}

/// The part of this member.
///
/// Guards against two sides of a cut that together take more than there is. Harm: after a loss the rest leave unused,
/// for `notice` and `margin`, what the lost had; a minority takes nothing, and neither does anybody if no side has more
/// than half.
#[derive(Clone, Debug)]
pub struct Lease {
    terms: Terms,
    /// Agreed members that are not there, and since when this one counts them as lost.
    lost: BTreeMap<Name, Us>,
    /// Since when this member is on a side that leads, without a break.
    leads: Option<Us>,
    /// It has been on one before, or is new: only then has it something to wait for.
    parted: bool,
    part: f64,
}

impl Lease {
    /// A member that has just started: others may hold what its earlier start had, so it waits as after a cut.
    pub fn new(terms: Terms) -> Lease {
        Lease { terms, lost: BTreeMap::new(), leads: None, parted: true, part: 0.0 }
    }
    /// Other intervals, or another number of members.
    pub fn change(&mut self, terms: Terms) {
        self.terms = terms;
    }
    /// Of 1, the part of what all share.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// This member was paused, for how long it can't know: whatever it believed is not known any more.
    pub fn doubt(&mut self) {
        (self.leads, self.parted, self.part) = (None, true, 0.0);
    }

    /// Looks at the view; true if the part has changed. `agreed` and `there` are without this member; `size` with it.
    ///
    /// 1. Not on a side that leads: nothing, at once.
    /// 2. On one again, or for the first time: nothing, until all others must have seen this one come back.
    /// 3. Else an equal part of all that are agreed on, less those that have been lost for longer than it takes them
    ///    to notice. Whoever comes back counts at once.
    pub fn look(
        &mut self, now: Us, view: View, agreed: &BTreeSet<Name>, there: &BTreeSet<Name>, size: usize,
    ) -> bool {
        self.lost.retain(|name, _| agreed.contains(name) && !there.contains(name));
        for name in agreed.iter().filter(|name| !there.contains(*name)) {
            self.missing(now, name, true);
        }
        self.pass(now, view, size)
    }

    /// One name's part of a look: whether it is agreed on and not there. Whoever looks by names calls it for each of
    /// which that may have changed, and then [`Lease::pass`]: the same as a look over all.
    pub(crate) fn missing(&mut self, now: Us, name: &Name, missing: bool) {
        if !missing {
            self.lost.remove(name);
        } else if !self.lost.contains_key(name) {
            self.lost.insert(name.clone(), now);
        }
    }

    /// The part, by who is missing; true if it has changed.
    pub(crate) fn pass(&mut self, now: Us, view: View, size: usize) -> bool {
        let before = self.part;
        let wait = self.terms.wait();
        if !view.leads() {
            (self.leads, self.parted, self.part) = (None, true, 0.0);
            return self.part != before;
        }
        let since = *self.leads.get_or_insert(now);
        if self.parted && now.saturating_sub(since) < wait {
            self.part = 0.0;
            return self.part != before;
        }
        self.parted = false;
        let over = self.lost.values().filter(|since| now.saturating_sub(**since) >= wait).count();
        self.part = 1.0 / (size.saturating_sub(over).max(1) as f64);
        self.part != before
    }
}
