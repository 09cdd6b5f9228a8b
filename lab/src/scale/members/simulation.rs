//! Members simulated in memory on virtual time: the state machines of `asterrill-membership` as they are, with a driver
//! that looks only at what is due next. What it leaves out: sockets, system calls, threads, the rest of the process.

use super::action_queue::{Action, ActionQueue, TimedAction};
use asterrill::Us;
use asterrill_membership::{
    EnvelopeCodec, Event, MemberId, MemberName, Membership, MembershipConfig, Transmit, View,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

/// A millisecond in [`Us`].
pub const MILLISECOND: Us = 1_000;
/// A second in [`Us`].
pub const SECOND: Us = 1_000 * MILLISECOND;
/// When a simulation begins.
pub const START_TIME: Us = 1_000 * SECOND;
const NETWORK_DELAY: RangeInclusive<Us> = 100..=2 * MILLISECOND; // of a datagram on its way
const START_SPREAD: Us = SECOND; // over which a fleet starts
const MAX_CONTACTS: usize = 3;
const SHARE_SUM_TOLERANCE: f64 = 1e-6; // sums of parts that differ by less are the same

/// A member says that another has failed.
pub struct FailureReport {
    /// When.
    pub at: Us,
    /// Which says so.
    pub observer: usize,
    /// Of which.
    pub subject: usize,
    /// That one was there, and nothing between the two was cut.
    pub false_positive: bool,
}

/// One place in the fleet, and what its member was seen to say.
struct Slot {
    member: Option<Membership>,
    start: u64,
    /// It takes nothing before.
    starts_at: Us,
    /// When its next tick is set for.
    wake: Us,
    /// Which start of each other it takes for up; zero for none.
    known_starts: Vec<u64>,
    /// Whom it has ever taken for up.
    met: Vec<bool>,
    view: View,
    quota_share: f64,
    /// Which side of a cut it is on.
    side: u8,
}

/// A simulated fleet. All in it follows from the seed.
pub struct Simulation {
    /// The virtual time.
    pub now: Us,
    config: MembershipConfig,
    slots: Vec<Slot>,
    queue: ActionQueue,
    rng: StdRng,
    /// Of 1, the part of datagrams that get lost.
    loss: f64,
    /// Datagrams that were sent.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bytes of the longest.
    pub bytes_max: usize,
    /// Pairs of members that are up of which one does not take the other for up.
    unknown_pairs: usize,
    /// And of which it never has.
    unmet_pairs: usize,
    /// The sum of what all take.
    total_share: f64,
    /// The greatest sum so far.
    pub max_total_share: f64,
    /// What members said of each other.
    pub failures: Vec<FailureReport>,
    /// All that was sent and all events of members, as one number.
    pub trace_hash: u64,
}

/// What a start of a member persisted for the next one.
#[derive(Default)]
pub struct PersistedMembers {
    /// Names that were agreed on.
    agreed: BTreeSet<MemberName>,
    addresses: Vec<SocketAddr>,
}

/// The address of a member.
fn address_of(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_946))
}
fn index_of(at: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = at.ip() else { return None };
    let [_, _, high, low] = ip.octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}
fn index_in_name(name: &MemberName) -> Option<usize> {
    name.as_str().strip_prefix('n')?.parse().ok()
}

impl Simulation {
    /// So many members, which start within a second with three of them as contacts.
    pub fn new(nodes: usize, seed: u64, config: MembershipConfig, loss: f64) -> Simulation {
        let slot = |_| Slot {
            member: None,
            start: 0,
            starts_at: START_TIME,
            wake: Us::MAX,
            known_starts: vec![0; nodes],
            met: vec![false; nodes],
            view: View::Isolated,
            quota_share: 0.0,
            side: 0,
        };
        let mut simulation = Simulation {
            now: START_TIME,
            config,
            slots: (0..nodes).map(slot).collect(),
            queue: ActionQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            loss,
            sent: 0,
            bytes: 0,
            bytes_max: 0,
            unknown_pairs: 0,
            unmet_pairs: nodes * nodes.saturating_sub(1),
            total_share: 0.0,
            max_total_share: 0.0,
            failures: Vec::new(),
            trace_hash: 0,
        };
        simulation.start((0..nodes).map(|n| (n, PersistedMembers::default())).collect(), START_SPREAD);
        simulation
    }

