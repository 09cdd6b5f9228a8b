//! The scenario with its rules and budgets.

use super::build::{build, HISTORY_OVERFLOW_CHANGES};
use super::changes::{run_changes, MIN_REPLICAS};
use super::concurrent_proposals::run_concurrent_proposals;
use super::options::{AgreeOptions, ScenarioKind};
use super::run::Run;
use super::units::{ms, SECOND};
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::{Report, ScenarioError};
use asterrill::Us;
use clap::ValueEnum;
use serde_json::{json, Value};

/// Maximum product of replicas and entries, for which two gigabytes of memory suffice.
const MAX_REPLICA_ENTRIES: usize = 12_000_000;
const QUICK_ENTRIES: usize = 400;
const QUIET_PHASE: Us = 30 * SECOND;
const QUICK_QUIET_PHASE: Us = 5 * SECOND;
const RECOVERY_PHASE: Us = 10 * SECOND;
/// Time after the recovery phase within which all nodes have to enforce the newest version.
const CONVERGENCE_TIMEOUT: Us = 30 * SECOND;
/// Minimum number of versions that have to be committed for a meaningful result.
const MIN_COMMITTED_VERSIONS: usize = 4;

// Budgets of one backend, and of the time until a change is in force in the whole fleet.
const MAX_CPU_MS_PER_S: f64 = 14.0;
const MAX_BYTES_PER_S: f64 = 24_000.0;
const MAX_MEMORY_KB: f64 = 32_768.0;
const MAX_IN_FORCE_MS: f64 = 17_000.0;

const BUDGETS: [(&str, f64); 11] = [
    ("holder_cpu_ms_per_s_quiet", MAX_CPU_MS_PER_S),
    ("holder_cpu_ms_per_s_changing", MAX_CPU_MS_PER_S),
    ("holder_bytes_per_s_quiet", MAX_BYTES_PER_S),
    ("holder_bytes_per_s_changing", MAX_BYTES_PER_S),
    ("holder_kb", MAX_MEMORY_KB),
    ("holder_kb_after", MAX_MEMORY_KB),
    ("in_force_ms_max", MAX_IN_FORCE_MS),
    ("big_step_ms_max", MAX_IN_FORCE_MS),
    ("everything_ms", MAX_IN_FORCE_MS),
    ("catch_up_ms", MAX_IN_FORCE_MS),
    ("catch_up_ms_255", MAX_IN_FORCE_MS),
];
/// Figures that are null if the measured event never happened.
const NULL_IF_NEVER: [&str; 5] =
    ["keeper_back_ms", "catch_up_ms", "catch_up_ms_255", "big_step_ms_max", "everything_ms"];

/// Runs the scenario; `kind` is a name of a [`ScenarioKind`] on the command line.
pub fn scenario(
    report: &mut Report, options: AgreeOptions, kind: Option<&str>, seed: u64,
) -> Result<(), ScenarioError> {
    let kind = kind.map_or(Ok(ScenarioKind::NoFaults), |kind| ScenarioKind::from_str(kind, true));
    let kind = kind.map_err(|error| format!("--kind: {error}"))?;
    let quick = options.quick;
    let options = within_bounds(options)?;
    let mut run = build(report, &options, seed)?;
    let before = run.usage();
    let span = if quick { QUICK_QUIET_PHASE } else { QUIET_PHASE };
    run.cluster.run_to(run.cluster.now + span);
    run.report_usage(report, "quiet", &before, span, quick);
    if kind == ScenarioKind::ConcurrentProposals {
        run_concurrent_proposals(report, &mut run);
    } else {
        run_changes(report, &mut run, kind, quick);
    }
    // Ends all faults, so that the nodes converge.
    (run.cluster.loss, run.cluster.isolated) = (0.0, Default::default());
    run.cluster.run_to(run.cluster.now + RECOVERY_PHASE);
    let newest = run.newest_version();
    let converged = run.wait_until_effective(newest, CONVERGENCE_TIMEOUT).is_some();
    run.cluster.close_audit();
    report_run(report, &run, &options, kind);
    report.rule("not all nodes enforce the newest version at the end", converged);
    Ok(())
}

