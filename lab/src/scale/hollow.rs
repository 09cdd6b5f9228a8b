//! Members in memory on virtual time: the state machines of `asterrill-membership` as they are, with a driver that
//! looks only at what is due next. What it leaves out: sockets, system calls, threads, the rest of the process.

use asterrill::Us;
use asterrill_membership::{
    EnvelopeCodec, Event, MemberId, MemberName, Membership, MembershipConfig, Transmit, View,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{IpAddr, SocketAddr};

pub const MS: Us = 1_000;
pub const S: Us = 1_000 * MS;
const START: Us = 1_000 * S;
const DELAY: (Us, Us) = (100, 2 * MS); // of a datagram on its way
const STAGGER: Us = S; // over which a fleet starts
const CONTACTS: usize = 3;
const SAME: f64 = 1e-6; // sums of parts that differ by less are the same

/// What happens at a moment.
enum What {
    /// A member may want its tick; which time it was set for is looked up, as it may have been set anew.
    Wake(usize),
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
}

/// In the order of time, then in the order in which they were set.
struct Moment {
    at: Us,
    number: u64,
    what: What,
}

impl PartialEq for Moment {
    fn eq(&self, other: &Moment) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Moment {}
impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Moment) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Moment {
    fn cmp(&self, other: &Moment) -> Ordering {
        // The heap has the greatest first.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A member that says that another has failed.
pub struct Failed {
    pub at: Us,
    pub by: usize,
    pub whom: usize,
    /// It was there, and nothing between the two was cut.
    pub wrong: bool,
}

/// One place in the fleet, and what its member was seen to say.
struct Place {
    member: Option<Membership>,
    start: u64,
    /// It takes nothing before.
    since: Us,
    /// When its next tick is set for.
    wake: Us,
    /// Which start of each other it takes for up; zero for none.
    knows: Vec<u64>,
    /// Whom it has ever taken for up.
    met: Vec<bool>,
    view: View,
    part: f64,
    /// Which side of a cut it is on.
    side: u8,
}

/// See the module's page. All in it follows from the seed.
pub struct Hollow {
    pub now: Us,
    terms: MembershipConfig,
    places: Vec<Place>,
    due: BinaryHeap<Moment>,
    number: u64,
    chance: StdRng,
    pub loss: f64,
    pub sent: u64,
    pub bytes: u64,
    pub bytes_max: usize,
    /// Pairs of members that are up of which one does not take the other for up.
    apart: usize,
    /// And of which it never has.
    unmet: usize,
    /// What all take together, now and at the most.
    sum: f64,
    pub most: f64,
    pub failed: Vec<Failed>,
    /// All that was sent and all that became known, as one number.
    pub trace: u64,
}

/// Names that were agreed on, and addresses.
pub type Kept = (BTreeSet<MemberName>, Vec<SocketAddr>);

pub fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_946))
}
fn place_of(at: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = at.ip() else { return None };
    let [_, _, high, low] = ip.octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}
fn number_of(name: &MemberName) -> Option<usize> {
    name.as_str().strip_prefix('n')?.parse().ok()
}

impl Hollow {
    /// So many, which start within a second and know three of them.
    pub fn new(nodes: usize, seed: u64, terms: MembershipConfig, loss: f64) -> Hollow {
        let place = |_| Place {
            member: None,
            start: 0,
            since: START,
            wake: Us::MAX,
            knows: vec![0; nodes],
            met: vec![false; nodes],
            view: View::Isolated,
            part: 0.0,
            side: 0,
        };
        let mut net = Hollow {
            now: START,
            terms,
            places: (0..nodes).map(place).collect(),
            due: BinaryHeap::new(),
            number: 0,
            chance: StdRng::seed_from_u64(seed),
            loss,
            sent: 0,
            bytes: 0,
            bytes_max: 0,
            apart: 0,
            unmet: nodes * nodes.saturating_sub(1),
            sum: 0.0,
            most: 0.0,
            failed: Vec::new(),
            trace: 0,
        };
        net.start((0..nodes).map(|n| (n, Kept::default())).collect(), STAGGER);
        net
    }

