//! Many nodes of `asterrill-consensus` in one process, on virtual time: whoever is due next has its turn, as the loop of
//! `daemon/src/membership.rs` gives it one. Words are events with a size, a delay and a chance to get lost.
//!
//! What it has of the real process: the bounds on words that wait to be read and to be sent, the bound on what one sender may
//! send, the bytes of the envelope, the time until a write stands, clocks whose rates differ, and (`charge`) that a node
//! which computes does nothing else meanwhile. What it leaves out: sockets and their system calls, sealing (BLAKE3), the
//! members beneath, the dispatcher that takes the effective version, waiting for a core, the width of a line, and headers of UDP and IP.

use asterrill::Us;
use asterrill_consensus::{
    contradicts, ApplyMode, Change, CompletedProposal, Config, Datagram, DiskWrite, Node as ConsensusNode,
    Proposal, ProposalOutcome, Version,
};
use nix::time::{clock_gettime, ClockId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub const MS: Us = 1_000;
pub const S: Us = 1_000 * MS;
/// Kind of the payload, head and keyed hash of `asterrill-membership`.
pub const ENVELOPE: u64 = 1 + 33 + 16;
const WAITING: usize = 4_096; // daemon/src/membership.rs: datagrams that wait to be sent
const WORDS: usize = 4_096; // membership/src/receive.rs: messages that wait to be taken
const BURST: f64 = 2_000.0; // and what one sender may send at once
const RATE: f64 = 1_000.0; // and a second
const AGAIN: Us = MS; // a loop that has nothing to read sleeps so long at the least

/// What one node has spent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub cpu_ns: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub came: u64,
    pub came_bytes: u64,
}

impl Tally {
    pub fn since(&self, before: &Tally) -> Tally {
        Tally {
            cpu_ns: self.cpu_ns - before.cpu_ns,
            sent: self.sent - before.sent,
            sent_bytes: self.sent_bytes - before.sent_bytes,
            came: self.came - before.came,
            came_bytes: self.came_bytes - before.came_bytes,
        }
    }
}

/// What was lost to a bound of the real process, in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    pub waiting: u64,
    pub words: u64,
    pub flooded: u64,
}

/// What a node acts on, as it would answer now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct View {
    /// Under a lease: the version acted on, and the newest known, which is the stricter of the two.
    acting: Option<(u64, u64)>,
    until: Us,
}

pub struct Node {
    pub agree: Option<ConsensusNode>,
    rate: u64,
    inbox: VecDeque<(usize, Vec<u8>)>,
    stands: Vec<u64>,
    busy: Us,
    turn: Option<Us>,
    pub start: u64,
    pub disk: Vec<u8>,
    writing: Us,
    leads: bool,
    view: View,
    highest: u64,
    rates: HashMap<usize, (f64, Us)>,
    pub tally: Tally,
    /// Bytes that were put on disk: appended; and files made anew, their bytes and how many.
    pub appended: u64,
    pub anew: (u64, u64),
}

enum Event {
    Word { from: usize, to: usize, bytes: Vec<u8> },
    Stands { node: usize, start: u64, write: DiskWrite },
    Turn(usize),
}

/// A wish and what came of it.
#[derive(Clone, Debug)]
pub struct Wished {
    pub at: Us,
    pub settled: Option<(Us, ProposalOutcome)>,
}

pub struct World {
    pub now: Us,
    pub terms: Config,
    pub nodes: Vec<Node>,
    keepers: usize,
    chance: StdRng,
    pub loss: f64,
    /// Nodes that go on and hear nobody, and whom nobody hears.
    pub cut: HashSet<usize>,
    charge: bool,
    events: BTreeMap<(Us, u64), Event>,
    count: u64,
    starts: u64,
    names: Vec<String>,
    places: HashMap<String, usize>,
    pub wishes: BTreeMap<(usize, u64, u64), Wished>,
    /// Node, the version it acted on before and from then on, and when.
    pub acted: Vec<(usize, u64, u64, Us)>,
    states: BTreeMap<u64, Version>,
    pairs: HashMap<(u64, u64), bool>,
    /// Since when somebody acts on a version alone.
    since: BTreeMap<u64, Us>,
    pub worst: Us,
    pub older: u64,
    hashes: BTreeMap<u64, u64>,
    pub histories: u64,
    pub bounds: Bounds,
    pub lost: u64,
    /// How often somebody began to lead.
    pub elections: u64,
    pub events_done: u64,
    pub trace: u64,
}

