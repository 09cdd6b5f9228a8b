//! A simulation of members in memory on virtual time.
//!
//! The members are the state machines of `asterrill-membership`; an event queue drives them. The simulation omits
//! sockets, system calls, threads and the rest of the process.

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

/// One millisecond.
pub const MILLISECOND: Us = 1_000;
/// One second.
pub const SECOND: Us = 1_000 * MILLISECOND;
/// The virtual time at which a simulation starts.
pub const START_TIME: Us = 1_000 * SECOND;
const NETWORK_DELAY: RangeInclusive<Us> = 100..=2 * MILLISECOND;
/// Time over which the members of a fleet start.
const START_SPREAD: Us = SECOND;
const MAX_CONTACTS: usize = 3;
/// Rounding error up to which sums of quota shares count as equal.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// A report of a member that another has failed.
pub struct FailureReport {
    /// The virtual time of the report.
    pub at: Us,
    /// The index of the reporting member.
    pub observer: usize,
    /// The index of the member reported as failed.
    pub subject: usize,
    /// Whether the subject was up and no partition separated the two.
    pub false_positive: bool,
}

/// One slot of the fleet, with the last observed output of its member.
struct Slot {
    member: Option<Membership>,
    start: u64,
    /// Datagrams that arrive before this time are ignored.
    starts_at: Us,
    /// The virtual time of the next scheduled tick.
    next_tick: Us,
    /// The start number of each other member that the member considers up; zero for a member that it does not.
    known_starts: Vec<u64>,
    /// Whether the member has ever considered each other member up.
    discovered: Vec<bool>,
    view: View,
    quota_share: f64,
    /// The side of a partition that it is on.
    side: u8,
}

/// A simulated fleet, determined by its seed.
pub struct Simulation {
    /// The virtual time.
    pub now: Us,
    config: MembershipConfig,
    slots: Vec<Slot>,
    queue: ActionQueue,
    rng: StdRng,
    /// Fraction of datagrams that are lost.
    loss: f64,
    /// Number of sent datagrams.
    pub sent: u64,
    /// Total size of the sent datagrams, in bytes.
    pub bytes: u64,
    /// Size of the longest datagram, in bytes.
    pub bytes_max: usize,
    /// Number of ordered pairs of running members of which the first does not consider the second up.
    unknown_pairs: usize,
    /// Number of ordered pairs of members of which the first has never considered the second up.
    undiscovered_pairs: usize,
    /// Sum of the quota shares of all members.
    total_share: f64,
    /// Maximum of the sum of quota shares so far.
    pub max_total_share: f64,
    /// All failure reports so far.
    pub failures: Vec<FailureReport>,
    /// Hash over all datagrams and all events of members.
    pub trace_hash: u64,
}

/// State that a member persists for its next start.
#[derive(Default)]
pub struct PersistedMembers {
    /// Names of the agreed members.
    agreed: BTreeSet<MemberName>,
    addresses: Vec<SocketAddr>,
}

