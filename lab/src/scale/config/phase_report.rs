//! Figures of the load by phase: RPCs sent, added latency and gaps between answers.

use super::fields::phase;
use crate::report::Report;
use crate::scale::statistics::rounded;
use crate::scale::test_bed::PhaseStats;
use serde_json::{json, Value};

/// Returns a quantile of the latency that the process adds, as a JSON value.
fn added_ms(stats: &PhaseStats, quantile: f64) -> Value {
    json!(stats.added_ms(quantile))
}

/// Reports the figures of each phase and of all phases together, and checks the share of RPCs that were answered ok.
pub(super) fn report_phases(report: &mut Report, phases: &[PhaseStats]) {
    let all = phases[phase::ALL_BY_STEP].clone().merged(&phases[phase::ALL_BY_FILE]);
    let named_phases = [
        ("quiet", &phases[phase::QUIET]),
        ("changes", &phases[phase::CHANGES]),
        ("reloads", &phases[phase::RELOADS]),
        ("all_step", &phases[phase::ALL_BY_STEP]),
        ("all_file", &phases[phase::ALL_BY_FILE]),
        ("all", &all),
    ];
    for (name, stats) in named_phases {
        if stats.sent == 0 {
            continue;
        }
        report.set(&format!("gap_ms_max_{name}"), rounded(stats.gap.as_secs_f64() * 1e3));
        report.set(&format!("gap_ms_floor_{name}"), rounded(stats.gap_floor.as_secs_f64() * 1e3));
        report.set(&format!("added_ms_p99_{name}"), added_ms(stats, 0.99));
        if ["quiet", "changes"].contains(&name) {
            report.set(&format!("added_ms_p50_{name}"), added_ms(stats, 0.5));
        }
    }
    let Some((first, others)) = phases.split_first() else { return };
    report_total(report, &others.iter().fold(first.clone(), PhaseStats::merged));
}

fn report_total(report: &mut Report, total: &PhaseStats) {
    report.set("gap_ms_floor", rounded(total.gap_floor.as_secs_f64() * 1e3));
    report.set("gap_ms_max", rounded(total.gap.as_secs_f64() * 1e3));
    report.set("added_ms_p50", added_ms(total, 0.5));
    report.set("added_ms_p99", added_ms(total, 0.99));
    report.set("asked", json!(total.sent));
    report.set("ok", json!(total.ok));
    report.set("pushed_back", json!(total.rejected));
    report.set("aborted", json!(total.aborted));
    // A build that accepts only the full text of the configuration blocks for most of a second per change at full size,
    // and rejects the RPCs that arrive in that time.
    let by_steps = report.get("changes_by") == Some(&json!("step"));
    let (numerator, denominator) = if by_steps { (9, 10) } else { (1, 2) };
    let broken = format!("fewer than {numerator} of {denominator} RPCs were answered ok");
    report.rule(&broken, total.ok * denominator >= total.sent * numerator);
}
