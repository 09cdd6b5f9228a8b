//! Many nodes of `asterrill-consensus` in one process, on virtual time: the node that is due next has its turn, as the loop of
//! `daemon/src/membership.rs` gives it one. Messages are events with a size, a delay and a chance to get lost.
//!
//! What it has of the real process: the bounds on messages that wait to be read and to be sent, the bound on what one sender
//! may send, the bytes of the envelope, the time until a write is on disk, clocks whose rates differ, and (`charges_cpu`)
//! that a node which computes does nothing else meanwhile. What it leaves out: sockets and their system calls, the keyed hash
//! (BLAKE3), membership, the dispatcher that takes the effective version, waiting for a core, the width of a line, and
//! headers of UDP and IP.

use super::audit::VersionAudit;
use super::node::{Acting, Node, Received, Usage, View};
use asterrill::Us;
use asterrill_consensus::{
    ApplyMode, Change, Config, DiskWrite, Node as ConsensusNode, Proposal, ProposalOutcome, Version,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Range;

/// Bytes that a message takes beyond its own.
pub(super) const ENVELOPE_BYTES: u64 = 1 + 33 + 16; // kind of the payload, head and keyed hash of `asterrill-membership`
const MAX_UNREAD: usize = 4_096; // membership/src/receive.rs: messages that wait to be taken
const CLOCK_RATES: Range<u64> = 985..1_015; // thousandths

/// Messages that were lost to a bound of the real process, in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct BoundLosses {
    /// Too many waited to be sent.
    pub(super) unsent: u64,
    /// Too many waited to be read.
    pub(super) unread: u64,
    /// The sender sent too many.
    pub(super) rate_limited: u64,
}

/// What happens at a moment.
pub(super) enum Event {
    Message { from: usize, to: usize, bytes: Vec<u8> },
    Persisted { node: usize, start: u64, write: DiskWrite },
    Turn(usize),
}

/// A proposal, by the node at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProposalKey {
    pub(super) node: usize,
    pub(super) start: u64,
    pub(super) number: u64,
}

/// What came of a proposal, and when.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) at: Us,
    pub(super) outcome: ProposalOutcome,
}

impl Outcome {
    /// The number and hash of the version that was committed.
    pub(super) fn committed(&self) -> Option<(u64, u64)> {
        match &self.outcome {
            ProposalOutcome::Committed { number, hash } => Some((*number, *hash)),
            _ => None,
        }
    }
}

/// The nodes, the messages between them and the virtual time. Turns of nodes are in `turn.rs`.
pub(super) struct Cluster {
    pub(super) now: Us,
    pub(super) config: Config,
    pub(super) nodes: Vec<Node>,
    voters: usize,
    pub(super) rng: StdRng,
    /// Of 1, the part of messages that get lost.
    pub(super) loss: f64,
    /// Nodes that go on and hear nobody, and that nobody hears.
    pub(super) cut: HashSet<usize>,
    pub(super) charges_cpu: bool,
    events: BTreeMap<(Us, u64), Event>,
    events_pushed: u64,
    starts: u64,
    pub(super) names: Vec<String>,
    pub(super) indexes: HashMap<String, usize>,
    /// What came of each proposal, if anything has.
    pub(super) proposals: BTreeMap<ProposalKey, Option<Outcome>>,
    pub(super) audit: VersionAudit,
    pub(super) bound_losses: BoundLosses,
    /// Messages that got lost on their way.
    pub(super) lost: u64,
    /// How often a voter began to lead.
    pub(super) elections: u64,
    pub(super) events_done: u64,
    /// All messages that were read, as one number.
    pub(super) trace: u64,
}

/// A version, as a voter has it.
fn find_version(nodes: &[Node], voters: usize, version: u64) -> Option<Version> {
    let logs = nodes.iter().take(voters).filter_map(|node| node.consensus.as_ref());
    logs.filter_map(|consensus| consensus.version_log().version(version)).next()
}