/// Returns the address of a member.
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
    /// Creates a fleet of `nodes` members, which start within a second with the first three as contacts.
    pub fn new(nodes: usize, seed: u64, config: MembershipConfig, loss: f64) -> Simulation {
        let slot = |_| Slot {
            member: None,
            start: 0,
            starts_at: START_TIME,
            next_tick: Us::MAX,
            known_starts: vec![0; nodes],
            discovered: vec![false; nodes],
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
            undiscovered_pairs: nodes * nodes.saturating_sub(1),
            total_share: 0.0,
            max_total_share: 0.0,
            failures: Vec::new(),
            trace_hash: 0,
        };
        simulation.start((0..nodes).map(|n| (n, PersistedMembers::default())).collect(), START_SPREAD);
        simulation
    }

    /// Starts members at random times within `spread`, with the state that their earlier starts persisted.
    pub fn start(&mut self, members: Vec<(usize, PersistedMembers)>, spread: Us) {
        members.into_iter().for_each(|(n, persisted)| self.start_member(n, spread, persisted));
        self.count_unknown_pairs();
    }
    fn start_member(&mut self, n: usize, spread: Us, persisted: PersistedMembers) {
        let Some(name) = MemberName::new(&format!("n{n}")) else { return };
        let starts_at = self.now + self.rng.random_range(0..=spread);
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
        let member = Membership::new(starts_at, id, codec, self.config, contacts, persisted.agreed, seed);
        let slot = &mut self.slots[n];
        slot.known_starts.iter_mut().for_each(|start| *start = 0);
        (slot.start, slot.starts_at, slot.view) = (start, starts_at, member.view());
        slot.member = Some(member);
        self.schedule_tick(n, starts_at);
    }
    /// Stops a member, after an announcement if `announced`. Returns its persisted state.
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
        slot.next_tick = Us::MAX;
        self.count_unknown_pairs();
        PersistedMembers { agreed: state.agreed_members, addresses: state.addresses }
    }
    /// Partitions the fleet into the first `first` members and the rest. Zero heals the partition.
    pub fn partition(&mut self, first: usize) {
        self.slots.iter_mut().enumerate().for_each(|(n, slot)| slot.side = u8::from(n < first));
    }

    /// Reports whether a member is running.
    pub fn is_up(&self, n: usize) -> bool {
        self.slots[n].member.is_some()
    }
    /// Returns a running member.
    pub fn member(&self, n: usize) -> Option<&Membership> {
        self.slots.get(n)?.member.as_ref()
    }
    /// Reports whether all running members consider each other up.
    pub fn all_known(&self) -> bool {
        self.unknown_pairs == 0
    }
    /// Reports whether each member has considered each other up at some time.
    pub fn all_discovered(&self) -> bool {
        self.undiscovered_pairs == 0
    }
    /// Reports whether all running members see the whole fleet.
    pub fn all_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.member.is_none() || slot.view == View::Complete)
    }
    /// Reports whether the whole quota is in use.
    pub fn quota_fully_assigned(&self) -> bool {
        self.total_share >= 1.0 - SHARE_SUM_TOLERANCE
    }
    /// Returns the sum of the quota shares of all members; 1 is the whole quota.
    pub fn total_share(&self) -> f64 {
        self.total_share
    }
    /// Returns the number of running members without a quota share.
    pub fn members_without_share(&self) -> usize {
        self.slots.iter().filter(|slot| slot.member.is_some() && slot.quota_share == 0.0).count()
    }
    /// Returns the quota share of a member; 1 is the whole quota.
    pub fn quota_share(&self, n: usize) -> f64 {
        self.slots[n].quota_share
    }
    /// Reports whether the sum of quota shares ever exceeded the whole quota.
    pub fn exceeded_total_quota(&self) -> bool {
        self.max_total_share > 1.0 + SHARE_SUM_TOLERANCE
    }

    /// Runs for a time span.
    pub fn run(&mut self, span: Us) {
        let end = self.now + span;
        while let Some(TimedAction { at, action, .. }) = self.queue.pop_until(end) {
            match action {
                Action::Tick(n) => {
                    if self.slots[n].next_tick != at {
                        // The tick was rescheduled.
                        continue;
                    }
                    self.now = at;
                    self.slots[n].next_tick = Us::MAX;
                    if let Some(member) = &mut self.slots[n].member {
                        member.tick(at);
                    }
                    self.process_output(n);
                }
                Action::Datagram { from, to, bytes } => {
                    self.now = at;
                    let slot = &mut self.slots[to];
                    if let Some(member) = slot.member.as_mut().filter(|_| slot.starts_at <= at) {
                        member.handle_datagram(at, address_of(from), &bytes);
                        self.process_output(to);
                    }
                }
            }
        }
        self.now = end;
        // An incrementally updated sum accumulates rounding errors.
        self.total_share = self.slots.iter().map(|slot| slot.quota_share).sum();
    }
    /// Runs until a condition holds. Returns the time it took, or `None` after a timeout.
    pub fn run_until(&mut self, timeout: Us, holds: impl Fn(&Simulation) -> bool) -> Option<Us> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= timeout {
                return None;
            }
            self.run(100 * MILLISECOND);
        }
        Some(self.now - start)
    }

    fn schedule_tick(&mut self, n: usize, at: Us) {
        if at != self.slots[n].next_tick {
            self.slots[n].next_tick = at;
            if at != Us::MAX {
                self.queue.push(at, Action::Tick(n));
            }
        }
    }
    fn update_trace_hash(&mut self, word: u64) {
        self.trace_hash = (self.trace_hash ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }

    /// Sends the datagrams of a member, records its events and schedules its next tick.
    fn process_output(&mut self, n: usize) {
        let Some(member) = &mut self.slots[n].member else { return };
        let (datagrams, events, next_tick, share) =
            (member.take_datagrams(), member.take_events(), member.next_wakeup(), member.quota_fraction());
        for event in events {
            self.record_event(n, &event);
        }
        let slot = &mut self.slots[n];
        self.total_share += share - std::mem::replace(&mut slot.quota_share, share);
        self.max_total_share = self.max_total_share.max(self.total_share);
        for Transmit { destination, contents: bytes } in datagrams {
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
            self.bytes_max = self.bytes_max.max(bytes.len());
            let Some(to) = index_of(destination).filter(|to| *to < self.slots.len()) else { continue };
            // The keyed hash covers the whole contents.
            let hash = bytes.get(33..41).and_then(|hash| hash.try_into().ok()).map_or(0, u64::from_le_bytes);
            self.update_trace_hash(self.now ^ hash ^ (to as u64) << 32 ^ n as u64);
            let lost = self.loss > 0.0 && self.rng.random::<f64>() < self.loss;
            if lost || self.slots[n].side != self.slots[to].side {
                continue;
            }
            let arrival = self.now + self.rng.random_range(NETWORK_DELAY);
            self.queue.push(arrival, Action::Datagram { from: n, to, bytes });
        }
        // This cannot loop, because a member never asks for an unneeded second tick at the same time.
        self.schedule_tick(n, next_tick.max(self.now));
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
                    let (observer, subject) = (&self.slots[n], &self.slots[m]);
                    let was_up = subject.member.is_some() && observer.known_starts[m] == subject.start;
                    let false_positive = was_up && observer.side == subject.side;
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
        let (up, current) = (self.slots[m].member.is_some(), self.slots[m].start);
        let slot = &mut self.slots[n];
        let before = std::mem::replace(&mut slot.known_starts[m], start);
        if start != 0 && !std::mem::replace(&mut slot.discovered[m], true) {
            self.undiscovered_pairs -= 1;
        }
        if up && slot.member.is_some() {
            self.unknown_pairs = (self.unknown_pairs + usize::from(start != current))
                .saturating_sub(usize::from(before != current));
        }
    }
    fn count_unknown_pairs(&mut self) {
        let up: Vec<Option<u64>> =
            self.slots.iter().map(|slot| slot.member.as_ref().map(|_| slot.start)).collect();
        let unknown_of = |(n, slot): (usize, &Slot)| {
            let is_unknown = |(m, start): &(usize, &Option<u64>)| {
                *m != n && start.is_some_and(|start| slot.known_starts.get(*m) != Some(&start))
            };
            up.iter().enumerate().filter(is_unknown).count()
        };
        self.unknown_pairs =
            self.slots.iter().enumerate().filter(|(_, slot)| slot.member.is_some()).map(unknown_of).sum();
    }
}

#[cfg(test)]
#[path = "tests/simulation.rs"]
mod tests;
