//! Setup of the cluster: three voters that agree on a list, then the replicas.

use super::cluster::Cluster;
use super::options::AgreeOptions;
use super::run::{entry_name, put, Baseline, Run, MAX_WAIT, VOTERS};
use super::units::{ms, MILLISECOND, SECOND};
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::{Report, ScenarioError};
use asterrill::Us;
use asterrill_consensus::{Access, Change, Config, VersionLog, MAX_STEP_CHANGES};
use serde_json::json;

/// Lease duration of all nodes, as in `operator-config/src/fleet.rs`.
pub(super) const LEASE_DURATION: Us = 5 * SECOND;
const TICK_INTERVAL: Us = 50 * MILLISECOND;
/// Number of one-entry changes after which the voters no longer retain the steps that built the list.
pub(super) const HISTORY_OVERFLOW_CHANGES: usize = 260;
const LEADER_WAIT_TIMEOUT: Us = 20 * SECOND;
const SETTLE_TIME: Us = 2 * SECOND;
const REPLICA_SETTLE_TIME: Us = 6 * SECOND;

/// Builds the cluster and reports its memory and disk usage.
pub(super) fn build(report: &mut Report, options: &AgreeOptions, seed: u64) -> Result<Run, ScenarioError> {
    let config = Config {
        voters: (0..VOTERS).map(|n| format!("keeper-{n}")).collect(),
        lease_duration: LEASE_DURATION,
        renew_interval: LEASE_DURATION / 5,
        tick_interval: TICK_INTERVAL,
    };
    let mut cluster = Cluster::new(VOTERS, config, seed, options.charges_cpu());
    let before_kb = resident_kb(OWN_PROCESS);
    for n in 0..VOTERS {
        cluster.add();
        cluster.start(n, &[]);
    }
    let mut run = Run::new(cluster, options.entries, options.change_interval_s.max(1) * SECOND);
    build_list(report, &mut run)?;
    let disks: usize = (0..VOTERS).map(|n| run.cluster.nodes[n].disk.capacity()).sum();
    if !options.quick {
        let kb = (resident_kb(OWN_PROCESS) - before_kb - disks as f64 / 1024.0) / VOTERS as f64;
        report.set("keeper_kb", json!(kb.round()));
    }
    add_replicas(report, &mut run, options.replicas)?;
    if !options.quick {
        report.set("holder_kb", json!(run.replica_kb()));
    }
    run.baseline = Baseline {
        bound_losses: run.cluster.bound_losses,
        elections: run.cluster.elections,
        lease_expirations: run.sum_counter(|counters| counters.lease_expirations),
        proposals: run.cluster.proposals.len(),
    };
    Ok(run)
}

/// Waits for a leader and commits the list: most entries in steps of the maximum size, the last ones one by one.
fn build_list(report: &mut Report, run: &mut Run) -> Result<(), ScenarioError> {
    run.wait_until(LEADER_WAIT_TIMEOUT, |cluster| cluster.leader().is_some())
        .ok_or("the voters elected no leader in time")?;
    run.cluster.run_to(run.cluster.now + SETTLE_TIME);
    let all: Vec<Change> = (0..run.entries).map(|n| put(entry_name(n), Access::Allowed)).collect();
    let (batched, single) = all.split_at(run.entries - HISTORY_OVERFLOW_CHANGES);
    for step in batched.chunks(MAX_STEP_CHANGES).chain(single.chunks(1)) {
        if step.len() == 1 && report.get("disk_bytes_of_the_list").is_none() {
            report.set("disk_bytes_of_the_list", json!(run.cluster.nodes[0].appended_bytes));
        }
        run.change(0, step.to_vec()).ok_or("a step of the list was not committed")?;
    }
    run.cluster.run_to(run.cluster.now + SETTLE_TIME);
    run.cluster.retain_versions();
    Ok(())
}

/// Starts the replicas over one second, each with the snapshot that it would have persisted.
fn add_replicas(report: &mut Report, run: &mut Run, replicas: usize) -> Result<(), ScenarioError> {
    let leader = run.cluster.leader().ok_or("the cluster has no leader")?;
    let consensus = run.cluster.nodes[leader].consensus.as_ref();
    let log = consensus.map(|consensus| consensus.version_log().clone()).unwrap_or_default();
    let mut persisted = VersionLog::default();
    persisted.reset_to(log.newest());
    let snapshot = persisted.snapshot();
    report.set("version_bytes", json!(snapshot.len()));
    run.resident_kb = resident_kb(OWN_PROCESS);
    let step = SECOND / replicas.max(1) as u64;
    for _ in 0..replicas {
        let n = run.cluster.add();
        run.cluster.start(n, &snapshot);
        run.replicas.push(n);
        run.cluster.run_to(run.cluster.now + step);
    }
    let newest = run.newest_version();
    let duration = run
        .wait_until_effective(newest, MAX_WAIT)
        .ok_or("not all replicas enforced the newest version in time")?;
    report.set("begin_ms", json!(ms(duration)));
    run.cluster.run_to(run.cluster.now + REPLICA_SETTLE_TIME);
    Ok(())
}
