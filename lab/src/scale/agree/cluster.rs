//! Many nodes of `asterrill-consensus` in one process, on virtual time: the node that is due next has its turn, as the loop of
//! `daemon/src/membership.rs` gives it one. Messages are events with a size, a delay and a chance to get lost.
//!
//! What it has of the real process: the bounds on messages that wait to be read and to be sent, the bound on what one sender
//! may send, the bytes of the envelope, the time until a write is on disk, clocks whose rates differ, and (`charges_cpu`)
//! that a node which computes does nothing else meanwhile. What it leaves out: sockets and their system calls, the keyed hash
//! (BLAKE3), membership, the dispatcher that takes the effective version, waiting for a core, the width of a line, and
//! headers of UDP and IP.

use super::audit::VersionAudit;
use super::node::{EnforcedVersions, Enforcement, Node, Received, Usage};
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
const MAX_UNREAD_MESSAGES: usize = 4_096; // membership/src/receive.rs: messages that wait to be taken
const CLOCK_RATES_PERMILLE: Range<u64> = 985..1_015; // thousandths

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
    Persisted { node: usize, start_id: u64, write: DiskWrite },
    Iteration(usize),
}

/// A proposal, by the node at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProposalKey {
    pub(super) node: usize,
    pub(super) start_id: u64,
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

