//! Simulated network of members in virtual time, with seeded partitions, loss, delays, pauses and restarts.

use super::reference::Reference;
use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Datagram in flight.
struct InFlight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Declaration of a member as dead by another one.
pub struct Detection {
    pub at: Us,
    /// Number of the member that made the declaration.
    pub by: usize,
    pub name: MemberName,
}

/// In-memory network, whose behavior is fully determined by its seed.
pub struct Network {
    pub now: Us,
    pub members: Vec<Option<Membership>>,
    in_flight: BTreeMap<(Us, u64), InFlight>,
    sequence: u64,
    rng: StdRng,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplicate_rate: f64,
    /// Minimum and maximum delay of a datagram.
    pub delay: (Us, Us),
    /// Blocked directions, as pairs of sender and receiver.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Paused members and the times at which they resume.
    pub paused: BTreeMap<usize, Us>,
    /// Datagrams in the socket buffers of paused members, as pairs of sender and bytes.
    queued: BTreeMap<usize, Vec<(usize, Vec<u8>)>>,
    last_generation: u64,
    pub sent: u64,
    pub bytes: u64,
    /// Hash of the times and members of all events.
    pub trace: u64,
    pub detections: Vec<Detection>,
    /// Greatest sum of the quota fractions so far.
    pub max_quota_sum: f64,
    /// Reference models that recompute the state of a member from complete sets. Empty unless a test uses them.
    pub references: Vec<Option<Reference>>,
}

