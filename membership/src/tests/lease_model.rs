//! Exhaustive model of three leases under all interleavings of partitions, heals, pauses and time.
//!
//! Each member detects a change at any time up to the end of its detection time.

use super::*;
use std::cmp::Reverse;
use std::collections::HashSet;

/// Number of members in the model.
const MEMBERS: usize = 3;
/// Number of time steps within which each member detects a change.
const DETECTION_STEPS: u64 = 2;
/// Number of transitions that are explored from the initial state.
const MAX_TRANSITIONS: usize = 6;
/// Age at which counters saturate, so that older states are the same.
const MAX_AGE_STEPS: u64 = 50;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Side of each member. Members on the same side receive each other's datagrams.
    side: [u8; MEMBERS],
    paused: [bool; MEMBERS],
    /// Time steps since the sides last changed. Each member detects that change within [`DETECTION_STEPS`].
    since_change: [u64; MEMBERS],
    /// Members that each member considers present.
    present: [[bool; MEMBERS]; MEMBERS],
    /// Time since each member lost each other one.
    lost_for: [[u64; MEMBERS]; MEMBERS],
    /// Time for which each member has considered itself part of a quorum.
    quorum_for: [Option<u64>; MEMBERS],
    /// Members that wait until the others must have detected their return.
    must_wait: [bool; MEMBERS],
}

impl State {
    fn initial() -> State {
        State {
            side: [0; MEMBERS],
            paused: [false; MEMBERS],
            since_change: [0; MEMBERS],
            present: [[true; MEMBERS]; MEMBERS],
            lost_for: [[0; MEMBERS]; MEMBERS],
            quorum_for: [Some(MAX_AGE_STEPS); MEMBERS],
            must_wait: [false; MEMBERS],
        }
    }

    /// Returns the fractions that the members use, computed by the lease under test. With `without_delay`, fractions
    /// grow at once.
    fn fractions(&self, without_delay: bool) -> [f64; MEMBERS] {
        let delay = if without_delay { 0 } else { DETECTION_STEPS + 1 };
        let mut fractions = [0.0; MEMBERS];
        for n in (0..MEMBERS).filter(|n| !self.paused[*n]) {
            if let Some(quorum_for) = self.quorum_for[n] {
                fractions[n] = self.fraction(n, quorum_for, delay);
            }
        }
        fractions
    }

    /// Returns the fraction of a lease that is brought into the state of member `n`: it has had a quorum for
    /// `quorum_for`, and has missed each lost member for the time recorded in `lost_for`.
    fn fraction(&self, n: usize, quorum_for: u64, delay: Us) -> f64 {
        const NOW: Us = 1_000;
        let mut lease = QuotaLease::new(LeaseTiming { detection_time: delay, margin: 0 });
        let agreed: BTreeSet<MemberName> = others(n).map(name).collect();
        if !self.must_wait[n] {
            lease.update(0, View::Complete, &agreed, &agreed, MEMBERS);
            lease.update(delay, View::Complete, &agreed, &agreed, MEMBERS);
        }
        let lost = others(n).filter(|m| !self.present[n][*m]);
        let mut lost: Vec<(u64, usize)> = lost.map(|m| (self.lost_for[n][m], m)).collect();
        lost.sort_by_key(|(lost_for, _)| Reverse(*lost_for));
        let mut reachable = agreed.clone();
        lease.update(NOW - quorum_for, View::Majority, &agreed, &reachable, MEMBERS);
        for (lost_for, m) in lost {
            reachable.remove(&name(m));
            lease.update(NOW - lost_for, View::Majority, &agreed, &reachable, MEMBERS);
        }
        lease.update(NOW, View::Majority, &agreed, &reachable, MEMBERS);
        lease.fraction()
    }

    /// Returns all possible next states.
    fn successors(&self) -> Vec<State> {
        let mut successors = Vec::new();
        for side in [[0, 0, 0], [0, 0, 1], [0, 1, 0], [1, 0, 0], [0, 1, 2]] {
            if side != self.side {
                successors.push(State { side, since_change: [0; MEMBERS], ..self.clone() });
            }
        }
        successors.extend((0..MEMBERS).map(|n| self.pause_or_resume(n)));
        successors.extend((0..1_u8 << MEMBERS).map(|early_mask| self.pass_time(early_mask)));
        successors
    }

    fn pause_or_resume(&self, n: usize) -> State {
        let mut next = self.clone();
        next.paused[n] = !next.paused[n];
        if !next.paused[n] {
            // A resumed member revokes its lease before anything else.
            (next.quorum_for[n], next.must_wait[n]) = (None, true);
        }
        next
    }

    /// Returns the state after one time step.
    ///
    /// The members in the mask detect changes now, and all others at the end of their detection time at the latest. A
    /// paused member uses no quota, as it answers nothing, but its state stays unchanged.
    fn pass_time(&self, early_mask: u8) -> State {
        let mut next = self.clone();
        for n in (0..MEMBERS).filter(|n| !self.paused[*n]) {
            next.since_change[n] += 1;
            next.quorum_for[n] = next.quorum_for[n].map(|age| (age + 1).min(MAX_AGE_STEPS));
            next.lost_for[n].iter_mut().for_each(|age| *age = (*age + 1).min(MAX_AGE_STEPS));
            if early_mask >> n & 1 == 1 || next.since_change[n] >= DETECTION_STEPS {
                next.detect_changes(n, self);
            }
        }
        next
    }

    /// Updates the members that member `n` considers present, its quorum and its waiting state.
    fn detect_changes(&mut self, n: usize, actual: &State) {
        for m in others(n) {
            let heard = actual.side[n] == actual.side[m] && !actual.paused[m];
            if self.present[n][m] && !heard {
                self.lost_for[n][m] = 0;
            }
            self.present[n][m] = heard;
        }
        let count = 1 + others(n).filter(|m| self.present[n][*m]).count();
        if count < 2 {
            (self.quorum_for[n], self.must_wait[n]) = (None, true);
        } else if self.quorum_for[n].is_none() {
            self.quorum_for[n] = Some(0);
        }
        if self.must_wait[n] && self.quorum_for[n].is_some_and(|age| age > DETECTION_STEPS) {
            self.must_wait[n] = false;
        }
    }
}

fn others(n: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |m| *m != n)
}

/// Returns the number of reachable states, and the greatest sum of fractions in any of them.
fn explore(without_delay: bool) -> (usize, f64) {
    let initial = State::initial();
    let (mut seen, mut frontier, mut max) = (HashSet::from([initial.clone()]), vec![initial], 0.0_f64);
    for _ in 0..MAX_TRANSITIONS {
        let mut next = Vec::new();
        for state in frontier.iter().flat_map(State::successors) {
            max = max.max(state.fractions(without_delay).iter().sum());
            if seen.insert(state.clone()) {
                next.push(state);
            }
        }
        frontier = next;
    }
    (seen.len(), max)
}

#[test]
fn no_interleaving_exceeds_the_quota_and_a_missing_delay_is_detected() {
    let (states, max) = explore(false);
    println!("{states} states, greatest sum of fractions {max}");
    assert!(states > 1_000, "{states}");
    assert!(max <= 1.0 + 1e-9, "{max}");
    let (_, max) = explore(true);
    assert!(max > 1.0 + 1e-9, "fractions that grow without delay were not detected: {max}");
}
