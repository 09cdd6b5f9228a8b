//! The scenario and its rules.

use super::faults::{draw, load, KINDS};
use super::measurements::Measurements;
use super::run::run;
use crate::fleet::callers::in_time_share;
use crate::fleet::fault_script;
use crate::fleet::options::{FleetOptions, OutageKind};
use crate::fleet::plot::{self, Curve};
use crate::report::{Report, ScenarioError};
use serde_json::json;

const MANY: usize = 10; // of fewer processes one second's service varies by more than the bound allows for
const REPORTS_IN_STEP: f64 = 0.75; // of all processes in one tenth of a second
const SMOOTHED: usize = 5; // tenths of a second for each point of the curve

/// Plays it with this build, and with another if one is named.
pub fn scenario(report: &mut Report, options: &FleetOptions) -> Result<(), ScenarioError> {
    let kind = options.kind.unwrap_or(KINDS[options.seed as usize % KINDS.len()]);
    let faults = match &options.script {
        Some(path) => fault_script::parse(&std::fs::read_to_string(path)?, options.nodes)?,
        None => draw(kind, options.nodes, options.seed),
    };
    let found = run(options, kind, &faults, None)?;
    report.set("kind", json!(kind.label()));
    report.set("nodes", json!(options.nodes));
    for (name, value) in found.figures().as_object().into_iter().flatten() {
        report.set(name, value.clone());
    }
    report.set("rpcs", json!(found.ledger.rpcs));
    report.set("fault_ended_ms", json!(found.fault_ms));
    report.set("calls_turned_away_below", json!(found.upstream_rejections));
    report.set("pushed_back", json!(found.ledger.rejections.len()));
    report.set("reports_peak_tenth", json!(found.reports_peak));
    report.set("snapshots_failed", json!(found.snapshots_failed));
    if let Some(path) = &options.other {
        let other = run(options, kind, &faults, Some(path))?;
        report.set("other", other.figures());
        draw_plot(options, kind, &[("this build", &found), ("the build before", &other)])?;
    } else {
        draw_plot(options, kind, &[("this build", &found)])?;
    }
    check(report, &found, options, load(kind, options.seed));
    if !report.broken().is_empty() {
        found.faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    Ok(())
}

fn check(report: &mut Report, found: &Measurements, options: &FleetOptions, load_meant: f64) {
    report.rule("an RPC got no final answer", found.unanswered == 0);
    report.rule("an RPC was answered twice", found.ledger.answered_twice == 0);
    report.rule("an RPC got the result of another", found.ledger.wrong_results == 0);
    report.rule("an effect was made twice", found.repeated_effects == 0);
    report.rule("a decision rested on an old value", found.stale == 0);
    report.rule("a process was left behind", found.left == 0);
    report.rule("a process panicked", found.none_panicked);
    report.rule("service before the fault is no measure", found.before > 0.9);
    let as_meant = (0.8..1.15).contains(&(found.load / load_meant));
    report.rule("the load is not what was meant", as_meant);
    // What the cold cores alone force, a third more and a second; a slow machine gets another second.
    let bound_ms = found.floor_ms as f64 * 1.3 + 1_000.0;
    report.set("bound_ms", json!(bound_ms));
    report.rule("service did not come back", found.full_ms.is_some());
    let in_bound = found.full_ms.is_none_or(|full_ms| full_ms as f64 <= bound_ms + 1_000.0);
    let many = options.nodes >= MANY;
    report.rule("service came back late", in_bound || !many);
    let in_step = f64::from(found.reports_peak) > REPORTS_IN_STEP * options.nodes as f64;
    report.rule("reports come in step", !(many && in_step));
}

fn draw_plot(
    options: &FleetOptions, kind: OutageKind, all: &[(&str, &Measurements)],
) -> Result<(), ScenarioError> {
    let Some(path) = &options.plot else { return Ok(()) };
    let curve = |(name, found): &(&str, &Measurements)| {
        let spans = found.buckets.windows(SMOOTHED).enumerate();
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