    /// Starts some within so long, with the names and addresses that their earlier starts kept.
    pub fn start(&mut self, some: Vec<(usize, Kept)>, within: Us) {
        some.into_iter().for_each(|(n, kept)| self.begin(n, within, kept));
        self.count_apart();
    }
    fn begin(&mut self, n: usize, within: Us, kept: Kept) {
        let Some(name) = MemberName::new(&format!("n{n}")) else { return };
        let since = self.now + self.chance.random_range(0..=within);
        let start = self.places[n].start + 1;
        let id = MemberId {
            name,
            addr: at(n),
            generation: start,
            incarnation: 0,
            zone: String::new(),
            capacity: 1,
        };
        let codec = EnvelopeCodec::new(b"a secret of the lab", "lab", &format!("n{n}"), start);
        let contacts = (0..CONTACTS.min(self.places.len())).map(at).chain(kept.1).collect();
        let seed = self.chance.random();
        let member = Membership::new(since, id, codec, self.terms, contacts, kept.0, seed);
        let place = &mut self.places[n];
        place.knows.iter_mut().for_each(|knows| *knows = 0);
        (place.start, place.since, place.view) = (start, since, member.view());
        place.member = Some(member);
        self.set(n, since);
    }
    /// Ends one where it stands, or by its own word. Hands back what it had kept.
    pub fn stop(&mut self, n: usize, says: bool) -> Kept {
        let now = self.now;
        if says {
            if let Some(member) = &mut self.places[n].member {
                member.leave(now);
            }
            self.post(n);
        }
        let place = &mut self.places[n];
        let state = place.member.take().map(|member| member.persisted_state(0)).unwrap_or_default();
        self.sum -= std::mem::take(&mut place.part);
        place.wake = Us::MAX;
        self.count_apart();
        (state.agreed_members, state.addresses)
    }
    /// Cuts the fleet: the first so many hear only each other, and so do the rest. All hear all with none.
    pub fn cut(&mut self, first: usize) {
        self.places.iter_mut().enumerate().for_each(|(n, place)| place.side = u8::from(n < first));
    }

    pub fn up(&self, n: usize) -> bool {
        self.places[n].member.is_some()
    }
    pub fn member(&self, n: usize) -> Option<&Membership> {
        self.places.get(n)?.member.as_ref()
    }
    /// Members that are up know each other.
    pub fn all_know_all(&self) -> bool {
        self.apart == 0
    }
    /// Each has known each other at one time.
    pub fn all_met(&self) -> bool {
        self.unmet == 0
    }
    pub fn all_whole(&self) -> bool {
        self.places.iter().all(|place| place.member.is_none() || place.view == View::Complete)
    }
    /// All of what is divided is taken.
    pub fn all_taken(&self) -> bool {
        self.sum >= 1.0 - SAME
    }
    pub fn taken(&self) -> f64 {
        self.sum
    }
    /// Members that are up and take nothing.
    pub fn waiting(&self) -> usize {
        self.places.iter().filter(|place| place.member.is_some() && place.part == 0.0).count()
    }
    pub fn part(&self, n: usize) -> f64 {
        self.places[n].part
    }
    /// More than the whole was taken.
    pub fn over_whole(&self) -> bool {
        self.most > 1.0 + SAME
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Us) {
        let until = self.now + span;
        while self.due.peek().is_some_and(|moment| moment.at <= until) {
            let Some(Moment { at: when, what, .. }) = self.due.pop() else { break };
            match what {
                What::Wake(n) => {
                    if self.places[n].wake != when {
                        continue; // it was set anew
                    }
                    self.now = when;
                    self.places[n].wake = Us::MAX;
                    if let Some(member) = &mut self.places[n].member {
                        member.tick(when);
                    }
                    self.post(n);
                }
                What::Datagram { from, to, bytes } => {
                    self.now = when;
                    let place = &mut self.places[to];
                    if let Some(member) = place.member.as_mut().filter(|_| place.since <= when) {
                        member.handle_datagram(when, at(from), &bytes);
                        self.post(to);
                    }
                }
            }
        }
        self.now = until;
        // What is added up bit by bit drifts.
        self.sum = self.places.iter().map(|place| place.part).sum();
    }
    /// Runs until it holds, at most so long; how long that took.
    pub fn until(&mut self, most: Us, holds: impl Fn(&Hollow) -> bool) -> Option<Us> {
        let start = self.now;
        while !holds(self) {
            if self.now - start >= most {
                return None;
            }
            self.run(100 * MS);
        }
        Some(self.now - start)
    }

