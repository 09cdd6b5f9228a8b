//! Every interleaving of partition, heal, pause and time on three leases, where each member notices as late as it may.

use super::*;
use std::cmp::Reverse;
use std::collections::HashSet;

/// Members of the model.
const MEMBERS: usize = 3;
/// Steps of time within which each member must have noticed what has changed.
const DETECTION_TIME: u64 = 2;
/// Steps that are explored.
const DEPTH: usize = 6;
/// Ages beyond which states don't differ.
const MAX_AGE: u64 = 50;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The side of each; members on one side hear each other.
    side: [u8; MEMBERS],
    paused: [bool; MEMBERS],
    /// For how long each is on its present side.
    since_change: [u64; MEMBERS],
    /// Whom each believes to be present, and how long ago it lost each.
    present: [[bool; MEMBERS]; MEMBERS],
    lost_for: [[u64; MEMBERS]; MEMBERS],
    /// For how long each believes to have a quorum.
    quorum_for: [Option<u64>; MEMBERS],
    /// It waits until the others must have seen it come back.
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
            quorum_for: [Some(MAX_AGE); MEMBERS],
            must_wait: [false; MEMBERS],
        }
    }

    /// The fractions that the members use, by the lease itself. `without_delay`: fractions grow at once.
    fn fractions(&self, without_delay: bool) -> [f64; MEMBERS] {
        let delay = if without_delay { 0 } else { DETECTION_TIME + 1 };
        let mut fractions = [0.0; MEMBERS];
        for n in (0..MEMBERS).filter(|n| !self.paused[*n]) {
            if let Some(quorum_for) = self.quorum_for[n] {
                fractions[n] = self.fraction(n, quorum_for, delay);
            }
        }
        fractions
    }

    /// Brings a lease to where a member is: with a quorum for so long, without each lost member for so long.
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

    /// All states that may follow.
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
            // It doubts itself before it does anything else.
            (next.quorum_for[n], next.must_wait[n]) = (None, true);
        }
        next
    }

    /// Time passes: each member of the mask notices now what has changed, and each has to by the end of its detection
    /// time. A paused one uses nothing meanwhile, as it answers nothing, but what it believes stays.
    fn pass_time(&self, early_mask: u8) -> State {
        let mut next = self.clone();
        for n in (0..MEMBERS).filter(|n| !self.paused[*n]) {
            next.since_change[n] += 1;
            next.quorum_for[n] = next.quorum_for[n].map(|age| (age + 1).min(MAX_AGE));
            next.lost_for[n].iter_mut().for_each(|age| *age = (*age + 1).min(MAX_AGE));
            if early_mask >> n & 1 == 1 || next.since_change[n] >= DETECTION_TIME {
                next.detect_changes(n, self);
            }
        }
        next
    }

    /// A member notices who can be heard.
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
        if self.must_wait[n] && self.quorum_for[n].is_some_and(|age| age > DETECTION_TIME) {
            self.must_wait[n] = false;
        }
    }
}

fn others(n: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |m| *m != n)
}

/// The number of states that can be reached, and the greatest sum of fractions in any of them.
fn explore(without_delay: bool) -> (usize, f64) {
    let initial = State::initial();
    let (mut seen, mut frontier, mut max) = (HashSet::from([initial.clone()]), vec![initial], 0.0_f64);
    for _ in 0..DEPTH {
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
    println!("{states} states, at most {max} of the quota");
    assert!(states > 1_000, "{states}");
    assert!(max <= 1.0 + 1e-9, "{max}");
    let (_, max) = explore(true);
    assert!(max > 1.0 + 1e-9, "fractions that grow at once were not noticed: {max}");
}