/// Returns the options with the minimum sizes applied, and with fewer entries in the quick form.
fn within_bounds(options: AgreeOptions) -> Result<AgreeOptions, ScenarioError> {
    let entries = match options.quick {
        true => options.entries.min(QUICK_ENTRIES),
        false => options.entries.max(HISTORY_OVERFLOW_CHANGES + 1),
    };
    let options = AgreeOptions { entries, replicas: options.replicas.max(MIN_REPLICAS), ..options };
    if options.entries <= HISTORY_OVERFLOW_CHANGES || options.replicas * options.entries > MAX_REPLICA_ENTRIES
    {
        return Err(format!(
            "--holders times --entries must not exceed {MAX_REPLICA_ENTRIES} (two gigabytes of memory) and --entries \
             must exceed {HISTORY_OVERFLOW_CHANGES}: found {} and {}",
            options.replicas, options.entries
        )
        .into());
    }
    Ok(options)
}

/// Reports the results of the whole run and checks the rules.
fn report_run(report: &mut Report, run: &Run, options: &AgreeOptions, kind: ScenarioKind) {
    let (cluster, audit, baseline) = (&run.cluster, &run.cluster.audit, &run.baseline);
    let bound = cluster.config.contradiction_bound();
    let committed = cluster.outcomes().filter(|outcome| outcome.committed().is_some()).count();
    let lost_versions = cluster.lost_versions();
    let (losses, losses_before) = (cluster.bound_losses, baseline.bound_losses);
    let lapsed = run.sum_counter(|c| c.lease_expirations).saturating_sub(baseline.lease_expirations);
    for (name, value) in [
        ("holders", json!(options.replicas)),
        ("entries", json!(options.entries)),
        ("kind", json!(kind.to_possible_value().map(|kind| kind.get_name().to_string()))),
        ("change_every_s", json!(options.change_interval_s)),
        ("cpu_takes_time", json!(options.charges_cpu())),
        ("wishes", json!(cluster.proposals.len())),
        ("wishes_done", json!(committed)),
        ("stated_ms", json!(ms(bound))),
        ("contradiction_ms_max", json!(ms(audit.longest_contradiction))),
        ("older_after_newer", json!(audit.reverted)),
        ("other_histories", json!(audit.content_conflicts)),
        ("lost_versions", json!(lost_versions)),
        ("elections", json!(cluster.elections - baseline.elections)),
        ("lapsed", json!(lapsed)),
        ("odd", json!(run.sum_counter(|c| c.invalid_messages))),
        ("dropped_out", json!(run.sum_counter(|c| c.dropped_messages))),
        ("dropped_waiting", json!(losses.unsent - losses_before.unsent)),
        ("dropped_words", json!(losses.unread - losses_before.unread)),
        ("dropped_flooded", json!(losses.rate_limited - losses_before.rate_limited)),
        ("flooded_by_the_load", json!(losses_before.rate_limited)),
        ("lost_on_the_way", json!(cluster.lost_messages)),
        ("events", json!(cluster.processed_events)),
        ("trace", json!(format!("{:016x}", cluster.trace_hash))),
    ] {
        report.set(name, value);
    }
    if !options.quick {
        report.set("rss_kb", json!(resident_kb(OWN_PROCESS)));
        let over = over_budget(report);
        report.set("over", json!(over));
    }
    report.rule("a node reverted to an older version", audit.reverted == 0);
    let within_bound = audit.longest_contradiction <= bound;
    report
        .rule("two nodes enforced contradicting versions for longer than the documented bound", within_bound);
    report.rule(
        "the leader lacks a version that was reported as committed, or has it with another content",
        lost_versions == 0,
    );
    report.rule("a version number has two different contents", audit.content_conflicts == 0);
    let enough = committed >= baseline.proposals + MIN_COMMITTED_VERSIONS;
    report.rule("too few versions were committed for a meaningful result", enough);
}

/// Returns the figures that exceed their budgets, each with its budget.
fn over_budget(report: &Report) -> Vec<String> {
    let over = BUDGETS.iter().filter_map(|(name, budget)| {
        let value = report.figure(name).filter(|value| value > budget)?;
        Some(format!("{name} {value} of {budget}"))
    });
    let never = NULL_IF_NEVER.iter().filter(|name| report.get(name) == Some(&Value::Null));
    over.chain(never.map(|name| format!("{name} never"))).collect()
}

#[cfg(test)]
#[path = "tests/scenario.rs"]
mod tests;
