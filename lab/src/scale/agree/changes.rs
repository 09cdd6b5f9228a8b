//! Sequential changes under a fault, steps of many entries, and replicas that restart without state.

use super::build::LEASE_DURATION;
use super::cluster::Cluster;
use super::options::ScenarioKind;
use super::run::{percentiles, EntryChange, Run, MAX_WAIT, VOTERS};
use super::units::{ms, SECOND};
use crate::report::Report;
use asterrill::Us;
use asterrill_consensus::{Change, MAX_STEP_CHANGES};
use rand::seq::SliceRandom;
use serde_json::json;

/// Number of replicas that are killed or isolated.
const FAULTY_REPLICAS: usize = 8;
const MESSAGE_LOSS_RATE: f64 = 0.1;
const ROUNDS: usize = 20;
const QUICK_ROUNDS: usize = 6;
const LEADER_DOWN_ROUNDS: u64 = 5;
/// Maximum product of replicas and entries of a run in which every entry changes.
const MAX_FULL_CHANGE_REPLICA_ENTRIES: usize = 5_200_000;
/// Number of replicas of a zone, which restart at the same time.
const ZONE_REPLICAS: usize = 64;
/// Number of replicas of a region, which restart at the same time.
const REGION_REPLICAS: usize = 255;
const DISK_RECOVERY_TIMEOUT: Us = 60 * SECOND;

/// Minimum number of replicas, of which the faults leave at least two.
pub(super) const MIN_REPLICAS: usize = FAULTY_REPLICAS + 2;

/// A killed leader and the time of its restart.
struct KilledLeader {
    voter: usize,
    restart_at: Us,
}

/// Results of the sequential changes.
struct Rounds {
    changes: Vec<EntryChange>,
    /// Number of changes that were not committed.
    uncommitted: usize,
    /// The leader that was killed, if any.
    killed_leader: Option<usize>,
}

/// Makes changes under the faults of a kind and reports the results.
pub(super) fn run_changes(report: &mut Report, run: &mut Run, kind: ScenarioKind, quick: bool) {
    let (started_at, usage_before, disk_before) = (run.cluster.now, run.usage(), voters_appended_bytes(run));
    let faulty = inject_faults(report, run, kind);
    let rounds = run_rounds(run, kind, quick);
    if kind == ScenarioKind::ReplicasIsolated {
        // Runs long enough to detect a lease that does not expire.
        let end = started_at + 2 * LEASE_DURATION + run.cluster.config.contradiction_bound() + 2 * SECOND;
        run.cluster.run_to(end.max(run.cluster.now));
    }
    let span = run.cluster.now - started_at;
    run.report_usage(report, "changing", &usage_before, span, quick);
    let bytes_per_change =
        (voters_appended_bytes(run) - disk_before) as f64 / (VOTERS * rounds.changes.len().max(1)) as f64;
    report.set("disk_bytes_per_change", json!(bytes_per_change.round()));
    // Waits for the last change too, so that its time is measured.
    let newest = run.newest_version();
    let last_in_force = run.wait_until_effective(newest, MAX_WAIT);
    let mut unaffected = run.connected_nodes();
    unaffected.retain(|n| Some(*n) != rounds.killed_leader && !faulty.contains(n));
    report_in_force(report, run, &rounds.changes, &unaffected);
    report.set("changes", json!(rounds.changes.len()));
    report.set("refused", json!(rounds.uncommitted));
    report.set("last_in_force", json!(last_in_force.is_some()));
    run.cluster.retain_versions();
    let proposer = run.random_replica();
    run_largest_step(report, run, proposer, &unaffected);
    if !quick && run.entries * run.replicas.len() <= MAX_FULL_CHANGE_REPLICA_ENTRIES {
        change_all_entries(report, run, proposer);
    }
    if !quick {
        report.set("holder_kb_after", json!(run.replica_kb()));
    }
    run_catch_up(report, run, quick);
    for n in faulty.iter().filter(|_| kind == ScenarioKind::ReplicasKilled) {
        run.cluster.start(*n, &[]);
    }
    report_files(report, run);
}

/// Returns the bytes that all voters appended on disk.
fn voters_appended_bytes(run: &Run) -> u64 {
    (0..VOTERS).map(|n| run.cluster.nodes[n].appended_bytes).sum()
}

/// Injects the faults of a kind. Returns the selected replicas, which the kinds `dead` and `cut` kill or isolate.
fn inject_faults(report: &mut Report, run: &mut Run, kind: ScenarioKind) -> Vec<usize> {
    let mut faulty = run.replicas.clone();
    faulty.shuffle(&mut run.cluster.rng);
    faulty.truncate(FAULTY_REPLICAS);
    match kind {
        ScenarioKind::ReplicasKilled => faulty.iter().for_each(|n| run.cluster.kill(*n)),
        ScenarioKind::ReplicasIsolated => run.cluster.isolated.extend(&faulty),
        ScenarioKind::MessageLoss => run.cluster.loss = MESSAGE_LOSS_RATE,
        ScenarioKind::DiskLost => restart_with_empty_disk(report, run),
        _ => {}
    }
    faulty
}