    /// Starts some within so long, with the names and addresses that their earlier starts persisted.
    pub fn start(&mut self, some: Vec<(usize, PersistedMembers)>, within: Us) {
        some.into_iter().for_each(|(n, persisted)| self.start_member(n, within, persisted));
        self.count_unknown_pairs();
    }
    fn start_member(&mut self, n: usize, within: Us, persisted: PersistedMembers) {
        let Some(name) = MemberName::new(&format!("n{n}")) else { return };
        let since = self.now + self.rng.random_range(0..=within);
        let start = self.slots[n].start + 1;
        let id = MemberId {
            name,
            addr: address_of(n),
            generation: start,
            incarnation: 0,
            zone: String::new(),
            capacity: 1,
        };
        let codec = EnvelopeCodec::new(b"a secret of the lab", "lab", &format!("n{n}"), start);
        let contacts =
            (0..MAX_CONTACTS.min(self.slots.len())).map(address_of).chain(persisted.addresses).collect();
        let seed = self.rng.random();
        let member = Membership::new(since, id, codec, self.config, contacts, persisted.agreed, seed);
        let slot = &mut self.slots[n];
        slot.known_starts.iter_mut().for_each(|start| *start = 0);
        (slot.start, slot.starts_at, slot.view) = (start, since, member.view());
        slot.member = Some(member);
        self.set_wake(n, since);
    }
    /// Ends one where it stands, or after it has announced that it leaves. Hands back what it had persisted.
    pub fn stop(&mut self, n: usize, announced: bool) -> PersistedMembers {
        let now = self.now;
        if announced {
            if let Some(member) = &mut self.slots[n].member {
                member.leave(now);
            }
            self.process_output(n);
        }
        let slot = &mut self.slots[n];
        let state = slot.member.take().map(|member| member.persisted_state(0)).unwrap_or_default();
        self.total_share -= std::mem::take(&mut slot.quota_share);
        slot.wake = Us::MAX;
        self.count_unknown_pairs();
        PersistedMembers { agreed: state.agreed_members, addresses: state.addresses }
    }
    /// Cuts the fleet: the first so many hear only each other, and so do the rest. All hear all with none.
    pub fn partition(&mut self, first: usize) {
        self.slots.iter_mut().enumerate().for_each(|(n, slot)| slot.side = u8::from(n < first));
    }

