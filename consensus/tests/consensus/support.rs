//! Simulated cluster of nodes in memory on virtual time, with seeded faults: delays, datagram loss, partitions, pauses,
//! restarts, lost and torn disks.
//!
//! The invariants are checked while it runs.

use asterrill::Us;
use asterrill_consensus::{
    Access, ApplyMode, ApplyPolicy, Change, CompletedProposal, Config, Datagram, DiskWrite, ListEntry,
    ListKind, Node, Proposal, ProposalOutcome,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Millisecond, in microseconds.
pub const MS: Us = 1_000;
/// Second, in microseconds.
pub const SECOND: Us = 1_000 * MS;

/// Returns the name of a node.
pub fn node_name(n: usize) -> String {
    format!("n{n}")
}

/// Returns the configuration of a cluster with this number of voters.
pub fn config(voters: usize) -> Config {
    Config {
        voters: (0..voters).map(node_name).collect(),
        lease_duration: SECOND,
        renew_interval: 200 * MS,
        tick_interval: 20 * MS,
    }
}

/// Returns a change that puts an entry for a tenant.
pub fn put_tenant(key: &str, access: Access) -> Change {
    Change::Put { kind: ListKind::Tenants, key: key.into(), entry: ListEntry { access, expires_at: 0 } }
}

/// Simulated file of a voter.
#[derive(Default)]
pub struct Disk {
    pub bytes: Vec<u8>,
    /// Writes that are not completed, and the time at which each will be.
    pub incomplete_writes: Vec<(Us, DiskWrite)>,
}

/// Datagram that has been sent and not delivered.
struct InFlightDatagram {
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// Outcome of a proposal that was completed at a node.
pub struct NodeOutcome {
    pub node: usize,
    pub proposal: u64,
    pub outcome: ProposalOutcome,
}

/// Nodes, their disks, and the network between them.
pub struct Cluster {
    pub now: Us,
    pub voters: usize,
    /// Nodes by index; `None` while a node is stopped.
    pub nodes: Vec<Option<Node>>,
    pub disks: Vec<Disk>,
    /// Snapshots of the nodes that are not voters, taken when they were stopped.
    pub snapshots: Vec<Vec<u8>>,
    /// Datagrams by arrival time, and by a number that distinguishes those with the same arrival time.
    in_flight: BTreeMap<(Us, u64), InFlightDatagram>,
    last_datagram_number: u64,
    rng: StdRng,
    /// Probability that a datagram is lost.
    pub loss_probability: f64,
    /// Pairs of sender and receiver between which datagrams are dropped.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub paused: BTreeSet<usize>,
    last_incarnation: u64,
    /// Rates of the nodes' clocks, in thousandths.
    clock_rates: Vec<u64>,
    pub outcomes: Vec<NodeOutcome>,
    /// Time at which a tenant was first rejected under a lease, by version and tenant.
    rejected_since: BTreeMap<(u64, String), Us>,
    /// Longest time for which one node allowed a tenant after another rejected it by a newer version.
    pub longest_contradiction: Us,
    /// Hash of the arrival times and lengths of all delivered datagrams.
    pub trace_hash: u64,
    /// Hashes of the versions that were reported to a proposer as committed, by number.
    pub committed: BTreeMap<u64, u64>,
    /// Newest version that each node has enforced since it started.
    highest_enforced: Vec<u64>,
}

impl Cluster {
    /// Returns a cluster of started nodes, of which the first `voters` are voters.
    pub fn new(nodes: usize, voters: usize, seed: u64) -> Cluster {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock_rates = (0..nodes).map(|_| 985 + rng.random_range(0..30)).collect();
        let mut cluster = Cluster {
            now: 0,
            voters,
            nodes: (0..nodes).map(|_| None).collect(),
            disks: (0..nodes).map(|_| Disk::default()).collect(),
            snapshots: vec![Vec::new(); nodes],
            in_flight: BTreeMap::new(),
            last_datagram_number: 0,
            rng,
            loss_probability: 0.0,
            blocked_links: BTreeSet::new(),
            paused: BTreeSet::new(),
            last_incarnation: 0,
            clock_rates,
            outcomes: Vec::new(),
            rejected_since: BTreeMap::new(),
            longest_contradiction: 0,
            trace_hash: 0,
            committed: BTreeMap::new(),
            highest_enforced: vec![0; nodes],
        };
        (0..nodes).for_each(|n| cluster.start(n));
        cluster
    }

    /// Returns the time of a node's own clock.
    fn clock_of(&self, n: usize) -> Us {
        self.now * self.clock_rates[n] / 1_000
    }

    /// Starts a node on its stored data.
    pub fn start(&mut self, n: usize) {
        self.last_incarnation += 1;
        let clock = self.clock_of(n);
        let disk = &mut self.disks[n];
        disk.incomplete_writes.clear();
        let config = config(self.voters);
        let node =
            Node::new(clock, &node_name(n), self.last_incarnation, config, &disk.bytes, &self.snapshots[n])
                .unwrap();
        disk.bytes.truncate(node.valid_log_len());
        self.nodes[n] = Some(node);
        self.highest_enforced[n] = 0;
    }

    /// Stops a node. The first of its incomplete writes may be torn, and the others are lost.
    pub fn kill(&mut self, n: usize) {
        if let Some(snapshot) = self.nodes[n].as_ref().and_then(Node::snapshot) {
            self.snapshots[n] = snapshot;
        }
        let torn =
            self.disks[n].incomplete_writes.first().filter(|(_, w)| !w.replace).map(|(_, w)| w.bytes.clone());
        if let Some(torn) = torn {
            let written_length = self.rng.random_range(0..=torn.len());
            self.disks[n].bytes.extend_from_slice(&torn[..written_length]);
        }
        self.nodes[n] = None;
    }

    /// Blocks all links between some nodes and all others.
    pub fn partition(&mut self, one_side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if one_side.contains(&a) != one_side.contains(&b) {
                    self.blocked_links.insert((a, b));
                }
            }
        }
    }

    /// Collects the datagrams, writes and outcomes of a node.
    fn collect_output(&mut self, n: usize) {
        let now = self.now;
        let Some(node) = &mut self.nodes[n] else { return };
        for Datagram { to, payload } in node.take_outgoing() {
            let to: usize = to[1..].parse().unwrap();
            if self.blocked_links.contains(&(n, to)) || self.rng.random::<f64>() < self.loss_probability {
                continue;
            }
            self.last_datagram_number += 1;
            let delay = self.rng.random_range(200..3 * MS);
            self.in_flight
                .insert((now + delay, self.last_datagram_number), InFlightDatagram { from: n, to, payload });
        }
        for write in node.take_writes() {
            let duration = self.rng.random_range(100..4 * MS);
            let after = self.disks[n].incomplete_writes.last().map_or(now, |(at, _)| *at);
            self.disks[n].incomplete_writes.push((now.max(after) + duration, write));
        }
        for CompletedProposal { number, outcome } in node.take_outcomes() {
            if let ProposalOutcome::Committed { number, hash } = &outcome {
                self.committed.insert(*number, *hash);
            }
            self.outcomes.push(NodeOutcome { node: n, proposal: number, outcome });
        }
    }

    /// Passes input to a node at the time of its clock, and collects its output.
    pub fn with_node(&mut self, n: usize, input: impl FnOnce(&mut Node, Us)) {
        let clock = self.clock_of(n);
        if let Some(node) = &mut self.nodes[n] {
            input(node, clock);
        }
        self.collect_output(n);
    }

    /// Advances the time, in steps of a millisecond.
    pub fn run_for(&mut self, span: Us) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            self.deliver_datagrams();
            for n in 0..self.nodes.len() {
                if self.paused.contains(&n) || self.nodes[n].is_none() {
                    continue;
                }
                self.complete_writes(n);
                let (now, clock) = (self.now, self.clock_of(n));
                if self.nodes[n].as_ref().is_some_and(|node| node.next_tick() <= clock) {
                    self.with_node(n, |node, clock| node.tick(clock, now));
                }
            }
            if self.now.is_multiple_of(5 * MS) {
                self.check_invariants();
            }
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let InFlightDatagram { from, to, payload } = entry.remove();
            if self.paused.contains(&to) {
                // The datagram waits in the socket's receive queue.
                self.last_datagram_number += 1;
                self.in_flight.insert(
                    (now + 50 * MS, self.last_datagram_number),
                    InFlightDatagram { from, to, payload },
                );
                continue;
            }
            self.trace_hash = self.trace_hash.wrapping_mul(31).wrapping_add(now ^ payload.len() as u64);
            self.with_node(to, |node, clock| node.receive(clock, &node_name(from), &payload));
        }
    }

    fn complete_writes(&mut self, n: usize) {
        while self.disks[n].incomplete_writes.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, write) = self.disks[n].incomplete_writes.remove(0);
            if write.replace {
                self.disks[n].bytes = write.bytes;
            } else {
                self.disks[n].bytes.extend_from_slice(&write.bytes);
            }
            self.with_node(n, |node, clock| node.persisted(clock, write.number));
        }
    }

    /// Checks the invariants against what nodes would answer now, not against what they report.
    fn check_invariants(&mut self) {
        for n in 0..self.nodes.len() {
            if self.paused.contains(&n) {
                continue;
            }
            let clock = self.clock_of(n);
            let Some(node) = &self.nodes[n] else { continue };
            // After the lease has expired a request is decided without it, whether the node has had a tick or not.
            let policy = if clock >= node.lease_until() {
                node.apply_policy().after_lease_expiry()
            } else {
                node.apply_policy().clone()
            };
            self.check_version_order(n, &policy);
            self.check_contradictions(&policy);
        }
    }

    fn check_version_order(&mut self, n: usize, policy: &ApplyPolicy) {
        let effective = policy.effective_number();
        // Between two restarts no node goes back to an older version.
        if policy.mode == ApplyMode::Full {
            assert!(
                effective >= self.highest_enforced[n],
                "n{n} enforces {effective} after {}",
                self.highest_enforced[n]
            );
            self.highest_enforced[n] = effective;
        }
        if let Some(hash) = self.committed.get(&effective) {
            assert_eq!(policy.effective().hash(), *hash, "two histories of version {effective}");
        }
    }

    fn check_contradictions(&mut self, policy: &ApplyPolicy) {
        let effective = policy.effective_number();
        for key in ["a", "b", "c"] {
            let rejected = policy.rejects(ListKind::Tenants, key);
            if rejected && policy.mode == ApplyMode::Full {
                // Each node that enforces this version rejects the key.
                self.rejected_since.entry((effective, key.into())).or_insert(self.now);
            } else if !rejected {
                // This node serves the key on an older version than one by which another node rejects it.
                let newer = self.rejected_since.range((effective + 1, String::new())..);
                let since = newer.filter(|((_, k), _)| k == key).map(|(_, at)| *at).min();
                let allowed = policy.effective().entry(ListKind::Tenants, key).is_some();
                if let Some(since) = since.filter(|_| allowed) {
                    self.longest_contradiction = self.longest_contradiction.max(self.now - since);
                }
            }
        }
    }

    /// Returns the leader, if there is one that is not paused.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].as_ref().is_some_and(Node::is_leader);
        (0..self.voters).find(|n| !self.paused.contains(n) && leads(n))
    }

    /// Returns a running node.
    pub fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().unwrap()
    }

    /// Proposes a change at a node. Returns the number of the proposal at that node.
    pub fn propose(&mut self, n: usize, proposal: Proposal) -> u64 {
        let mut number = 0;
        self.with_node(n, |node, _| number = node.propose(proposal));
        number
    }

    /// Proposes changes at a node, without a base version.
    pub fn propose_changes(&mut self, n: usize, changes: Vec<Change>) -> u64 {
        self.propose(n, Proposal::Change { base: None, changes })
    }

    /// Runs until a proposal is completed, and returns its outcome.
    pub fn wait_for_outcome(&mut self, n: usize, proposal: u64) -> ProposalOutcome {
        for _ in 0..120 {
            self.run_for(50 * MS);
            let found =
                self.outcomes.iter().find(|outcome| (outcome.node, outcome.proposal) == (n, proposal));
            if let Some(found) = found {
                return found.outcome.clone();
            }
        }
        panic!("proposal {proposal} of n{n} was not completed within its timeout");
    }

    /// Proposes changes at a node and runs until they are committed. Returns the number of the version.
    pub fn commit(&mut self, n: usize, changes: Vec<Change>) -> u64 {
        let proposal = self.propose_changes(n, changes);
        match self.wait_for_outcome(n, proposal) {
            ProposalOutcome::Committed { number, .. } => number,
            other => panic!("expected a committed proposal, found {other:?}"),
        }
    }

    /// Returns the mode and the version that each running node enforces.
    pub fn policies(&self) -> Vec<(ApplyMode, u64)> {
        let describe = |node: &Node| (node.apply_policy().mode, node.apply_policy().effective_number());
        self.nodes.iter().flatten().map(describe).collect()
    }
}
