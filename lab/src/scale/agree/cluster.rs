//! A simulated cluster: many nodes of `asterrill-consensus` in one process on virtual time.
//!
//! Each node has iterations like those of the event loop in `daemon/src/membership/run.rs`. Messages are events with
//! a size, a delay and a probability of loss.
//!
//! The simulation models the limits on messages that wait to be read and to be sent, the rate limit of each sender,
//! the size of the envelope, the duration of a disk write, clocks whose rates differ, and (with `charges_cpu`) that a
//! node does nothing else while it computes. It omits sockets and their system calls, the keyed hash (BLAKE3),
//! membership, the dispatcher that takes the effective version, the wait for a core, the bandwidth of a link, and
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

/// Size of the envelope of a message: the payload kind, the header and the keyed hash of `asterrill-membership`.
pub(super) const ENVELOPE_BYTES: u64 = 1 + 33 + 16;
/// Maximum number of messages in an inbox, as in `membership/src/receive.rs`.
const MAX_UNREAD_MESSAGES: usize = 4_096;
/// Rates of the clocks of nodes, in thousandths of virtual time.
const CLOCK_RATES_PERMILLE: Range<u64> = 985..1_015;

/// Numbers of messages that were dropped at a limit of the real process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct BoundLosses {
    /// Dropped because too many messages waited to be sent.
    pub(super) unsent: u64,
    /// Dropped because the inbox was full.
    pub(super) unread: u64,
    /// Dropped by the rate limit of the sender.
    pub(super) rate_limited: u64,
}

/// A scheduled event.
pub(super) enum Event {
    Message { from: usize, to: usize, bytes: Vec<u8> },
    Persisted { node: usize, start_id: u64, write: DiskWrite },
    Iteration(usize),
}

/// Identity of a proposal: the node, the start of the node and the number of the proposal there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProposalKey {
    pub(super) node: usize,
    pub(super) start_id: u64,
    pub(super) number: u64,
}

/// The outcome of a proposal and its time.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) at: Us,
    pub(super) outcome: ProposalOutcome,
}

impl Outcome {
    /// Returns the number and the hash of the committed version.
    pub(super) fn committed(&self) -> Option<(u64, u64)> {
        match &self.outcome {
            ProposalOutcome::Committed { number, hash } => Some((*number, *hash)),
            _ => None,
        }
    }
}

/// The nodes, the messages between them and the virtual time. The event loop of a node is in `event_loop.rs`.
pub(super) struct Cluster {
    pub(super) now: Us,
    pub(super) config: Config,
    pub(super) nodes: Vec<Node>,
    voters: usize,
    pub(super) rng: StdRng,
    /// Fraction of messages that are lost.
    pub(super) loss: f64,
    /// Nodes that run but neither receive messages nor have theirs delivered.
    pub(super) isolated: HashSet<usize>,
    pub(super) charges_cpu: bool,
    events: BTreeMap<(Us, u64), Event>,
    event_count: u64,
    start_count: u64,
    pub(super) names: Vec<String>,
    pub(super) indexes: HashMap<String, usize>,
    /// Outcomes of all proposals; `None` while the outcome is unknown.
    pub(super) proposals: BTreeMap<ProposalKey, Option<Outcome>>,
    pub(super) audit: VersionAudit,
    pub(super) bound_losses: BoundLosses,
    /// Number of messages that were lost in the network.
    pub(super) lost_messages: u64,
    /// Number of times that a voter became the leader.
    pub(super) elections: u64,
    pub(super) processed_events: u64,
    /// Hash over the times and sizes of all delivered messages.
    pub(super) trace_hash: u64,
}

/// Returns a version from the log of the first voter that has it.
fn find_version(nodes: &[Node], voters: usize, version: u64) -> Option<Version> {
    let logs = nodes.iter().take(voters).filter_map(|node| node.consensus.as_ref());
    logs.filter_map(|consensus| consensus.version_log().version(version)).next()
}

impl Cluster {
    /// Creates a cluster without nodes. The first `voters` nodes that are added become voters.
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
            event_count: 0,
            start_count: 0,
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

    /// Adds a node that is not running and returns its index.
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

    /// Converts the virtual time to the local clock of a node.
    pub(super) fn local_time(&self, n: usize) -> Us {
        self.now * self.nodes[n].clock_rate_permille / 1_000
    }