    fn push(&mut self, at: Us, what: What) {
        self.number += 1;
        self.due.push(Moment { at, number: self.number, what });
    }
    fn set(&mut self, n: usize, wake: Us) {
        if wake != self.places[n].wake {
            self.places[n].wake = wake;
            if wake != Us::MAX {
                self.push(wake, What::Wake(n));
            }
        }
    }
    fn mix(&mut self, word: u64) {
        self.trace = (self.trace ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }

    /// Carries what a member has to send, takes down what it has to say, and sets its next tick.
    fn post(&mut self, n: usize) {
        let Some(member) = &mut self.places[n].member else { return };
        let (out, events, next, part) =
            (member.take_datagrams(), member.take_events(), member.next_wakeup(), member.quota_fraction());
        for event in events {
            self.saw(n, &event);
        }
        let place = &mut self.places[n];
        self.sum += part - std::mem::replace(&mut place.part, part);
        self.most = self.most.max(self.sum);
        for Transmit { destination, contents: bytes } in out {
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
            self.bytes_max = self.bytes_max.max(bytes.len());
            let Some(to) = place_of(destination).filter(|to| *to < self.places.len()) else { continue };
            // The keyed hash stands for all that is in it.
            let hash = bytes.get(33..41).and_then(|hash| hash.try_into().ok()).map_or(0, u64::from_le_bytes);
            self.mix(self.now ^ hash ^ (to as u64) << 32 ^ n as u64);
            let lost = self.loss > 0.0 && self.chance.random::<f64>() < self.loss;
            if lost || self.places[n].side != self.places[to].side {
                continue;
            }
            let due = self.now + self.chance.random_range(DELAY.0..=DELAY.1);
            self.push(due, What::Datagram { from: n, to, bytes });
        }
        // A member never wants to wake twice at one moment for nothing.
        self.set(n, next.max(self.now));
    }

    fn saw(&mut self, n: usize, event: &Event) {
        let mut hash = self.now;
        for byte in format!("{event:?}").bytes() {
            hash = hash.wrapping_mul(31).wrapping_add(u64::from(byte));
        }
        self.mix(hash ^ (n as u64) << 48);
        match event {
            Event::Alive { name, generation, .. } => self.pair(n, name, *generation),
            Event::Dead { name } => {
                if let Some(m) = number_of(name).filter(|m| *m < self.places.len()) {
                    let (by, whom) = (&self.places[n], &self.places[m]);
                    let there = whom.member.is_some() && by.knows[m] == whom.start;
                    let wrong = there && by.side == whom.side;
                    self.failed.push(Failed { at: self.now, by: n, whom: m, wrong });
                }
                self.pair(n, name, 0);
            }
            Event::Left { name } => self.pair(n, name, 0),
            Event::ViewChanged { view, .. } => self.places[n].view = *view,
            _ => {}
        }
    }
    fn pair(&mut self, n: usize, name: &MemberName, start: u64) {
        let Some(m) = number_of(name).filter(|m| *m < self.places.len() && *m != n) else { return };
        let (up, is) = (self.places[m].member.is_some(), self.places[m].start);
        let place = &mut self.places[n];
        let before = std::mem::replace(&mut place.knows[m], start);
        if start != 0 && !std::mem::replace(&mut place.met[m], true) {
            self.unmet -= 1;
        }
        if up && place.member.is_some() {
            self.apart = (self.apart + usize::from(start != is)).saturating_sub(usize::from(before != is));
        }
    }
    fn count_apart(&mut self) {
        let up: Vec<Option<u64>> =
            self.places.iter().map(|place| place.member.as_ref().map(|_| place.start)).collect();
        let row = |(n, place): (usize, &Place)| {
            let one = |(m, start): &(usize, &Option<u64>)| {
                *m != n && start.is_some_and(|start| place.knows.get(*m) != Some(&start))
            };
            up.iter().enumerate().filter(one).count()
        };
        self.apart = self.places.iter().enumerate().filter(|(_, p)| p.member.is_some()).map(row).sum();
    }
}

#[cfg(test)]
#[path = "tests/hollow.rs"]
mod tests;