/// The nodes, the messages between them and the virtual time. Turns of nodes are in `event_loop.rs`.
pub(super) struct Cluster {
    pub(super) now: Us,
    pub(super) config: Config,
    pub(super) nodes: Vec<Node>,
    voters: usize,
    pub(super) rng: StdRng,
    /// Of 1, the part of messages that get lost.
    pub(super) loss: f64,
    /// Nodes that go on and hear nobody, and that nobody hears.
    pub(super) isolated: HashSet<usize>,
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
    pub(super) lost_messages: u64,
    /// How often a voter began to lead.
    pub(super) elections: u64,
    pub(super) processed_events: u64,
    /// All messages that were read, as one number.
    pub(super) trace_hash: u64,
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
            isolated: HashSet::new(),
            charges_cpu,
            events: BTreeMap::new(),
            events_pushed: 0,
            starts: 0,
            names: Vec::new(),
            indexes: HashMap::new(),
            proposals: BTreeMap::new(),
            audit: VersionAudit::default(),
            bound_losses: BoundLosses::default(),
            lost_messages: 0,
            elections: 0,
            processed_events: 0,
            trace_hash: 0,
        }
    }

    /// One more node, which does not run yet.
    pub(super) fn add(&mut self) -> usize {
        let n = self.nodes.len();
        let name = if n < self.voters { format!("keeper-{n}") } else { format!("backend-{n:04}") };
        self.indexes.insert(name.clone(), n);
        self.names.push(name);
        self.nodes.push(Node::new(
            CLOCK_RATES_PERMILLE.start
                + self.rng.random_range(0..CLOCK_RATES_PERMILLE.end - CLOCK_RATES_PERMILLE.start),
        ));
        n
    }

    pub(super) fn local_time(&self, n: usize) -> Us {
        self.now * self.nodes[n].clock_rate_permille / 1_000
    }

    pub(super) fn global_time(&self, n: usize, local: Us) -> Us {
        local.saturating_mul(1_000).div_ceil(self.nodes[n].clock_rate_permille)
    }

    pub(super) fn schedule(&mut self, at: Us, event: Event) {
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
        (node.start_id, node.highest_enforced) = (self.starts, 0);
        node.inbox.clear();
        node.persisted.clear();
        (node.busy_until, node.writing_until, node.next_iteration) = (self.now, self.now, None);
        self.schedule_iteration(n, self.now);
    }

    /// Ends a node where it stands.
    pub(super) fn kill(&mut self, n: usize) {
        self.set_enforcement(n, Enforcement::default());
        let node = &mut self.nodes[n];
        (node.consensus, node.next_iteration, node.is_leader) = (None, None, false);
    }

    pub(super) fn schedule_iteration(&mut self, n: usize, at: Us) {
        let node = &mut self.nodes[n];
        let at = at.max(node.busy_until).max(self.now);
        if node.consensus.is_some() && node.next_iteration.is_none_or(|next| next > at) {
            node.next_iteration = Some(at);
            self.schedule(at, Event::Iteration(n));
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
            self.processed_events += 1;
            match event {
                Event::Message { from, to, bytes } => self.receive(from, to, bytes),
                Event::Persisted { node, start_id, write } => self.persist(node, start_id, write),
                Event::Iteration(n) if self.nodes[n].next_iteration == Some(at) => {
                    self.nodes[n].next_iteration = None;
                    self.run_iteration(n, None);
                }
                Event::Iteration(_) => {} // it was set anew
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
        if !node.try_consume_token(from, now) {
            self.bound_losses.rate_limited += 1;
            return;
        }
        if node.inbox.len() >= MAX_UNREAD_MESSAGES {
            self.bound_losses.unread += 1;
            return;
        }
        self.trace_hash = self.trace_hash.wrapping_mul(31).wrapping_add(now ^ bytes.len() as u64);
        node.inbox.push_back(Received { from, bytes });
        self.schedule_iteration(to, now);
    }

    /// A write is on disk; none of an earlier start.
    fn persist(&mut self, n: usize, start_id: u64, write: DiskWrite) {
        let node = &mut self.nodes[n];
        if node.start_id != start_id || node.consensus.is_none() {
            return;
        }
        if write.replace {
            node.replaced_files.count += 1;
            node.replaced_files.bytes += write.bytes.len() as u64;
            node.disk = write.bytes;
        } else {
            node.appended_bytes += write.bytes.len() as u64;
            node.disk.extend_from_slice(&write.bytes);
        }
        node.persisted.push(write.number);
        self.schedule_iteration(n, self.now);
    }

    /// An operator proposes changes at a node.
    pub(super) fn propose(&mut self, n: usize, changes: Vec<Change>) -> Option<ProposalKey> {
        let number = self.run_iteration(n, Some(Proposal::Change { base: None, changes }))?;
        let key = ProposalKey { node: n, start_id: self.nodes[n].start_id, number };
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
    pub(super) fn update_enforcement(&mut self, n: usize) {
        let at = self.local_time(n);
        let Some(consensus) = &self.nodes[n].consensus else { return };
        let (policy, until) = (consensus.apply_policy(), consensus.lease_until());
        let leased = at < until && matches!(policy.mode, ApplyMode::Full | ApplyMode::Transition);
        let versions =
            EnforcedVersions { effective: policy.effective_number(), newest: policy.newest_number() };
        let enforcement =
            Enforcement { versions: leased.then_some(versions), lease_until: self.global_time(n, until) };
        if leased {
            self.audit.record_hash(versions.effective, policy.effective().hash());
        }
        self.set_enforcement(n, enforcement);
    }

    fn set_enforcement(&mut self, n: usize, enforcement: Enforcement) {
        let now = self.now;
        let before = std::mem::replace(&mut self.nodes[n].enforcement, enforcement);
        if before.versions == enforcement.versions {
            return;
        }
        if let Some(versions) = before.versions {
            self.end_enforcing(versions.newest, now.min(before.lease_until));
        }
        let Some(versions) = enforcement.versions else { return };
        let highest = self.nodes[n].highest_enforced;
        self.audit.begin_enforcing(n, versions, highest, before.versions.is_some(), now);
        self.nodes[n].highest_enforced = highest.max(versions.effective);
    }

    fn end_enforcing(&mut self, version: u64, at: Us) {
        let (nodes, voters) = (&self.nodes, self.voters);
        self.audit.end_enforcing(version, at, &|version| find_version(nodes, voters, version));
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
        let enforcement = self.nodes[n].enforcement;
        enforcement.versions.filter(|_| enforcement.lease_until > self.now).map(|versions| versions.effective)
    }

    /// Takes into account what nodes still act on.
    pub(super) fn close_audit(&mut self) {
        for n in 0..self.nodes.len() {
            let enforcement = self.nodes[n].enforcement;
            if let Some(versions) = enforcement.versions {
                self.end_enforcing(versions.newest, self.now.min(enforcement.lease_until));
            }
        }
    }

    /// What nodes have spent.
    pub(super) fn usage(&self, nodes: Range<usize>) -> Vec<Usage> {
        nodes.map(|n| self.nodes[n].usage).collect()
    }
}
