//! Scenario and rules.

use super::faults::{generate_faults, load, KINDS};
use super::measurements::Measurements;
use super::run::run;
use crate::fleet::callers::in_time_share;
use crate::fleet::fault_script;
use crate::fleet::options::{FleetOptions, OutageKind};
use crate::fleet::plot::{self, Curve};
use crate::report::{Report, ScenarioError};
use serde_json::json;

/// Smallest fleet for which the time bounds are checked. With fewer processes, the service of one second varies by
/// more than the bounds allow.
const MIN_NODES_FOR_BOUNDS: usize = 10;
/// Largest share of the processes that may send load reports within one bucket.
const MAX_SYNCHRONIZED_SHARE: f64 = 0.75;
/// Number of buckets over which each point of the curve is averaged.
const BUCKETS_PER_POINT: usize = 5;

/// Runs the scenario with this build, and with another if the options name one.
pub fn scenario(report: &mut Report, options: &FleetOptions) -> Result<(), ScenarioError> {
    let kind = options.kind.unwrap_or(KINDS[options.seed as usize % KINDS.len()]);
    let faults = match &options.script {
        Some(path) => fault_script::parse(&std::fs::read_to_string(path)?, options.nodes)?,
        None => generate_faults(kind, options.nodes, options.seed),
    };
    let measurements = run(options, kind, &faults, None)?;
    report.set("kind", json!(kind.label()));
    report.set("nodes", json!(options.nodes));
    for (name, value) in measurements.figures().as_object().into_iter().flatten() {
        report.set(name, value.clone());
    }
    report.set("rpcs", json!(measurements.ledger.rpcs));
    report.set("fault_ended_ms", json!(measurements.last_fault_ms));
    report.set("calls_turned_away_below", json!(measurements.upstream_rejections));
    report.set("pushed_back", json!(measurements.ledger.rejections.len()));
    report.set("reports_peak_tenth", json!(measurements.reports_peak));
    report.set("snapshots_failed", json!(measurements.snapshots_failed));
    if let Some(path) = &options.other {
        let other = run(options, kind, &faults, Some(path))?;
        report.set("other", other.figures());
        draw_plot(options, kind, &[("this build", &measurements), ("the build before", &other)])?;
    } else {
        draw_plot(options, kind, &[("this build", &measurements)])?;
    }
    check(report, &measurements, options, load(kind, options.seed));
    if !report.broken().is_empty() {
        measurements.faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    Ok(())
}

fn check(report: &mut Report, measurements: &Measurements, options: &FleetOptions, expected_load: f64) {
    report.rule("an RPC got no final answer", measurements.unanswered == 0);
    report.rule("an RPC was answered twice", measurements.ledger.answered_twice == 0);
    report.rule("an RPC got the result of another RPC", measurements.ledger.wrong_results == 0);
    report.rule("an RPC that must not run twice ran twice", measurements.repeated_effects == 0);
    report.rule("a decision was based on an outdated value", measurements.stale_decisions == 0);
    report.rule("a process was still running at the end", measurements.remaining_processes == 0);
    report.rule("a process panicked", measurements.none_panicked);
    report.rule("service before the fault was too low to compare with", measurements.in_time_before > 0.9);
    let load_as_expected = (0.8..1.15).contains(&(measurements.load / expected_load));
    report.rule("the measured load differs from the expected load", load_as_expected);
    // The bound is the time that cold cores need in any case, plus 30% and a second. The rule allows another second
    // for slow machines.
    let bound_ms = measurements.min_recovery_ms as f64 * 1.3 + 1_000.0;
    report.set("bound_ms", json!(bound_ms));
    report.rule("service did not recover", measurements.recovery_ms.is_some());
    let in_bound =
        measurements.recovery_ms.is_none_or(|recovery_ms| recovery_ms as f64 <= bound_ms + 1_000.0);
    let large_enough = options.nodes >= MIN_NODES_FOR_BOUNDS;
    report.rule("service recovered later than the bound", in_bound || !large_enough);
    let synchronized = f64::from(measurements.reports_peak) > MAX_SYNCHRONIZED_SHARE * options.nodes as f64;
    report.rule("load reports are synchronized", !(large_enough && synchronized));
}

fn draw_plot(
    options: &FleetOptions, kind: OutageKind, all: &[(&str, &Measurements)],
) -> Result<(), ScenarioError> {
    let Some(path) = &options.plot else { return Ok(()) };
    let curve = |(name, measurements): &(&str, &Measurements)| {
        let spans = measurements.buckets.windows(BUCKETS_PER_POINT).enumerate();
        Curve {
            name: name.to_string(),
            points: spans.map(|(i, span)| (i as f64 / 10.0, in_time_share(span))).collect(),
        }
    };
    let curves: Vec<Curve> = all.iter().map(curve).collect();
    let faults: Vec<f64> = all[0].1.faults.iter().map(|fault| fault.at_ms as f64 / 1_000.0).collect();
    let title = format!("fleet-return {}, {} nodes, seed {}", kind.label(), options.nodes, options.seed);
    plot::draw_curves(path, &title, &curves, &faults)
}