/// CPU time of this thread.
fn cpu_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}

impl World {
    /// `charge`: a node's computing takes virtual time. Nothing is the same twice then.
    pub fn new(keepers: usize, terms: Config, seed: u64, charge: bool) -> World {
        World {
            now: 0,
            terms,
            nodes: Vec::new(),
            keepers,
            chance: StdRng::seed_from_u64(seed),
            loss: 0.0,
            cut: HashSet::new(),
            charge,
            events: BTreeMap::new(),
            count: 0,
            starts: 0,
            names: Vec::new(),
            places: HashMap::new(),
            wishes: BTreeMap::new(),
            acted: Vec::new(),
            states: BTreeMap::new(),
            pairs: HashMap::new(),
            since: BTreeMap::new(),
            worst: 0,
            older: 0,
            hashes: BTreeMap::new(),
            histories: 0,
            bounds: Bounds::default(),
            lost: 0,
            elections: 0,
            events_done: 0,
            trace: 0,
        }
    }
    pub fn chance(&mut self) -> &mut StdRng {
        &mut self.chance
    }
    /// One more node, which does not run yet.
    pub fn add(&mut self) -> usize {
        let n = self.nodes.len();
        let name = if n < self.keepers { format!("keeper-{n}") } else { format!("backend-{n:04}") };
        self.places.insert(name.clone(), n);
        self.names.push(name);
        let rate = 985 + self.chance.random_range(0..30);
        self.nodes.push(Node {
            agree: None,
            rate,
            inbox: VecDeque::new(),
            stands: Vec::new(),
            busy: 0,
            turn: None,
            start: 0,
            disk: Vec::new(),
            writing: 0,
            leads: false,
            view: View::default(),
            highest: 0,
            rates: HashMap::new(),
            tally: Tally::default(),
            appended: 0,
            anew: (0, 0),
        });
        n
    }
    fn local(&self, n: usize) -> Us {
        self.now * self.nodes[n].rate / 1_000
    }
    fn global(&self, n: usize, local: Us) -> Us {
        local.saturating_mul(1_000).div_ceil(self.nodes[n].rate)
    }
    fn push(&mut self, at: Us, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }
    /// Starts a node: a keeper on its disk, a holder on what it kept.
    pub fn start(&mut self, n: usize, kept: &[u8]) {
        self.starts += 1;
        let (at, name, terms) = (self.local(n), self.names[n].clone(), self.terms.clone());
        let node = &mut self.nodes[n];
        let made = ConsensusNode::new(at, &name, self.starts, terms, &node.disk, kept);
        // What stands on a disk here was written by the keeper itself.
        let Ok(agree) = made else { return };
        node.disk.truncate(agree.valid_log_len());
        (node.agree, node.start, node.highest, node.busy) = (Some(agree), self.starts, 0, self.now);
        node.inbox.clear();
        node.stands.clear();
        (node.writing, node.turn) = (self.now, None);
        self.wake(n, self.now);
    }
    pub fn kill(&mut self, n: usize) {
        self.see(n, View::default());
        let node = &mut self.nodes[n];
        (node.agree, node.turn, node.leads) = (None, None, false);
    }
    fn wake(&mut self, n: usize, at: Us) {
        let node = &mut self.nodes[n];
        let at = at.max(node.busy).max(self.now);
        if node.agree.is_some() && node.turn.is_none_or(|turn| turn > at) {
            node.turn = Some(at);
            self.push(at, Event::Turn(n));
        }
    }
    pub fn leader(&self) -> Option<usize> {
        (0..self.keepers).find(|n| self.nodes[*n].agree.as_ref().is_some_and(ConsensusNode::is_leader))
    }