/// Makes the sequential changes, and kills and restarts the leader in the kind `keeper`.
fn run_rounds(run: &mut Run, kind: ScenarioKind, quick: bool) -> Rounds {
    let (rounds, interval) = if quick { (QUICK_ROUNDS, SECOND) } else { (ROUNDS, run.change_interval) };
    let mut results = Rounds { changes: Vec::new(), uncommitted: 0, killed_leader: None };
    let mut down: Option<KilledLeader> = None;
    for round in 0..rounds {
        if kind == ScenarioKind::LeaderKilled && round == rounds / 4 {
            results.killed_leader = run.cluster.leader();
            results.killed_leader.iter().for_each(|n| run.cluster.kill(*n));
            let restart_at = run.cluster.now + LEADER_DOWN_ROUNDS * interval;
            down = results.killed_leader.map(|voter| KilledLeader { voter, restart_at });
        }
        if let Some(killed) = down.take_if(|killed| run.cluster.now >= killed.restart_at) {
            run.cluster.start(killed.voter, &[]);
        }
        let next = run.cluster.now + interval;
        match run.change_one_entry() {
            Some(change) => results.changes.push(change),
            None => results.uncommitted += 1,
        }
        run.cluster.run_to(next.max(run.cluster.now));
    }
    if let Some(killed) = down {
        run.cluster.start(killed.voter, &[]);
    }
    results
}

/// Reports the times until changes were in force at each of the nodes: of all changes, of those that contradict the
/// previous version, and of those that do not.
fn report_in_force(report: &mut Report, run: &Run, changes: &[EntryChange], nodes: &[usize]) {
    for (which, contradicts) in [("", None), ("_free", Some(false)), ("_contradicting", Some(true))] {
        let selected = changes.iter().filter(|change| contradicts.is_none_or(|c| c == change.contradicts));
        let durations = selected.flat_map(|change| {
            run.cluster.audit.in_force_after(change.version.number, change.version.proposed, nodes)
        });
        for (statistic, value) in percentiles(durations.collect()) {
            report.set(&format!("in_force{which}_ms_{statistic}"), value);
        }
    }
}

/// Proposes one step of the maximum number of entries at a replica and reports when it is in force.
fn run_largest_step(report: &mut Report, run: &mut Run, proposer: usize, nodes: &[usize]) {
    let entries = run.entries.min(MAX_STEP_CHANGES);
    let step: Vec<Change> = (0..entries).map(|n| run.toggle_entry_access(n)).collect();
    let duration = run.change(proposer, step).and_then(|version| {
        run.wait_until_effective(version.number, MAX_WAIT)?;
        run.cluster.audit.in_force_after(version.number, version.proposed, nodes).into_iter().max()
    });
    report.set("big_step_entries", json!(entries));
    report.set("big_step_ms_max", json!(duration.map(ms)));
}

/// Changes all entries in sequential steps of the maximum size.
fn change_all_entries(report: &mut Report, run: &mut Run, proposer: usize) {
    let (started_at, mut last, mut uncommitted) = (run.cluster.now, 0, 0);
    for from in (0..run.entries).step_by(MAX_STEP_CHANGES) {
        let to = (from + MAX_STEP_CHANGES).min(run.entries);
        let step: Vec<Change> = (from..to).map(|n| run.toggle_entry_access(n)).collect();
        match run.change(proposer, step) {
            Some(version) => last = version.number,
            None => uncommitted += 1,
        }
    }
    let duration = run.wait_until_effective(last, MAX_WAIT).map(|_| ms(run.cluster.now - started_at));
    report.set("everything_ms", json!(duration));
    report.set("everything_refused", json!(uncommitted));
}

/// Restarts a zone and a region without state; in the quick form, a third of the replicas.
fn run_catch_up(report: &mut Report, run: &mut Run, quick: bool) {
    if quick {
        let catch_up = run.restart_without_state(run.replicas.len() / 3);
        report.set("catch_up_ms", json!(catch_up.duration.map(ms)));
        return;
    }
    for (suffix, count) in [("", ZONE_REPLICAS), ("_255", REGION_REPLICAS)] {
        if run.replicas.len() < count + FAULTY_REPLICAS {
            continue;
        }
        let catch_up = run.restart_without_state(count);
        if catch_up.duration.is_none() {
            report.set(&format!("catch_up_given_up_ms{suffix}"), json!(ms(catch_up.elapsed)));
            report.set(&format!("catch_up_given_up_act{suffix}"), json!(catch_up.enforcing_replicas));
        }
        report.set(&format!("catch_up_ms{suffix}"), json!(catch_up.duration.map(ms)));
        report.set(&format!("catch_up_keepers_cpu_ms{suffix}"), json!(catch_up.voters_cpu_ms.round()));
        let newest = run.newest_version();
        run.wait_until_effective(newest, MAX_WAIT);
    }
}

/// Reports the number of files that voters replaced, and their mean size.
fn report_files(report: &mut Report, run: &Run) {
    let replaced = (0..VOTERS).map(|n| run.cluster.nodes[n].replaced_files);
    let (files, bytes) =
        replaced.fold((0, 0), |(files, bytes), replaced| (files + replaced.count, bytes + replaced.bytes));
    report.set("disk_files_anew", json!(files));
    report.set("disk_bytes_whole", json!((bytes as f64 / files.max(1) as f64).round()));
}

/// Restarts a follower with an empty disk and reports how long it takes to reach the newest version.
///
/// A voter that does not reach it is stopped, so that the rest of the run can be judged.
fn restart_with_empty_disk(report: &mut Report, run: &mut Run) {
    let leader = run.cluster.leader();
    let Some(n) = (0..VOTERS).find(|n| Some(*n) != leader) else { return };
    run.cluster.kill(n);
    run.cluster.nodes[n].disk.clear();
    run.cluster.start(n, &[]);
    let newest = run.newest_version();
    let has_newest = |cluster: &Cluster| cluster.nodes[n].version_number().is_some_and(|v| v >= newest);
    let duration = run.wait_until(DISK_RECOVERY_TIMEOUT, has_newest);
    report.set("keeper_back_ms", json!(duration.map(ms)));
    let dropped = run.sum_counter(|counters| counters.dropped_messages);
    report.set("keeper_back_dropped", json!(dropped));
    if duration.is_none() {
        run.cluster.kill(n);
    }
}
