//! A run of the simulation: proposals, waits and resource usage of the nodes.

use super::cluster::{BoundLosses, Cluster};
use super::node::Usage;
use super::units::{ms, MILLISECOND, SECOND};
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::Report;
use asterrill::Us;
use asterrill_consensus::{Access, Change, Counters, ListEntry, ListKind};
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::{json, Value};

/// Number of nodes whose majority commits versions.
pub(super) const VOTERS: usize = 3;
/// Maximum virtual time for any event to happen.
pub(super) const MAX_WAIT: Us = 600 * SECOND;
const PROPOSAL_TIMEOUT: Us = 20 * SECOND;
const POLL_INTERVAL: Us = 5 * MILLISECOND;
/// CPU time of the voters after which the wait for restarted replicas ends.
const MAX_CATCH_UP_CPU_MS: f64 = 200_000.0;

/// Returns the name of an entry.
pub(super) fn entry_name(n: usize) -> String {
    format!("tenant-{n:05}")
}

/// Returns a change of one entry.
pub(super) fn put(key: String, access: Access) -> Change {
    Change::Put { kind: ListKind::Tenants, key, entry: ListEntry { access, expires_at: 0 } }
}

/// Returns the median, the 99th percentile and the maximum, in milliseconds.
pub(super) fn percentiles(mut durations: Vec<Us>) -> [(&'static str, Value); 3] {
    durations.sort_unstable();
    let last = durations.len().saturating_sub(1);
    let at = |percent: usize| durations.get((durations.len() * percent / 100).min(last));
    let value = |us: Option<&Us>| json!(us.map(|us| ms(*us)));
    [("p50", value(at(50))), ("p99", value(at(99))), ("max", value(durations.last()))]
}

/// A version that was committed from a proposal.
#[derive(Clone, Copy)]
pub(super) struct CommittedVersion {
    pub(super) number: u64,
    pub(super) proposed: Us,
}

/// A committed change of one entry.
#[derive(Clone, Copy)]
pub(super) struct EntryChange {
    pub(super) version: CommittedVersion,
    /// Whether it contradicts the previous version.
    pub(super) contradicts: bool,
}

/// Result of a restart of replicas without state.
pub(super) struct CatchUp {
    /// Time until all of them enforced a version again; `None` if the wait ended before.
    pub(super) duration: Option<Us>,
    /// Time until the end of the wait.
    pub(super) elapsed: Us,
    /// Number of replicas that enforced a version at the end of the wait.
    pub(super) enforcing_replicas: usize,
    /// CPU time of the voters during the wait.
    pub(super) voters_cpu_ms: f64,
}

/// Counters before any fault.
#[derive(Clone, Copy, Default)]
pub(super) struct Baseline {
    pub(super) bound_losses: BoundLosses,
    pub(super) elections: u64,
    pub(super) lease_expirations: u64,
    pub(super) proposals: usize,
}

/// State of a run.
pub(super) struct Run {
    pub(super) cluster: Cluster,
    /// Indexes of the replicas among the nodes.
    pub(super) replicas: Vec<usize>,
    pub(super) entries: usize,
    /// Whether each entry is currently denied.
    denied: Vec<bool>,
    /// Number of single-entry changes so far.
    entry_changes: u64,
    /// Virtual time between changes.
    pub(super) change_interval: Us,
    /// Resident memory before the replicas were added, in kB.
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
            entry_changes: 0,
            change_interval,
            resident_kb: 0.0,
            baseline: Baseline::default(),
        }
    }

    /// Proposes changes at a node and runs until their outcome is known. Returns the version if they are committed.
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

    /// Runs until a condition holds. Returns the time it took, or `None` after a timeout.
    pub(super) fn wait_until(&mut self, timeout: Us, holds: impl Fn(&Cluster) -> bool) -> Option<Us> {
        let started_at = self.cluster.now;
        while !holds(&self.cluster) {
            if self.cluster.now >= started_at + timeout {
                return None;
            }
            self.cluster.run_to(self.cluster.now + POLL_INTERVAL);
        }
        Some(self.cluster.now - started_at)
    }

    /// Runs until all connected nodes enforce a version or a later one.
    pub(super) fn wait_until_effective(&mut self, version: u64, timeout: Us) -> Option<Us> {
        let nodes = self.connected_nodes();
        let enforces =
            |cluster: &Cluster, n: &usize| cluster.effective_version(*n).is_some_and(|v| v >= version);
        self.wait_until(timeout, |cluster| nodes.iter().all(|n| enforces(cluster, n)))
    }

    /// Returns the running nodes that are not isolated.
    pub(super) fn connected_nodes(&self) -> Vec<usize> {
        let is_connected =
            |n: &usize| self.cluster.nodes[*n].consensus.is_some() && !self.cluster.isolated.contains(n);
        (0..self.cluster.nodes.len()).filter(is_connected).collect()
    }

    /// Returns the running replicas that are not isolated.
    fn connected_replicas(&self) -> Vec<usize> {
        self.connected_nodes().into_iter().filter(|n| *n >= VOTERS).collect()
    }

    /// Returns the newest version number of any voter.
    pub(super) fn newest_version(&self) -> u64 {
        self.cluster.nodes.iter().take(VOTERS).filter_map(|node| node.version_number()).max().unwrap_or(0)
    }

    /// Returns a change that denies an allowed entry or allows a denied one.
    pub(super) fn toggle_entry_access(&mut self, n: usize) -> Change {
        let n = n % self.entries;
        self.denied[n] = !self.denied[n];
        put(entry_name(n), if self.denied[n] { Access::Denied } else { Access::Allowed })
    }

    /// Returns a random connected replica.
    pub(super) fn random_replica(&mut self) -> usize {
        let replicas = self.connected_replicas();
        replicas[self.cluster.rng.random_range(0..replicas.len())]
    }

    /// Changes one entry at a random replica.
    ///
    /// Changes alternate between one that contradicts the previous version (an entry is denied or allowed) and one that
    /// does not (a new entry).
    pub(super) fn change_one_entry(&mut self) -> Option<EntryChange> {
        self.entry_changes += 1;
        let contradicts = self.entry_changes % 2 == 1;
        let change = if contradicts {
            let n = self.cluster.rng.random_range(0..self.entries);
            self.toggle_entry_access(n)
        } else {
            put(format!("fresh-{:05}", self.entry_changes), Access::Allowed)
        };
        let replica = self.random_replica();
        self.change(replica, vec![change]).map(|version| EntryChange { version, contradicts })
    }

    /// Restarts random replicas without state at the same time while changes continue.
    ///
    /// Waits until all of them enforce the newest version of the time of the restart, up to a limit of time and of
    /// CPU time of the voters.
    pub(super) fn restart_without_state(&mut self, count: usize) -> CatchUp {
        let mut restarted = self.connected_replicas();
        restarted.shuffle(&mut self.cluster.rng);
        restarted.truncate(count);
        let (started_at, newest, cpu_before) =
            (self.cluster.now, self.newest_version(), self.voters_cpu_ms());
        for n in &restarted {
            self.cluster.kill(*n);
            self.cluster.start(*n, &[]);
        }
        let (mut next_change, mut duration) = (started_at + self.change_interval, None);
        while self.cluster.now < started_at + MAX_WAIT
            && self.voters_cpu_ms() - cpu_before < MAX_CATCH_UP_CPU_MS
        {
            let enforces = |n: &usize| self.cluster.effective_version(*n).is_some_and(|v| v >= newest);
            if restarted.iter().all(enforces) {
                duration = Some(self.cluster.now - started_at);
                break;
            }
            if self.cluster.now >= next_change {
                next_change += self.change_interval;
                self.change_one_entry();
            }
            self.cluster.run_to(self.cluster.now + POLL_INTERVAL);
        }
        let enforces_any = |n: &&usize| self.cluster.effective_version(**n).is_some();
        let enforcing_replicas = restarted.iter().filter(enforces_any).count();
        CatchUp {
            duration,
            elapsed: self.cluster.now - started_at,
            enforcing_replicas,
            voters_cpu_ms: self.voters_cpu_ms() - cpu_before,
        }
    }

    /// Sums a counter over all running nodes.
    pub(super) fn sum_counter(&self, of: impl Fn(&Counters) -> u64) -> u64 {
        let running = self.cluster.nodes.iter().filter_map(|node| node.consensus.as_ref());
        running.map(|consensus| of(&consensus.counters)).sum()
    }

    fn voters_cpu_ms(&self) -> f64 {
        self.cluster.usage(0..VOTERS).iter().map(|usage| usage.cpu_ns as f64 / 1e6).sum()
    }

    /// Returns the resident memory of one replica in kB: the growth since before the replicas, divided by their number.
    pub(super) fn replica_kb(&self) -> f64 {
        let kb = (resident_kb(OWN_PROCESS) - self.resident_kb) / self.replicas.len().max(1) as f64;
        kb.round()
    }

    /// Returns the usage of all nodes.
    pub(super) fn usage(&self) -> Vec<Usage> {
        self.cluster.usage(0..self.cluster.nodes.len())
    }

    /// Reports the usage over a time span: the means of the replicas, of the leader, and of the other voters.
    pub(super) fn report_usage(
        &self, report: &mut Report, phase: &str, before: &[Usage], span: Us, quick: bool,
    ) {
        let after = self.usage();
        let spent: Vec<Usage> = after.iter().zip(before).map(|(now, before)| now.since(before)).collect();
        let leader = self.cluster.leader().unwrap_or(0);
        let others: Vec<usize> = (0..VOTERS).filter(|n| *n != leader).collect();
        let mean = |nodes: &[usize], of: fn(&Usage) -> u64| {
            let sum: u64 = nodes.iter().filter_map(|n| spent.get(*n)).map(of).sum();
            sum as f64 / nodes.len().max(1) as f64 * 1e6 / span as f64
        };
        for (role, nodes) in
            [("holder", self.connected_replicas()), ("leader", vec![leader]), ("keeper", others)]
        {
            let mut set = |metric: &str, value: f64| {
                report.set(&format!("{role}_{metric}_{phase}"), json!((value * 1e3).round() / 1e3));
            };
            if !quick {
                set("cpu_ms_per_s", mean(&nodes, |usage| usage.cpu_ns) / 1e6);
            }
            set("bytes_per_s", mean(&nodes, |usage| usage.sent_bytes + usage.received_bytes));
            set("messages_per_s", mean(&nodes, |usage| usage.sent + usage.received));
        }
    }
}
