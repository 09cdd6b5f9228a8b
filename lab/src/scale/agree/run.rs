//! A run: proposals, waits, and what the nodes have spent.

use super::cluster::{BoundLosses, Cluster};
use super::node::Usage;
use super::units::{ms, MILLISECOND, SECOND};
use crate::process::{resident_kb, OWN};
use crate::report::Report;
use asterrill::Us;
use asterrill_consensus::{Access, Change, Counters, ListEntry, ListKind};
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};

/// Nodes whose majority orders versions.
pub(super) const VOTERS: usize = 3;
/// How long anything may take to come about.
pub(super) const MAX_WAIT: Us = 600 * SECOND;
const PROPOSAL_TIMEOUT: Us = 20 * SECOND; // for a proposal
const POLL_INTERVAL: Us = 5 * MILLISECOND;
const MAX_CATCH_UP_CPU_MS: f64 = 200_000.0; // of the voters, after which blank replicas are given up

/// The name of an entry.
pub(super) fn entry_name(n: usize) -> String {
    format!("tenant-{n:05}")
}

/// A change of one entry.
pub(super) fn put(key: String, access: Access) -> Change {
    Change::Put { kind: ListKind::Tenants, key, entry: ListEntry { access, expires_at: 0 } }
}

/// Median, 99th of 100, and greatest, in ms.
pub(super) fn percentiles(mut all: Vec<Us>) -> [(&'static str, Value); 3] {
    all.sort_unstable();
    let at = |part: usize| all.get((all.len() * part / 100).min(all.len().saturating_sub(1)));
    let value = |us: Option<&Us>| json!(us.map(|us| ms(*us)));
    [("p50", value(at(50))), ("p99", value(at(99))), ("max", value(all.last()))]
}

/// A version that came of a proposal.
#[derive(Clone, Copy)]
pub(super) struct CommittedVersion {
    pub(super) number: u64,
    pub(super) proposed: Us,
}

/// A change of one entry that came about.
#[derive(Clone, Copy)]
pub(super) struct EntryChange {
    pub(super) version: CommittedVersion,
    /// It contradicts the version before.
    pub(super) contradicts: bool,
}

/// What replicas took that started without anything.
pub(super) struct CatchUp {
    /// Until all acted again; none if that was given up.
    pub(super) took: Option<Us>,
    /// When it ended, and how many acted by then.
    pub(super) ended_after: Us,
    pub(super) acting: usize,
    /// CPU of the voters.
    pub(super) voters_cpu_ms: f64,
}

/// Where counts stood before anything went wrong.
#[derive(Clone, Copy, Default)]
pub(super) struct Baseline {
    pub(super) bound_losses: BoundLosses,
    pub(super) elections: u64,
    pub(super) lease_expirations: u64,
    pub(super) proposals: usize,
}

/// A run, and how far it got.
pub(super) struct Run {
    pub(super) cluster: Cluster,
    /// The indexes of replicas.
    pub(super) replicas: Vec<usize>,
    pub(super) entries: usize,
    /// Whether each entry is barred now.
    denied: Vec<bool>,
    rounds: u64,
    /// Between changes.
    pub(super) change_interval: Us,
    /// Resident memory, in kB, before there were replicas.
    pub(super) resident_kb: f64,
    pub(super) baseline: Baseline,
}

impl Run {
    pub(super) fn new(cluster: Cluster, entries: usize, change_interval: Us) -> Run {
        Run {
            cluster,
            replicas: Vec::new(),
            entries,
            denied: vec![false; entries],
            rounds: 0,
            change_interval,
            resident_kb: 0.0,
            baseline: Baseline::default(),
        }
    }

    /// Proposes changes at a node and lets time pass until they are settled; the version, if they are committed.
    pub(super) fn change(&mut self, at: usize, changes: Vec<Change>) -> Option<CommittedVersion> {
        let proposed = self.cluster.now;
        let key = self.cluster.propose(at, changes)?;
        loop {
            if let Some(outcome) = self.cluster.outcome(&key) {
                return outcome.committed().map(|(number, _)| CommittedVersion { number, proposed });
            }
            if self.cluster.now > proposed + PROPOSAL_TIMEOUT {
                return None;
            }
            self.cluster.run_to(self.cluster.now + MILLISECOND);
        }
    }

    /// Lets time pass until something holds; how long that took, none if it never did.
    pub(super) fn wait_until(&mut self, within: Us, holds: impl Fn(&Cluster) -> bool) -> Option<Us> {
        let begun = self.cluster.now;
        while !holds(&self.cluster) {
            if self.cluster.now >= begun + within {
                return None;
            }
            self.cluster.run_to(self.cluster.now + POLL_INTERVAL);
        }
        Some(self.cluster.now - begun)
    }

    /// The same until all nodes that are connected act on a version.
    pub(super) fn wait_until_effective(&mut self, version: u64, within: Us) -> Option<Us> {
        let nodes = self.connected_nodes();
        let acts = |cluster: &Cluster, n: &usize| cluster.effective_version(*n).is_some_and(|v| v >= version);
        self.wait_until(within, |cluster| nodes.iter().all(|n| acts(cluster, n)))
    }

    /// Nodes that run and are not cut off.
    pub(super) fn connected_nodes(&self) -> Vec<usize> {
        let is_connected =
            |n: &usize| self.cluster.nodes[*n].consensus.is_some() && !self.cluster.isolated.contains(n);
        (0..self.cluster.nodes.len()).filter(is_connected).collect()
    }

    /// Replicas that run and are not cut off.
    fn connected_replicas(&self) -> Vec<usize> {
        self.connected_nodes().into_iter().filter(|n| *n >= VOTERS).collect()
    }

    /// The newest version of any voter.
    pub(super) fn newest_version(&self) -> u64 {
        self.cluster.nodes.iter().take(VOTERS).filter_map(|node| node.version_number()).max().unwrap_or(0)
    }

    /// An entry that is admitted is barred, and the other way about.
    pub(super) fn toggle_entry_access(&mut self, n: usize) -> Change {
        let n = n % self.entries;
        self.denied[n] = !self.denied[n];
        put(entry_name(n), if self.denied[n] { Access::Denied } else { Access::Allowed })
    }

    /// A random replica.
    pub(super) fn random_replica(&mut self) -> usize {
        let replicas = self.connected_replicas();
        replicas[self.cluster.rng.random_range(0..replicas.len())]
    }

    /// A change of one entry, by any replica: in turns one that contradicts (an entry is barred or admitted) and one that
    /// contradicts nothing (a new entry).
    pub(super) fn change_one_entry(&mut self) -> Option<EntryChange> {
        self.rounds += 1;
        let contradicts = self.rounds % 2 == 1;
        let change = if contradicts {
            let n = self.cluster.rng.random_range(0..self.entries);
            self.toggle_entry_access(n)
        } else {
            put(format!("fresh-{:05}", self.rounds), Access::Allowed)
        };
        let by = self.random_replica();
        self.change(by, vec![change]).map(|version| EntryChange { version, contradicts })
    }

    /// Replicas start anew without anything, at once, while changes go on; until all act again, or that is given up.
    pub(super) fn restart_without_state(&mut self, count: usize) -> CatchUp {
        let mut blank = self.connected_replicas();
        blank.shuffle(&mut self.cluster.rng);
        blank.truncate(count);
        let (begun, newest, cpu_before) = (self.cluster.now, self.newest_version(), self.voters_cpu_ms());
        for n in &blank {
            self.cluster.kill(*n);
            self.cluster.start(*n, &[]);
        }
        let (mut next, mut took) = (begun + self.change_interval, None);
        while self.cluster.now < begun + MAX_WAIT && self.voters_cpu_ms() - cpu_before < MAX_CATCH_UP_CPU_MS {
            let acts = |n: &usize| self.cluster.effective_version(*n).is_some_and(|v| v >= newest);
            if blank.iter().all(acts) {
                took = Some(self.cluster.now - begun);
                break;
            }
            if self.cluster.now >= next {
                next += self.change_interval;
                self.change_one_entry();
            }
            self.cluster.run_to(self.cluster.now + POLL_INTERVAL);
        }
        CatchUp {
            took,
            ended_after: self.cluster.now - begun,
            acting: blank.iter().filter(|n| self.cluster.effective_version(**n).is_some()).count(),
            voters_cpu_ms: self.voters_cpu_ms() - cpu_before,
        }
    }

    /// A counter over all nodes that run.
    pub(super) fn sum_counter(&self, of: impl Fn(&Counters) -> u64) -> u64 {
        let running = self.cluster.nodes.iter().filter_map(|node| node.consensus.as_ref());
        running.map(|consensus| of(&consensus.counters)).sum()
    }

    fn voters_cpu_ms(&self) -> f64 {
        self.cluster.usage(0..VOTERS).iter().map(|usage| usage.cpu_ns as f64 / 1e6).sum()
    }

    /// Resident memory since there are replicas, of each, in kB.
    pub(super) fn replica_kb(&self) -> f64 {
        let kb = (resident_kb(OWN) - self.resident_kb) / self.replicas.len().max(1) as f64;
        kb.round()
    }

    /// What all nodes have spent.
    pub(super) fn usage(&self) -> Vec<Usage> {
        self.cluster.usage(0..self.cluster.nodes.len())
    }

    /// Reports what was spent over a span: of a replica on average, of the leader, and of the other voters.
    pub(super) fn report_usage(
        &self, report: &mut Report, phase: &str, before: &[Usage], span: Us, quick: bool,
    ) {
        let all = self.usage();
        let spent: Vec<Usage> = all.iter().zip(before).map(|(now, before)| now.since(before)).collect();
        let leader = self.cluster.leader().unwrap_or(0);
        let others: Vec<usize> = (0..VOTERS).filter(|n| *n != leader).collect();
        let mean = |nodes: &[usize], of: fn(&Usage) -> u64| {
            let sum: u64 = nodes.iter().filter_map(|n| spent.get(*n)).map(of).sum();
            sum as f64 / nodes.len().max(1) as f64 * 1e6 / span as f64
        };
        for (role, nodes) in
            [("holder", self.connected_replicas()), ("leader", vec![leader]), ("keeper", others)]
        {
            let mut set = |what: &str, value: f64| {
                report.set(&format!("{role}_{what}_{phase}"), json!((value * 1e3).round() / 1e3));
            };
            if !quick {
                set("cpu_ms_per_s", mean(&nodes, |usage| usage.cpu_ns) / 1e6);
            }
            set("bytes_per_s", mean(&nodes, |usage| usage.sent_bytes + usage.received_bytes));
            set("messages_per_s", mean(&nodes, |usage| usage.sent + usage.received));
        }
    }
}