impl Network {
    pub fn new(members: usize, seed: u64) -> Network {
        let all = (0..members).map(|n| Some(member(START, n, 1, members, CONTACTS.min(members))));
        Network {
            now: START,
            members: all.collect(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            duplicate_rate: 0.0,
            delay: (100, 2 * MS),
            blocked: BTreeSet::new(),
            paused: BTreeMap::new(),
            queued: BTreeMap::new(),
            last_generation: 1,
            sent: 0,
            bytes: 0,
            trace: 0,
            detections: Vec::new(),
            max_quota_sum: 0.0,
            references: Vec::new(),
        }
    }

    /// Returns a network whose members have found each other and use the whole quota.
    pub fn converged(members: usize, seed: u64) -> Network {
        let mut network = Network::new(members, seed);
        network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("all find each other");
        let wait = network.member(0).quota_reassignment_delay();
        network.run(wait + 2 * S);
        assert!(
            (network.quota_sum() - 1.0).abs() < 1e-9,
            "sum of the quota fractions: {}",
            network.quota_sum()
        );
        network
    }

    pub fn member(&self, n: usize) -> &Membership {
        self.members[n].as_ref().unwrap()
    }

    /// Returns the members whose process runs or is paused.
    pub fn alive(&self) -> impl Iterator<Item = &Membership> {
        self.members.iter().flatten()
    }

    /// Blocks all datagrams between different sides.
    pub fn partition(&mut self, sides: &[&[usize]]) {
        for (i, a) in sides.iter().enumerate() {
            for (_, b) in sides.iter().enumerate().filter(|(j, _)| *j != i) {
                for (from, to) in a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))) {
                    self.blocked.insert((from, to));
                    self.blocked.insert((to, from));
                }
            }
        }
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
    }

    pub fn restart(&mut self, n: usize) {
        self.last_generation += 1;
        self.members[n] = Some(member(self.now, n, self.last_generation, self.members.len(), CONTACTS));
    }

    /// Takes the events and datagrams of a member, checks them against its reference model, and sends the datagrams.
    pub fn take_output(&mut self, n: usize) {
        let Some(member) = &mut self.members[n] else { return };
        let (out, events) = (member.take_datagrams(), member.take_events());
        if let Some(Some(reference)) = self.references.get_mut(n) {
            reference.check(self.now, member, &events);
        }
        for event in events {
            self.trace = self.trace.wrapping_mul(31).wrapping_add(self.now).wrapping_add(n as u64);
            if let Event::Dead { name } = event {
                self.detections.push(Detection { at: self.now, by: n, name });
            }
        }
        for transmit in out {
            self.transmit(n, transmit);
        }
    }

    fn transmit(&mut self, from: usize, transmit: Transmit) {
        let Transmit { destination, contents: bytes } = transmit;
        let Some(to) = (0..self.members.len()).find(|n| addr(*n) == destination) else { return };
        self.sent += 1;
        self.bytes += bytes.len() as u64;
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplicate_rate);
        for _ in 0..copies {
            if self.blocked.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            let delay = self.rng.random_range(self.delay.0..=self.delay.1);
            self.sequence += 1;
            let datagram = InFlight { from, to, bytes: bytes.clone() };
            self.in_flight.insert((self.now + delay, self.sequence), datagram);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(member) = &mut self.members[to] {
            member.handle_datagram(self.now, addr(from), bytes);
            self.take_output(to);
        }
    }

    /// Returns the sum of the quota fractions in use, which must not exceed 1.
    pub fn quota_sum(&self) -> f64 {
        // A paused process uses nothing, whatever fraction it holds.
        let running = self.members.iter().enumerate().filter(|(n, _)| !self.paused.contains_key(n));
        running.filter_map(|(_, member)| member.as_ref()).map(Membership::quota_fraction).sum()
    }

    pub fn run(&mut self, duration: Us) {
        let until = self.now + duration;
        while self.step(until) {}
        self.now = until;
    }

    /// Executes the next event up to `until`, or returns false if there is none.
    ///
    /// An event is a resumed process, a datagram, or a wakeup.
    fn step(&mut self, until: Us) -> bool {
        let arrival = self.in_flight.first_key_value().map_or(Us::MAX, |((at, _), _)| *at);
        let (wakeup, woken) = self.next_wakeup();
        let resume = self.paused.iter().map(|(n, until)| (*until, *n)).min();
        let (resume, resumed) = resume.unwrap_or((Us::MAX, 0));
        let next = arrival.min(wakeup).min(resume);
        if next > until {
            return false;
        }
        self.now = self.now.max(next);
        if resume == next {
            self.resume(resumed);
        } else if arrival == next {
            let Some((_, datagram)) = self.in_flight.pop_first() else { return false };
            self.arrive(datagram);
        } else {
            self.tick(woken);
        }
        self.max_quota_sum = self.max_quota_sum.max(self.quota_sum());
        true
    }

    fn next_wakeup(&self) -> (Us, usize) {
        let running = (0..self.members.len()).filter(|n| !self.paused.contains_key(n));
        let wakeup = |n: usize| self.members[n].as_ref().map_or(Us::MAX, Membership::next_wakeup);
        running.map(|n| (wakeup(n).max(self.now), n)).min().unwrap_or((Us::MAX, 0))
    }

    fn resume(&mut self, n: usize) {
        self.paused.remove(&n);
        // The queued datagrams of the socket buffer are processed before the timers.
        for (from, bytes) in self.queued.remove(&n).unwrap_or_default() {
            self.deliver(from, n, &bytes);
        }
        self.tick(n);
    }

    fn arrive(&mut self, datagram: InFlight) {
        let InFlight { from, to, bytes } = datagram;
        if self.paused.contains_key(&to) {
            self.queued.entry(to).or_default().push((from, bytes));
        } else {
            self.deliver(from, to, &bytes);
        }
    }

    fn tick(&mut self, n: usize) {
        if let Some(member) = &mut self.members[n] {
            member.tick(self.now);
            let comparable = !self.references.is_empty() && !member.is_displaced();
            assert!(!comparable || member.suspects_match_foca(), "{n}");
            self.take_output(n);
        }
    }

    /// Runs until a condition holds, but at most for `limit`. Returns the time that took, or none at the limit.
    pub fn run_until(&mut self, limit: Us, holds: impl Fn(&Network) -> bool) -> Option<Us> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(100 * MS);
        }
        Some(self.now - start)
    }

    pub fn views(&self) -> Vec<View> {
        self.alive().map(Membership::view).collect()
    }

    pub fn all_see(&self, view: View) -> bool {
        self.views().iter().all(|seen| *seen == view)
    }

    pub fn view(&self, n: usize) -> View {
        self.member(n).view()
    }

    /// Returns the longest delay after which any member uses the quota of a lost one.
    pub fn quota_reassignment_delay(&self) -> Us {
        self.alive().map(Membership::quota_reassignment_delay).max().unwrap_or(0)
    }
}