    /// Converts a local clock reading of a node to virtual time.
    pub(super) fn global_time(&self, n: usize, local: Us) -> Us {
        local.saturating_mul(1_000).div_ceil(self.nodes[n].clock_rate_permille)
    }

    pub(super) fn schedule(&mut self, at: Us, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Starts a node: a voter from its disk, a replica from a snapshot.
    pub(super) fn start(&mut self, n: usize, snapshot: &[u8]) {
        self.start_count += 1;
        let (at, name, config) = (self.local_time(n), self.names[n].clone(), self.config.clone());
        let node = &mut self.nodes[n];
        let started = ConsensusNode::new(at, &name, self.start_count, config, &node.disk, snapshot);
        // This cannot fail, because the disk holds only what the voter itself wrote.
        let Ok(consensus) = started else { return };
        node.disk.truncate(consensus.valid_log_len());
        node.consensus = Some(consensus);
        (node.start_id, node.highest_enforced) = (self.start_count, 0);
        node.inbox.clear();
        node.persisted.clear();
        (node.busy_until, node.writing_until, node.next_iteration) = (self.now, self.now, None);
        self.schedule_iteration(n, self.now);
    }

    /// Stops a node without a shutdown.
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

    /// Returns the voter that is the leader.
    pub(super) fn leader(&self) -> Option<usize> {
        let is_leader = |n: &usize| self.nodes[*n].consensus.as_ref().is_some_and(ConsensusNode::is_leader);
        (0..self.voters).find(is_leader)
    }

    /// Processes all events up to a virtual time.
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
                // The iteration was rescheduled.
                Event::Iteration(_) => {}
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

    /// Completes a disk write; writes of an earlier start are ignored.
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

    /// Proposes changes at a node, as an operator does.
    pub(super) fn propose(&mut self, n: usize, changes: Vec<Change>) -> Option<ProposalKey> {
        let number = self.run_iteration(n, Some(Proposal::Change { base: None, changes }))?;
        let key = ProposalKey { node: n, start_id: self.nodes[n].start_id, number };
        self.proposals.entry(key).or_insert(None);
        Some(key)
    }

    /// Returns the outcome of a proposal, if it is known.
    pub(super) fn outcome(&self, key: &ProposalKey) -> Option<&Outcome> {
        self.proposals.get(key)?.as_ref()
    }

    /// Returns all known outcomes.
    pub(super) fn outcomes(&self) -> impl Iterator<Item = &Outcome> {
        self.proposals.values().flatten()
    }

    /// Updates what a node enforces from its apply policy and its lease.
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

    /// Adds all versions that the leader retains to the audit, so that they can be compared after the leader drops
    /// them.
    pub(super) fn retain_versions(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(consensus) = &self.nodes[leader].consensus else { return };
        consensus.version_log().history().for_each(|version| self.audit.retain_version(version));
    }

    /// Returns the number of versions that were reported as committed and that the leader lacks or has with another
    /// content; `u64::MAX` without a leader.
    pub(super) fn lost_versions(&self) -> u64 {
        let leader = self.leader().and_then(|n| self.nodes[n].consensus.as_ref());
        let Some(log) = leader.map(ConsensusNode::version_log) else { return u64::MAX };
        let is_lost = |(number, hash): &(u64, u64)| {
            *number > log.number() || log.version(*number).is_some_and(|version| version.hash() != *hash)
        };
        self.outcomes().filter_map(Outcome::committed).filter(is_lost).count() as u64
    }

    /// Returns the version that a node enforces under a lease.
    pub(super) fn effective_version(&self, n: usize) -> Option<u64> {
        let enforcement = self.nodes[n].enforcement;
        enforcement.versions.filter(|_| enforcement.lease_until > self.now).map(|versions| versions.effective)
    }

    /// Adds the versions that nodes still enforce to the audit.
    pub(super) fn close_audit(&mut self) {
        for n in 0..self.nodes.len() {
            let enforcement = self.nodes[n].enforcement;
            if let Some(versions) = enforcement.versions {
                self.end_enforcing(versions.newest, self.now.min(enforcement.lease_until));
            }
        }
    }

    /// Returns the usage of a range of nodes.
    pub(super) fn usage(&self, nodes: Range<usize>) -> Vec<Usage> {
        nodes.map(|n| self.nodes[n].usage).collect()
    }
}
