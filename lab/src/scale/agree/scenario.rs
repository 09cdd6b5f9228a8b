//! The scenario, its rules and its budgets.

use super::build::{build, FORGOTTEN_AFTER};
use super::changes::{play_changes, MIN_REPLICAS};
use super::crowd::play_crowd;
use super::options::{AgreeOptions, Kind};
use super::run::Run;
use super::units::{ms, S};
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::{Report, ScenarioError};
use asterrill::Us;
use clap::ValueEnum;
use serde_json::{json, Value};

const MAX_ENTRIES: usize = 12_000_000; // replicas times entries, for which two gigabytes are enough
const QUICK_ENTRIES: usize = 400;
const QUIET: Us = 30 * S;
const QUICK_QUIET: Us = 5 * S;
const AFTER_FAULTS: Us = 10 * S;
const SAME_WITHIN: Us = 30 * S; // of the end of the faults
const ENOUGH_VERSIONS: usize = 4; // to show anything

// What a backend may spend (CPU ms a second, bytes a second, kB), and until when a change is in force in the fleet (ms).
const CPU_MS_PER_S: f64 = 14.0;
const BYTES_PER_S: f64 = 24_000.0;
const MEMORY_KB: f64 = 32_768.0;
const IN_FORCE_MS: f64 = 17_000.0;

const BUDGETS: [(&str, f64); 11] = [
    ("holder_cpu_ms_per_s_quiet", CPU_MS_PER_S),
    ("holder_cpu_ms_per_s_changing", CPU_MS_PER_S),
    ("holder_bytes_per_s_quiet", BYTES_PER_S),
    ("holder_bytes_per_s_changing", BYTES_PER_S),
    ("holder_kb", MEMORY_KB),
    ("holder_kb_after", MEMORY_KB),
    ("in_force_ms_max", IN_FORCE_MS),
    ("big_step_ms_max", IN_FORCE_MS),
    ("everything_ms", IN_FORCE_MS),
    ("catch_up_ms", IN_FORCE_MS),
    ("catch_up_ms_255", IN_FORCE_MS),
];
/// Figures that are null where something never came about.
const NULL_IF_NEVER: [&str; 5] =
    ["keeper_back_ms", "catch_up_ms", "catch_up_ms_255", "big_step_ms_max", "everything_ms"];

/// Plays it; `kind` by its name on the command line.
pub fn scenario(
    report: &mut Report, options: AgreeOptions, kind: Option<&str>, seed: u64,
) -> Result<(), ScenarioError> {
    let kind = kind.map_or(Ok(Kind::Quiet), |kind| Kind::from_str(kind, true));
    let kind = kind.map_err(|error| format!("--kind: {error}"))?;
    let quick = options.quick;
    let options = within_bounds(options)?;
    let mut run = build(report, &options, seed)?;
    let before = run.usage();
    let span = if quick { QUICK_QUIET } else { QUIET };
    run.cluster.run_to(run.cluster.now + span);
    run.report_usage(report, "quiet", &before, span, quick);
    if kind == Kind::Crowd {
        play_crowd(report, &mut run);
    } else {
        play_changes(report, &mut run, kind, quick);
    }
    // Faults end; all come to the same.
    (run.cluster.loss, run.cluster.cut) = (0.0, Default::default());
    run.cluster.run_to(run.cluster.now + AFTER_FAULTS);
    let newest = run.newest_version();
    let same = run.wait_until_effective(newest, SAME_WITHIN).is_some();
    run.cluster.close_audit();
    report_run(report, &run, &options, kind);
    report.rule("not all act on the newest version at the end", same);
    Ok(())
}

fn within_bounds(options: AgreeOptions) -> Result<AgreeOptions, ScenarioError> {
    let entries = match options.quick {
        true => options.entries.min(QUICK_ENTRIES),
        false => options.entries.max(FORGOTTEN_AFTER + 1),
    };
    let options = AgreeOptions { entries, replicas: options.replicas.max(MIN_REPLICAS), ..options };
    if options.entries <= FORGOTTEN_AFTER || options.replicas * options.entries > MAX_ENTRIES {
        let bounds =
            format!("holders times entries is at most {MAX_ENTRIES}, entries more than {FORGOTTEN_AFTER}");
        return Err(format!("{bounds}: two gigabytes").into());
    }
    Ok(options)
}

/// Reports what the whole run has shown, and checks the rules.
fn report_run(report: &mut Report, run: &Run, options: &AgreeOptions, kind: Kind) {
    let (cluster, audit, baseline) = (&run.cluster, &run.cluster.audit, &run.baseline);
    let bound = cluster.config.contradiction_bound();
    let committed = cluster.outcomes().filter(|one| one.committed().is_some()).count();
    let lost_versions = cluster.lost_versions();
    let (losses, losses_before) = (cluster.bound_losses, baseline.bound_losses);
    let lapsed = run.count(|c| c.lease_expirations).saturating_sub(baseline.lease_expirations);
    for (name, value) in [
        ("holders", json!(options.replicas)),
        ("entries", json!(options.entries)),
        ("kind", json!(kind.to_possible_value().map(|kind| kind.get_name().to_string()))),
        ("change_every_s", json!(options.every)),
        ("cpu_takes_time", json!(options.charges_cpu())),
        ("wishes", json!(cluster.proposals.len())),
        ("wishes_done", json!(committed)),
        ("stated_ms", json!(ms(bound))),
        ("contradiction_ms_max", json!(ms(audit.longest_contradiction))),
        ("older_after_newer", json!(audit.reverted)),
        ("other_histories", json!(audit.forked)),
        ("lost_versions", json!(lost_versions)),
        ("elections", json!(cluster.elections - baseline.elections)),
        ("lapsed", json!(lapsed)),
        ("odd", json!(run.count(|c| c.invalid_messages))),
        ("dropped_out", json!(run.count(|c| c.dropped_messages))),
        ("dropped_waiting", json!(losses.unsent - losses_before.unsent)),
        ("dropped_words", json!(losses.unread - losses_before.unread)),
        ("dropped_flooded", json!(losses.rate_limited - losses_before.rate_limited)),
        ("flooded_by_the_load", json!(losses_before.rate_limited)),
        ("lost_on_the_way", json!(cluster.lost)),
        ("events", json!(cluster.events_done)),
        ("trace", json!(format!("{:016x}", cluster.trace))),
    ] {
        report.set(name, value);
    }
    if !options.quick {
        report.set("rss_kb", json!(resident_kb(OWN_PROCESS)));
        let over = over_budget(report);
        report.set("over", json!(over));
    }
    report.rule("a node went back to an older version", audit.reverted == 0);
    let in_bound = audit.longest_contradiction <= bound;
    report.rule("two acted on contradicting versions for longer than is stated", in_bound);
    report.rule("a version that was reported as committed is gone", lost_versions == 0);
    report.rule("two histories of a version", audit.forked == 0);
    let enough = committed >= baseline.proposals + ENOUGH_VERSIONS;
    report.rule("too few versions came about to show anything", enough);
}

/// What is over its budget, each with the budget beside it.
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