impl Cluster {
    /// A cluster without nodes, of which the first `voters` will be voters.
    pub(super) fn new(voters: usize, config: Config, seed: u64, charges_cpu: bool) -> Cluster {
        Cluster {
            now: 0,
            config,
            nodes: Vec::new(),
            voters,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            cut: HashSet::new(),
            charges_cpu,
            events: BTreeMap::new(),
            events_pushed: 0,
            starts: 0,
            names: Vec::new(),
            indexes: HashMap::new(),
            proposals: BTreeMap::new(),
            audit: VersionAudit::default(),
            bound_losses: BoundLosses::default(),
            lost: 0,
            elections: 0,
            events_done: 0,
            trace: 0,
        }
    }

    /// One more node, which does not run yet.
    pub(super) fn add(&mut self) -> usize {
        let n = self.nodes.len();
        let name = if n < self.voters { format!("keeper-{n}") } else { format!("backend-{n:04}") };
        self.indexes.insert(name.clone(), n);
        self.names.push(name);
        self.nodes.push(Node::new(
            CLOCK_RATES.start + self.rng.random_range(0..CLOCK_RATES.end - CLOCK_RATES.start),
        ));
        n
    }

    pub(super) fn local_time(&self, n: usize) -> Us {
        self.now * self.nodes[n].clock_rate / 1_000
    }

    pub(super) fn global_time(&self, n: usize, local: Us) -> Us {
        local.saturating_mul(1_000).div_ceil(self.nodes[n].clock_rate)
    }

    pub(super) fn push(&mut self, at: Us, event: Event) {
        self.events_pushed += 1;
        self.events.insert((at, self.events_pushed), event);
    }

    /// Starts a node: a voter on its disk, a replica on its snapshot.
    pub(super) fn start(&mut self, n: usize, snapshot: &[u8]) {
        self.starts += 1;
        let (at, name, config) = (self.local_time(n), self.names[n].clone(), self.config.clone());
        let node = &mut self.nodes[n];
        let started = ConsensusNode::new(at, &name, self.starts, config, &node.disk, snapshot);
        // What is on a disk here was written by the voter itself.
        let Ok(consensus) = started else { return };
        node.disk.truncate(consensus.valid_log_len());
        node.consensus = Some(consensus);
        (node.start, node.highest) = (self.starts, 0);
        node.inbox.clear();
        node.persisted.clear();
        (node.busy_until, node.writing_until, node.turn) = (self.now, self.now, None);
        self.wake(n, self.now);
    }

    /// Ends a node where it stands.
    pub(super) fn kill(&mut self, n: usize) {
        self.set_view(n, View::default());
        let node = &mut self.nodes[n];
        (node.consensus, node.turn, node.leads) = (None, None, false);
    }

    pub(super) fn wake(&mut self, n: usize, at: Us) {
        let node = &mut self.nodes[n];
        let at = at.max(node.busy_until).max(self.now);
        if node.consensus.is_some() && node.turn.is_none_or(|turn| turn > at) {
            node.turn = Some(at);
            self.push(at, Event::Turn(n));
        }
    }

