//! A cluster of nodes in memory on virtual time: delays, loss, cuts, pauses, restarts, lost and torn disks, from a seed; and the
//! rules that are checked while it runs.

use asterrill::Us;
use asterrill_consensus::{
    Access, ApplyMode, ApplyPolicy, Change, CompletedProposal, Config, Datagram, DiskWrite, ListEntry,
    ListKind, Node, Proposal, ProposalOutcome,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Us = 1_000;
/// A second.
pub const SECOND: Us = 1_000 * MS;

/// The name of a node.
pub fn name(n: usize) -> String {
    format!("n{n}")
}
pub fn config(voters: usize) -> Config {
    Config {
        voters: (0..voters).map(name).collect(),
        lease_duration: SECOND,
        renew_interval: 200 * MS,
        tick_interval: 20 * MS,
    }
}
/// Puts an entry for a tenant.
pub fn put(key: &str, access: Access) -> Change {
    Change::Put { kind: ListKind::Tenants, key: key.into(), entry: ListEntry { access, expires_at: 0 } }
}

/// The file of one voter.
#[derive(Default)]
pub struct Disk {
    pub bytes: Vec<u8>,
    /// Writes that are not finished, and when each will be.
    pub unfinished: Vec<(Us, DiskWrite)>,
}

/// A datagram on its way.
struct InFlight {
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// A proposal that was completed at a node.
pub struct Outcome {
    pub node: usize,
    pub proposal: u64,
    pub outcome: ProposalOutcome,
}

/// The nodes, their disks, and the network between them.
pub struct Cluster {
    pub now: Us,
    pub voters: usize,
    /// `None` while a node is stopped.
    pub nodes: Vec<Option<Node>>,
    pub disks: Vec<Disk>,
    /// What the last run of a node that is no voter left behind.
    pub snapshots: Vec<Vec<u8>>,
    /// By arrival time and a number that tells those of one moment apart.
    in_flight: BTreeMap<(Us, u64), InFlight>,
    last_datagram: u64,
    rng: StdRng,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Pairs of nodes of which the second does not hear the first.
    pub cut: BTreeSet<(usize, usize)>,
    pub paused: BTreeSet<usize>,
    starts: u64,
    /// Rates of the nodes' clocks, in thousandths.
    clock_rates: Vec<u64>,
    pub outcomes: Vec<Outcome>,
    /// When a tenant was first rejected under a lease, by version and tenant.
    rejected_since: BTreeMap<(u64, String), Us>,
    /// The longest time for which a tenant was allowed somewhere after it was rejected elsewhere by a newer version.
    pub worst_contradiction: Us,
    /// A hash of when which datagrams arrived.
    pub trace: u64,
    /// Hashes of the versions that were reported to a proposer as committed.
    pub committed: BTreeMap<u64, u64>,
    /// The newest version that each node has acted on since it started.
    highest: Vec<u64>,
}

impl Cluster {
    /// Nodes of which the first `voters` are voters, all started.
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
            last_datagram: 0,
            rng,
            loss: 0.0,
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            starts: 0,
            clock_rates,
            outcomes: Vec::new(),
            rejected_since: BTreeMap::new(),
            worst_contradiction: 0,
            trace: 0,
            committed: BTreeMap::new(),
            highest: vec![0; nodes],
        };
        (0..nodes).for_each(|n| cluster.start(n));
        cluster
    }
    /// The time of a node's own clock.
    fn clock_of(&self, n: usize) -> Us {
        self.now * self.clock_rates[n] / 1_000
    }

    /// Starts a node on what it has stored.
    pub fn start(&mut self, n: usize) {
        self.starts += 1;
        let clock = self.clock_of(n);
        let disk = &mut self.disks[n];
        disk.unfinished.clear();
        let config = config(self.voters);
        let node = Node::new(clock, &name(n), self.starts, config, &disk.bytes, &self.snapshots[n]).unwrap();
        disk.bytes.truncate(node.valid_log_len());
        self.nodes[n] = Some(node);
        self.highest[n] = 0;
    }

    /// Stops a node. The first of its unfinished writes may be torn, the others are lost.
    pub fn kill(&mut self, n: usize) {
        if let Some(snapshot) = self.nodes[n].as_ref().and_then(Node::snapshot) {
            self.snapshots[n] = snapshot;
        }
        let torn = self.disks[n].unfinished.first().filter(|(_, w)| !w.replace).map(|(_, w)| w.bytes.clone());
        if let Some(torn) = torn {
            let cut = self.rng.random_range(0..=torn.len());
            self.disks[n].bytes.extend_from_slice(&torn[..cut]);
        }
        self.nodes[n] = None;
    }

    /// Cuts some nodes off from all others.
    pub fn partition(&mut self, one_side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if one_side.contains(&a) != one_side.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    /// Takes what a node puts out.
    fn collect(&mut self, n: usize) {
        let now = self.now;
        let Some(node) = &mut self.nodes[n] else { return };
        for Datagram { to, payload } in node.take_outgoing() {
            let to: usize = to[1..].parse().unwrap();
            if self.cut.contains(&(n, to)) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            self.last_datagram += 1;
            let delay = self.rng.random_range(200..3 * MS);
            self.in_flight.insert((now + delay, self.last_datagram), InFlight { from: n, to, payload });
        }
        for write in node.take_writes() {
            let duration = self.rng.random_range(100..4 * MS);
            let after = self.disks[n].unfinished.last().map_or(now, |(at, _)| *at);
            self.disks[n].unfinished.push((now.max(after) + duration, write));
        }
        for CompletedProposal { number, outcome } in node.take_outcomes() {
            if let ProposalOutcome::Committed { number, hash } = &outcome {
                self.committed.insert(*number, *hash);
            }
            self.outcomes.push(Outcome { node: n, proposal: number, outcome });
        }
    }

    /// Gives a node some input at the time of its clock, and takes what it puts out.
    pub fn with_node(&mut self, n: usize, input: impl FnOnce(&mut Node, Us)) {
        let clock = self.clock_of(n);
        if let Some(node) = &mut self.nodes[n] {
            input(node, clock);
        }
        self.collect(n);
    }

    /// Lets time pass, in steps of a millisecond.
    pub fn run(&mut self, span: Us) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            self.deliver_datagrams();
            for n in 0..self.nodes.len() {
                if self.paused.contains(&n) || self.nodes[n].is_none() {
                    continue;
                }
                self.finish_writes(n);
                let (now, clock) = (self.now, self.clock_of(n));
                if self.nodes[n].as_ref().is_some_and(|node| node.next_tick() <= clock) {
                    self.with_node(n, |node, clock| node.tick(clock, now));
                }
            }
            if self.now.is_multiple_of(5 * MS) {
                self.check();
            }
        }
    }

    fn deliver_datagrams(&mut self) {
        let now = self.now;
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let InFlight { from, to, payload } = entry.remove();
            if self.paused.contains(&to) {
                // It waits in the system's queue.
                self.last_datagram += 1;
                self.in_flight.insert((now + 50 * MS, self.last_datagram), InFlight { from, to, payload });
                continue;
            }
            self.trace = self.trace.wrapping_mul(31).wrapping_add(now ^ payload.len() as u64);
            self.with_node(to, |node, clock| node.receive(clock, &name(from), &payload));
        }
    }

    fn finish_writes(&mut self, n: usize) {
        while self.disks[n].unfinished.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, write) = self.disks[n].unfinished.remove(0);
            if write.replace {
                self.disks[n].bytes = write.bytes;
            } else {
                self.disks[n].bytes.extend_from_slice(&write.bytes);
            }
            self.with_node(n, |node, clock| node.persisted(clock, write.number));
        }
    }

    /// The rules, after every step: from what nodes would answer now, not from what they report.
    fn check(&mut self) {
        for n in 0..self.nodes.len() {
            if self.paused.contains(&n) {
                continue;
            }
            let clock = self.clock_of(n);
            let Some(node) = &self.nodes[n] else { continue };
            // Once the lease is over, an answer is given without it, whether the node has had a tick or not.
            let policy = if clock >= node.lease_until() {
                node.apply_policy().after_lease_expiry()
            } else {
                node.apply_policy().clone()
            };
            self.check_history(n, &policy);
            self.check_contradictions(&policy);
        }
    }

    fn check_history(&mut self, n: usize, policy: &ApplyPolicy) {
        let effective = policy.effective_number();
        // Within one run no node goes back to an older version.
        if policy.mode == ApplyMode::Full {
            assert!(effective >= self.highest[n], "n{n} acts on {effective} after {}", self.highest[n]);
            self.highest[n] = effective;
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
                // From this version on it is rejected by every node that acts on it.
                self.rejected_since.entry((effective, key.into())).or_insert(self.now);
            } else if !rejected {
                // It is served here on an older version than one by which it is rejected elsewhere.
                let newer = self.rejected_since.range((effective + 1, String::new())..);
                let since = newer.filter(|((_, k), _)| k == key).map(|(_, at)| *at).min();
                let allowed = policy.effective().entry(ListKind::Tenants, key).is_some();
                if let Some(since) = since.filter(|_| allowed) {
                    self.worst_contradiction = self.worst_contradiction.max(self.now - since);
                }
            }
        }
    }

    /// The node that leads, if it runs.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].as_ref().is_some_and(Node::is_leader);
        (0..self.voters).find(|n| !self.paused.contains(n) && leads(n))
    }

    /// A node that runs.
    pub fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().unwrap()
    }

    /// Proposes at a node. Returns the number of the proposal there.
    pub fn propose(&mut self, n: usize, proposal: Proposal) -> u64 {
        let mut number = 0;
        self.with_node(n, |node, _| number = node.propose(proposal));
        number
    }

    /// Proposes changes at a node, from whichever version is the newest.
    pub fn propose_changes(&mut self, n: usize, changes: Vec<Change>) -> u64 {
        self.propose(n, Proposal::Change { base: None, changes })
    }

    /// Runs until a proposal is completed.
    pub fn outcome(&mut self, n: usize, proposal: u64) -> ProposalOutcome {
        for _ in 0..120 {
            self.run(50 * MS);
            let found = self.outcomes.iter().find(|o| (o.node, o.proposal) == (n, proposal));
            if let Some(found) = found {
                return found.outcome.clone();
            }
        }
        panic!("a proposal is completed within its timeout");
    }

    /// Proposes changes at a node and runs until they are committed. Returns the number of the version.
    pub fn commit(&mut self, n: usize, changes: Vec<Change>) -> u64 {
        let proposal = self.propose_changes(n, changes);
        match self.outcome(n, proposal) {
            ProposalOutcome::Committed { number, .. } => number,
            other => panic!("{other:?}"),
        }
    }

    /// What each running node acts on: the mode and the version.
    pub fn policies(&self) -> Vec<(ApplyMode, u64)> {
        let of = |node: &Node| (node.apply_policy().mode, node.apply_policy().effective_number());
        self.nodes.iter().flatten().map(of).collect()
    }
}