    /// Whether a member is there.
    pub fn up(&self, n: usize) -> bool {
        self.slots[n].member.is_some()
    }
    /// A member that is there.
    pub fn member(&self, n: usize) -> Option<&Membership> {
        self.slots.get(n)?.member.as_ref()
    }
    /// Whether all members that are up know each other.
    pub fn all_known(&self) -> bool {
        self.unknown_pairs == 0
    }
    /// Whether each has known each other at one time.
    pub fn all_met(&self) -> bool {
        self.unmet_pairs == 0
    }
    /// Whether all members that are up see the whole fleet.
    pub fn all_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.member.is_none() || slot.view == View::Complete)
    }
    /// Whether all of what is divided is taken.
    pub fn all_shares_taken(&self) -> bool {
        self.total_share >= 1.0 - SHARE_SUM_TOLERANCE
    }
    /// What all members take of the whole (1).
    pub fn total_share(&self) -> f64 {
        self.total_share
    }
    /// Members that are up and take nothing.
    pub fn members_without_share(&self) -> usize {
        self.slots.iter().filter(|slot| slot.member.is_some() && slot.quota_share == 0.0).count()
    }
    /// What a member takes of the whole (1).
    pub fn quota_share(&self, n: usize) -> f64 {
        self.slots[n].quota_share
    }
    /// Whether more than the whole was taken.
    pub fn exceeded_total_quota(&self) -> bool {
        self.max_total_share > 1.0 + SHARE_SUM_TOLERANCE
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Us) {
        let until = self.now + span;
        while let Some(TimedAction { at: when, action, .. }) = self.queue.pop_until(until) {
            match action {
                Action::Wake(n) => {
                    if self.slots[n].wake != when {
                        continue; // it was set anew
                    }
                    self.now = when;
                    self.slots[n].wake = Us::MAX;
                    if let Some(member) = &mut self.slots[n].member {
                        member.tick(when);
                    }
                    self.process_output(n);
                }
                Action::Datagram { from, to, bytes } => {
                    self.now = when;
                    let slot = &mut self.slots[to];
                    if let Some(member) = slot.member.as_mut().filter(|_| slot.starts_at <= when) {
                        member.handle_datagram(when, address_of(from), &bytes);
                        self.process_output(to);
                    }
                }
            }
        }
        self.now = until;
        // A sum that is held up to date step by step drifts.
        self.total_share = self.slots.iter().map(|slot| slot.quota_share).sum();
    }
    /// Runs until it holds, at most so long; how long that took.
    pub fn run_until(&mut self, most: Us, holds: impl Fn(&Simulation) -> bool) -> Option<Us> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(100 * MILLISECOND);
        }
        Some(self.now - start)
    }

    fn set_wake(&mut self, n: usize, wake: Us) {
        if wake != self.slots[n].wake {
            self.slots[n].wake = wake;
            if wake != Us::MAX {
                self.queue.push(wake, Action::Wake(n));
            }
        }
    }
    fn update_trace_hash(&mut self, word: u64) {
        self.trace_hash = (self.trace_hash ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }

    /// Sends what a member has to send, records what it says, and sets its next tick.
    fn process_output(&mut self, n: usize) {
        let Some(member) = &mut self.slots[n].member else { return };
        let (out, events, next, part) =
            (member.take_datagrams(), member.take_events(), member.next_wakeup(), member.quota_fraction());
        for event in events {
            self.record_event(n, &event);
        }
        let slot = &mut self.slots[n];
        self.total_share += part - std::mem::replace(&mut slot.quota_share, part);
        self.max_total_share = self.max_total_share.max(self.total_share);
        for Transmit { destination, contents: bytes } in out {
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
            self.bytes_max = self.bytes_max.max(bytes.len());
            let Some(to) = index_of(destination).filter(|to| *to < self.slots.len()) else { continue };
            // The keyed hash stands for all that is in it.
            let hash = bytes.get(33..41).and_then(|hash| hash.try_into().ok()).map_or(0, u64::from_le_bytes);
            self.update_trace_hash(self.now ^ hash ^ (to as u64) << 32 ^ n as u64);
            let lost = self.loss > 0.0 && self.rng.random::<f64>() < self.loss;
            if lost || self.slots[n].side != self.slots[to].side {
                continue;
            }
            let due = self.now + self.rng.random_range(NETWORK_DELAY);
            self.queue.push(due, Action::Datagram { from: n, to, bytes });
        }
        // A member never wants to wake twice at one moment for nothing.
        self.set_wake(n, next.max(self.now));
    }

    fn record_event(&mut self, n: usize, event: &Event) {
        let mut hash = self.now;
        for byte in format!("{event:?}").bytes() {
            hash = hash.wrapping_mul(31).wrapping_add(u64::from(byte));
        }
        self.update_trace_hash(hash ^ (n as u64) << 48);
        match event {
            Event::Alive { name, generation, .. } => self.record_known(n, name, *generation),
            Event::Dead { name } => {
                if let Some(m) = index_in_name(name).filter(|m| *m < self.slots.len()) {
                    let (by, of) = (&self.slots[n], &self.slots[m]);
                    let there = of.member.is_some() && by.known_starts[m] == of.start;
                    let false_positive = there && by.side == of.side;
                    self.failures.push(FailureReport {
                        at: self.now,
                        observer: n,
                        subject: m,
                        false_positive,
                    });
                }
                self.record_known(n, name, 0);
            }
            Event::Left { name } => self.record_known(n, name, 0),
            Event::ViewChanged { view, .. } => self.slots[n].view = *view,
            _ => {}
        }
    }
    fn record_known(&mut self, n: usize, name: &MemberName, start: u64) {
        let Some(m) = index_in_name(name).filter(|m| *m < self.slots.len() && *m != n) else { return };
        let (up, is) = (self.slots[m].member.is_some(), self.slots[m].start);
        let slot = &mut self.slots[n];
        let before = std::mem::replace(&mut slot.known_starts[m], start);
        if start != 0 && !std::mem::replace(&mut slot.met[m], true) {
            self.unmet_pairs -= 1;
        }
        if up && slot.member.is_some() {
            self.unknown_pairs =
                (self.unknown_pairs + usize::from(start != is)).saturating_sub(usize::from(before != is));
        }
    }
    fn count_unknown_pairs(&mut self) {
        let up: Vec<Option<u64>> =
            self.slots.iter().map(|slot| slot.member.as_ref().map(|_| slot.start)).collect();
        let row = |(n, slot): (usize, &Slot)| {
            let one = |(m, start): &(usize, &Option<u64>)| {
                *m != n && start.is_some_and(|start| slot.known_starts.get(*m) != Some(&start))
            };
            up.iter().enumerate().filter(one).count()
        };
        self.unknown_pairs = self.slots.iter().enumerate().filter(|(_, p)| p.member.is_some()).map(row).sum();
    }
}

#[cfg(test)]
#[path = "tests/simulation.rs"]
mod tests;