    /// The voter that leads.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].consensus.as_ref().is_some_and(ConsensusNode::is_leader);
        (0..self.voters).find(leads)
    }

    /// Lets time pass up to a moment.
    pub(super) fn run_to(&mut self, end: Us) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.events_done += 1;
            match event {
                Event::Message { from, to, bytes } => self.receive(from, to, bytes),
                Event::Persisted { node, start, write } => self.persist(node, start, write),
                Event::Turn(n) if self.nodes[n].turn == Some(at) => {
                    self.nodes[n].turn = None;
                    self.take_turn(n, None);
                }
                Event::Turn(_) => {} // it was set anew
            }
        }
        self.now = self.now.max(end);
    }

    fn receive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.consensus.is_none() {
            return;
        }
        node.usage.received += 1;
        node.usage.received_bytes += bytes.len() as u64 + ENVELOPE_BYTES;
        if !node.admits(from, now) {
            self.bound_losses.rate_limited += 1;
            return;
        }
        if node.inbox.len() >= MAX_UNREAD {
            self.bound_losses.unread += 1;
            return;
        }
        self.trace = self.trace.wrapping_mul(31).wrapping_add(now ^ bytes.len() as u64);
        node.inbox.push_back(Received { from, bytes });
        self.wake(to, now);
    }

    /// A write is on disk; none of an earlier start.
    fn persist(&mut self, n: usize, start: u64, write: DiskWrite) {
        let node = &mut self.nodes[n];
        if node.start != start || node.consensus.is_none() {
            return;
        }
        if write.replace {
            node.files_written.files += 1;
            node.files_written.bytes += write.bytes.len() as u64;
            node.disk = write.bytes;
        } else {
            node.appended += write.bytes.len() as u64;
            node.disk.extend_from_slice(&write.bytes);
        }
        node.persisted.push(write.number);
        self.wake(n, self.now);
    }

    /// An operator proposes changes at a node.
    pub(super) fn propose(&mut self, n: usize, changes: Vec<Change>) -> Option<ProposalKey> {
        let number = self.take_turn(n, Some(Proposal::Change { base: None, changes }))?;
        let key = ProposalKey { node: n, start: self.nodes[n].start, number };
        self.proposals.entry(key).or_insert(None);
        Some(key)
    }

    /// What came of a proposal, if anything has.
    pub(super) fn outcome(&self, key: &ProposalKey) -> Option<&Outcome> {
        self.proposals.get(key)?.as_ref()
    }

    /// What came of all proposals of which anything has.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        self.proposals.values().flatten()
    }

    /// What a node acts on now, from its apply policy and its lease.
    pub(super) fn read_view(&mut self, n: usize) {
        let at = self.local_time(n);
        let Some(consensus) = &self.nodes[n].consensus else { return };
        let (policy, until) = (consensus.apply_policy(), consensus.lease_until());
        let leased = at < until && matches!(policy.mode, ApplyMode::Full | ApplyMode::Transition);
        let acting = Acting { effective: policy.effective_number(), newest: policy.newest_number() };
        let view = View { acting: leased.then_some(acting), until: self.global_time(n, until) };
        if leased {
            self.audit.see(acting.effective, policy.effective().hash());
        }
        self.set_view(n, view);
    }

    fn set_view(&mut self, n: usize, view: View) {
        let now = self.now;
        let before = std::mem::replace(&mut self.nodes[n].view, view);
        if before.acting == view.acting {
            return;
        }
        if let Some(acting) = before.acting {
            self.end_acting(acting.newest, now.min(before.until));
        }
        let Some(acting) = view.acting else { return };
        let highest = self.nodes[n].highest;
        self.audit.begin_acting(n, acting, highest, before.acting.is_some(), now);
        self.nodes[n].highest = highest.max(acting.effective);
    }

    fn end_acting(&mut self, version: u64, at: Us) {
        let (nodes, voters) = (&self.nodes, self.voters);
        self.audit.end_acting(version, at, &|version| find_version(nodes, voters, version));
    }

    /// Remembers all versions that the leader has, so that what it forgets can be compared later.
    pub(super) fn remember_versions(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(consensus) = &self.nodes[leader].consensus else { return };
        consensus.version_log().history().for_each(|version| self.audit.remember(version));
    }

    /// Versions that were reported as committed and that the leader does not have, or has otherwise.
    pub(super) fn lost_versions(&self) -> u64 {
        let leader = self.leader().and_then(|n| self.nodes[n].consensus.as_ref());
        let Some(log) = leader.map(ConsensusNode::version_log) else { return u64::MAX };
        let is_lost = |(number, hash): &(u64, u64)| {
            *number > log.number() || log.version(*number).is_some_and(|version| version.hash() != *hash)
        };
        self.outcomes().filter_map(Outcome::committed).filter(is_lost).count() as u64
    }

    /// The version that a node acts on under a lease.
    pub(super) fn effective_version(&self, n: usize) -> Option<u64> {
        let view = self.nodes[n].view;
        view.acting.filter(|_| view.until > self.now).map(|acting| acting.effective)
    }

    /// Takes into account what nodes still act on.
    pub(super) fn close_audit(&mut self) {
        for n in 0..self.nodes.len() {
            let view = self.nodes[n].view;
            if let Some(acting) = view.acting {
                self.end_acting(acting.newest, self.now.min(view.until));
            }
        }
    }

    /// What nodes have spent.
    pub(super) fn usage(&self, nodes: Range<usize>) -> Vec<Usage> {
        nodes.map(|n| self.nodes[n].usage).collect()
    }
}
