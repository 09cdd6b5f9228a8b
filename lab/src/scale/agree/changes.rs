//! Changes in turns while something goes wrong, steps of many entries, and replicas that start without anything.

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

const FAULTY_REPLICAS: usize = 8; // replicas that die or are cut off
const MESSAGE_LOSS_RATE: f64 = 0.1;
const ROUNDS: usize = 20;
const QUICK_ROUNDS: usize = 6;
const LEADER_DOWN_ROUNDS: u64 = 5; // that the leader is away
const MAX_FULL_CHANGE_REPLICA_ENTRIES: usize = 5_200_000; // replicas times entries of a run in which every entry changes
const ZONE_REPLICAS: usize = 64; // replicas that come back at once
const REGION_REPLICAS: usize = 255;
const DISK_RECOVERY_TIMEOUT: Us = 60 * SECOND;

/// The least number of replicas that the faults leave something of.
pub(super) const MIN_REPLICAS: usize = FAULTY_REPLICAS + 2;

/// A voter that was killed, and when it starts again.
struct KilledLeader {
    voter: usize,
    back_at: Us,
}

/// What the changes in turns have shown.
struct Rounds {
    changes: Vec<EntryChange>,
    /// Changes of which no version came.
    refused: usize,
    /// The leader that was killed, if one was.
    killed: Option<usize>,
}