    /// Lets time pass up to a moment.
    pub fn run_to(&mut self, end: Us) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.events_done += 1;
            match event {
                Event::Word { from, to, bytes } => self.word(from, to, bytes),
                Event::Stands { node, start, write } => {
                    let at = &mut self.nodes[node];
                    if at.start != start || at.agree.is_none() {
                        continue;
                    }
                    if write.replace {
                        at.anew = (at.anew.0 + write.bytes.len() as u64, at.anew.1 + 1);
                        at.disk = write.bytes;
                    } else {
                        at.appended += write.bytes.len() as u64;
                        at.disk.extend_from_slice(&write.bytes);
                    }
                    at.stands.push(write.number);
                    self.wake(node, self.now);
                }
                Event::Turn(n) => {
                    if self.nodes[n].turn == Some(at) {
                        self.nodes[n].turn = None;
                        self.turn(n, None);
                    }
                }
            }
        }
        self.now = self.now.max(end);
    }
    fn word(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.agree.is_none() {
            return;
        }
        node.tally.came += 1;
        node.tally.came_bytes += bytes.len() as u64 + ENVELOPE;
        let (room, at) = node.rates.entry(from).or_insert((BURST, now));
        *room = (*room + RATE * (now - *at) as f64 / 1e6).min(BURST);
        *at = now;
        if *room < 1.0 {
            self.bounds.flooded += 1;
            return;
        }
        *room -= 1.0;
        if node.inbox.len() >= WORDS {
            self.bounds.words += 1;
            return;
        }
        self.trace = self.trace.wrapping_mul(31).wrapping_add(now ^ bytes.len() as u64);
        node.inbox.push_back((from, bytes));
        self.wake(to, now);
    }

    /// One turn of a node's loop: what stands, what was said, what is due; then what comes of it. With a wish, if there is
    /// one; its number.
    fn turn(&mut self, n: usize, wish: Option<Proposal>) -> Option<u64> {
        let (at, wall, now) = (self.local(n), self.now, self.now);
        let names = &self.names;
        let node = &mut self.nodes[n];
        let agree = node.agree.as_mut()?;
        let begun = cpu_ns();
        let number = wish.map(|wish| agree.propose(wish));
        for number in std::mem::take(&mut node.stands) {
            agree.persisted(at, number);
        }
        for (from, bytes) in std::mem::take(&mut node.inbox) {
            agree.receive(at, &names[from], &bytes);
        }
        if agree.next_tick() <= at {
            agree.tick(at, wall);
        }
        let (mut out, writes, settled) = (agree.take_outgoing(), agree.take_writes(), agree.take_outcomes());
        let cost = cpu_ns().saturating_sub(begun);
        node.tally.cpu_ns += cost;
        let end = if self.charge { now + cost / 1_000 } else { now };
        node.busy = end;
        let over = out.len().saturating_sub(WAITING);
        out.drain(..over);
        self.bounds.waiting += over as u64;
        node.tally.sent += out.len() as u64;
        node.tally.sent_bytes +=
            out.iter().map(|datagram| datagram.payload.len() as u64 + ENVELOPE).sum::<u64>();
        let (next, start, leads) = (agree.next_tick(), node.start, agree.is_leader());
        for Datagram { to, payload: bytes } in out {
            let Some(to) = self.places.get(&to).copied() else { continue };
            let cut = self.cut.contains(&n) || self.cut.contains(&to);
            if cut || (self.loss > 0.0 && self.chance.random::<f64>() < self.loss) {
                self.lost += 1;
                continue;
            }
            let delay = self.chance.random_range(200..3 * MS);
            self.push(end + delay, Event::Word { from: n, to, bytes });
        }
        for write in writes {
            let took = self.chance.random_range(100..4 * MS);
            let stands = self.nodes[n].writing.max(end) + took;
            self.nodes[n].writing = stands;
            self.push(stands, Event::Stands { node: n, start, write });
        }
        for CompletedProposal { number, outcome: settled } in settled {
            if let ProposalOutcome::Committed { number, hash } = &settled {
                self.histories += u64::from(*self.hashes.entry(*number).or_insert(*hash) != *hash);
            }
            let wished = self.wishes.entry((n, start, number));
            wished.or_insert(Wished { at: now, settled: None }).settled = Some((end, settled));
        }
        let led = std::mem::replace(&mut self.nodes[n].leads, leads);
        self.elections += u64::from(leads && !led);
        self.look(n);
        self.wake(n, self.global(n, next).max(end + AGAIN));
        number
    }

    /// An operator wishes something at a node.
    pub fn wish(&mut self, n: usize, changes: Vec<Change>) -> Option<(usize, u64, u64)> {
        let number = self.turn(n, Some(Proposal::Change { base: None, changes }))?;
        let key = (n, self.nodes[n].start, number);
        let at = self.now;
        self.wishes.entry(key).or_insert(Wished { at, settled: None }).at = at;
        Some(key)
    }

    /// What a node acts on now, from its apply policy and its lease.
    fn look(&mut self, n: usize) {
        let at = self.local(n);
        let Some(agree) = &self.nodes[n].agree else { return };
        let (policy, until) = (agree.apply_policy(), agree.lease_until());
        let leased = at < until && matches!(policy.mode, ApplyMode::Full | ApplyMode::Transition);
        let (acting, newest) = (policy.effective_number(), policy.newest_number());
        let view = View { acting: leased.then_some((acting, newest)), until: self.global(n, until) };
        if leased {
            let hash = policy.effective().hash();
            self.histories += u64::from(*self.hashes.entry(acting).or_insert(hash) != hash);
        }
        self.see(n, view);
    }
    fn see(&mut self, n: usize, view: View) {
        let now = self.now;
        let before = std::mem::replace(&mut self.nodes[n].view, view);
        if before.acting == view.acting {
            return;
        }
        if let Some((_, newest)) = before.acting {
            self.left(newest, now.min(before.until));
        }
        let Some((acting, newest)) = view.acting else { return };
        if acting == newest {
            self.since.entry(acting).or_insert(now);
        }
        let node = &mut self.nodes[n];
        self.older += u64::from(acting < node.highest);
        if acting > node.highest || before.acting.is_none() {
            self.acted.push((n, node.highest, acting, now));
        }
        node.highest = node.highest.max(acting);
    }
    /// Nobody here acts on this version any more: for how long did another act on one that contradicts it?
    fn left(&mut self, version: u64, at: Us) {
        let later: Vec<(u64, Us)> = self.since.range(version + 1..).map(|(v, since)| (*v, *since)).collect();
        for (other, since) in later {
            if at > since && at - since > self.worst && self.contradict(version, other) {
                self.worst = at - since;
            }
        }
    }
    fn contradict(&mut self, one: u64, other: u64) -> bool {
        if let Some(known) = self.pairs.get(&(one, other)) {
            return *known;
        }
        let (Some(a), Some(b)) = (self.state(one), self.state(other)) else { return true };
        let known = contradicts(&a, &b);
        self.pairs.insert((one, other), known);
        known
    }
    /// A version, as a keeper knows it or knew it; versions share what they have in common.
    fn state(&mut self, version: u64) -> Option<Version> {
        if let Some(state) = self.states.get(&version) {
            return Some(state.clone());
        }
        let books = self.nodes.iter().take(self.keepers).filter_map(|node| node.agree.as_ref());
        let state = books.filter_map(|agree| agree.version_log().version(version)).next()?;
        self.states.insert(version, state.clone());
        Some(state)
    }
    /// Keeps all that the leader knows in mind, so that what it forgets can be compared later.
    pub fn remember(&mut self) {
        let Some(agree) = self.leader().and_then(|n| self.nodes[n].agree.as_ref()) else { return };
        let known: Vec<Version> = agree.version_log().history().cloned().collect();
        for state in known {
            self.states.entry(state.number).or_insert(state);
        }
    }
    /// Versions that were told as done and that the leader does not have, or has otherwise.
    pub fn gone(&self) -> u64 {
        let Some(agree) = self.leader().and_then(|n| self.nodes[n].agree.as_ref()) else { return u64::MAX };
        let book = agree.version_log();
        let settled = self.wishes.values().filter_map(|wished| wished.settled.as_ref());
        let done = settled.filter_map(|(_, settled)| match settled {
            ProposalOutcome::Committed { number, hash } => Some((*number, *hash)),
            _ => None,
        });
        let gone = |(number, hash): &(u64, u64)| {
            *number > book.number() || book.version(*number).is_some_and(|state| state.hash() != *hash)
        };
        done.filter(gone).count() as u64
    }
    /// The version that a node acts on under a lease.
    pub fn acting(&self, n: usize) -> Option<u64> {
        self.nodes[n].view.acting.filter(|_| self.nodes[n].view.until > self.now).map(|(acting, _)| acting)
    }
    /// Takes in who still acts on what.
    pub fn close(&mut self) {
        for n in 0..self.nodes.len() {
            let view = self.nodes[n].view;
            if let Some((_, newest)) = view.acting {
                self.left(newest, self.now.min(view.until));
            }
        }
    }
    pub fn tally(&self, of: impl Iterator<Item = usize>) -> Vec<Tally> {
        of.map(|n| self.nodes[n].tally).collect()
    }
}