/// Makes changes while something of a kind goes wrong.
pub(super) fn run_changes(report: &mut Report, run: &mut Run, kind: ScenarioKind, quick: bool) {
    let (begun, usage_before, disk_before) = (run.cluster.now, run.usage(), voters_appended_bytes(run));
    let faulty = inject_faults(report, run, kind);
    let rounds = run_rounds(run, kind, quick);
    if kind == ScenarioKind::ReplicasIsolated {
        // So long that a lease which does not end shows.
        let end = begun + 2 * LEASE_DURATION + run.cluster.config.contradiction_bound() + 2 * SECOND;
        run.cluster.run_to(end.max(run.cluster.now));
    }
    let span = run.cluster.now - begun;
    run.report_usage(report, "changing", &usage_before, span, quick);
    let written =
        (voters_appended_bytes(run) - disk_before) as f64 / (VOTERS * rounds.changes.len().max(1)) as f64;
    report.set("disk_bytes_per_change", json!(written.round()));
    // The last of them gets its time as well.
    let newest = run.newest_version();
    let last = run.wait_until_effective(newest, MAX_WAIT);
    let mut steady = run.connected_nodes();
    steady.retain(|n| Some(*n) != rounds.killed && !faulty.contains(n));
    report_in_force(report, run, &rounds.changes, &steady);
    report.set("changes", json!(rounds.changes.len()));
    report.set("refused", json!(rounds.refused));
    report.set("last_in_force", json!(last.is_some()));
    run.cluster.remember_versions();
    let by = run.random_replica();
    run_largest_step(report, run, by, &steady);
    if !quick && run.entries * run.replicas.len() <= MAX_FULL_CHANGE_REPLICA_ENTRIES {
        change_all_entries(report, run, by);
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

/// Bytes that all voters appended.
fn voters_appended_bytes(run: &Run) -> u64 {
    (0..VOTERS).map(|n| run.cluster.nodes[n].appended_bytes).sum()
}

/// Replicas that die or are cut off, in the kinds in which some do.
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

fn run_rounds(run: &mut Run, kind: ScenarioKind, quick: bool) -> Rounds {
    let (rounds, every) = if quick { (QUICK_ROUNDS, SECOND) } else { (ROUNDS, run.change_interval) };
    let mut played = Rounds { changes: Vec::new(), refused: 0, killed: None };
    let mut away: Option<KilledLeader> = None;
    for round in 0..rounds {
        if kind == ScenarioKind::LeaderKilled && round == rounds / 4 {
            played.killed = run.cluster.leader();
            played.killed.iter().for_each(|n| run.cluster.kill(*n));
            let back_at = run.cluster.now + LEADER_DOWN_ROUNDS * every;
            away = played.killed.map(|voter| KilledLeader { voter, back_at });
        }
        if let Some(back) = away.take_if(|killed| run.cluster.now >= killed.back_at) {
            run.cluster.start(back.voter, &[]);
        }
        let next = run.cluster.now + every;
        match run.change_one_entry() {
            Some(change) => played.changes.push(change),
            None => played.refused += 1,
        }
        run.cluster.run_to(next.max(run.cluster.now));
    }
    if let Some(killed) = away {
        run.cluster.start(killed.voter, &[]);
    }
    played
}

/// How long changes took to be in force at each of these nodes: all, and those that contradict and that do not.
fn report_in_force(report: &mut Report, run: &Run, changes: &[EntryChange], nodes: &[usize]) {
    for (which, contradicts) in [("", None), ("_free", Some(false)), ("_contradicting", Some(true))] {
        let some = changes.iter().filter(|change| contradicts.is_none_or(|c| c == change.contradicts));
        let took = some.flat_map(|change| {
            run.cluster.audit.in_force_after(change.version.number, change.version.proposed, nodes)
        });
        for (what, value) in percentiles(took.collect()) {
            report.set(&format!("in_force{which}_ms_{what}"), value);
        }
    }
}

/// One step of as many entries as it may have, proposed at a replica.
fn run_largest_step(report: &mut Report, run: &mut Run, by: usize, nodes: &[usize]) {
    let entries = run.entries.min(MAX_STEP_CHANGES);
    let step: Vec<Change> = (0..entries).map(|n| run.toggle_entry_access(n)).collect();
    let took = run.change(by, step).and_then(|version| {
        run.wait_until_effective(version.number, MAX_WAIT)?;
        run.cluster.audit.in_force_after(version.number, version.proposed, nodes).into_iter().max()
    });
    report.set("big_step_entries", json!(entries));
    report.set("big_step_ms_max", json!(took.map(ms)));
}

/// All entries, in such steps, one after the other.
fn change_all_entries(report: &mut Report, run: &mut Run, by: usize) {
    let (begun, mut last, mut refused) = (run.cluster.now, 0, 0);
    for from in (0..run.entries).step_by(MAX_STEP_CHANGES) {
        let to = (from + MAX_STEP_CHANGES).min(run.entries);
        let step: Vec<Change> = (from..to).map(|n| run.toggle_entry_access(n)).collect();
        match run.change(by, step) {
            Some(version) => last = version.number,
            None => refused += 1,
        }
    }
    let took = run.wait_until_effective(last, MAX_WAIT).map(|_| ms(run.cluster.now - begun));
    report.set("everything_ms", json!(took));
    report.set("everything_refused", json!(refused));
}

/// A zone comes back, and a region; in the quick form a third of the replicas.
fn run_catch_up(report: &mut Report, run: &mut Run, quick: bool) {
    if quick {
        let catch_up = run.restart_without_state(run.replicas.len() / 3);
        report.set("catch_up_ms", json!(catch_up.took.map(ms)));
        return;
    }
    for (suffix, count) in [("", ZONE_REPLICAS), ("_255", REGION_REPLICAS)] {
        if run.replicas.len() < count + FAULTY_REPLICAS {
            continue;
        }
        let catch_up = run.restart_without_state(count);
        if catch_up.took.is_none() {
            report.set(&format!("catch_up_given_up_ms{suffix}"), json!(ms(catch_up.ended_after)));
            report.set(&format!("catch_up_given_up_act{suffix}"), json!(catch_up.acting));
        }
        report.set(&format!("catch_up_ms{suffix}"), json!(catch_up.took.map(ms)));
        report.set(&format!("catch_up_keepers_cpu_ms{suffix}"), json!(catch_up.voters_cpu_ms.round()));
        let newest = run.newest_version();
        run.wait_until_effective(newest, MAX_WAIT);
    }
}

/// Files that voters wrote anew, and their bytes on average.
fn report_files(report: &mut Report, run: &Run) {
    let written = (0..VOTERS).map(|n| run.cluster.nodes[n].replaced_files);
    let (files, bytes) = written.fold((0, 0), |(files, bytes), one| (files + one.count, bytes + one.bytes));
    report.set("disk_files_anew", json!(files));
    report.set("disk_bytes_whole", json!((bytes as f64 / files.max(1) as f64).round()));
}

/// A voter starts on an empty disk: how long until it has what the others have. One that never does is stopped, so that
/// the rest can be judged.
fn restart_with_empty_disk(report: &mut Report, run: &mut Run) {
    let leader = run.cluster.leader();
    let Some(n) = (0..VOTERS).find(|n| Some(*n) != leader) else { return };
    run.cluster.kill(n);
    run.cluster.nodes[n].disk.clear();
    run.cluster.start(n, &[]);
    let newest = run.newest_version();
    let has_newest = |cluster: &Cluster| cluster.nodes[n].version_number().is_some_and(|v| v >= newest);
    let took = run.wait_until(DISK_RECOVERY_TIMEOUT, has_newest);
    report.set("keeper_back_ms", json!(took.map(ms)));
    let dropped = run.sum_counter(|counters| counters.dropped_messages);
    report.set("keeper_back_dropped", json!(dropped));
    if took.is_none() {
        run.cluster.kill(n);
    }
}
