//! What was sent, added and waited for, by phases.

use super::fields::phase;
use crate::report::Report;
use crate::scale::statistics::rounded;
use crate::scale::test_bed::PhaseStats;
use serde_json::{json, Value};

fn added(stats: &PhaseStats, quantile: f64) -> Value {
    json!(stats.added_ms(quantile))
}

/// Sets the figures of each phase and of all together, and checks that most was answered ok.
pub(super) fn report_phases(report: &mut Report, phases: &[PhaseStats]) {
    let all = phases[phase::ALL_BY_STEP].clone().merged(&phases[phase::ALL_BY_FILE]);
    let named = [
        ("quiet", &phases[phase::QUIET]),
        ("changes", &phases[phase::CHANGES]),
        ("reloads", &phases[phase::RELOADS]),
        ("all_step", &phases[phase::ALL_BY_STEP]),
        ("all_file", &phases[phase::ALL_BY_FILE]),
        ("all", &all),
    ];
    for (name, stats) in named {
        if stats.sent == 0 {
            continue;
        }
        report.set(&format!("gap_ms_max_{name}"), rounded(stats.gap.as_secs_f64() * 1e3));
        report.set(&format!("gap_ms_floor_{name}"), rounded(stats.gap_floor.as_secs_f64() * 1e3));
        report.set(&format!("added_ms_p99_{name}"), added(stats, 0.99));
        if ["quiet", "changes"].contains(&name) {
            report.set(&format!("added_ms_p50_{name}"), added(stats, 0.5));
        }
    }
    let Some((first, others)) = phases.split_first() else { return };
    report_total(report, &others.iter().fold(first.clone(), PhaseStats::merged));
}

fn report_total(report: &mut Report, total: &PhaseStats) {
    report.set("gap_ms_floor", rounded(total.gap_floor.as_secs_f64() * 1e3));
    report.set("gap_ms_max", rounded(total.gap.as_secs_f64() * 1e3));
    report.set("added_ms_p50", added(total, 0.5));
    report.set("added_ms_p99", added(total, 0.99));
    report.set("asked", json!(total.sent));
    report.set("ok", json!(total.ok));
    report.set("pushed_back", json!(total.rejected));
    report.set("aborted", json!(total.aborted));
    // A build that takes whole texts stands still for most of a second at full size, and rejects what comes then.
    let by_steps = report.get("changes_by") == Some(&json!("step"));
    let (least, of) = if by_steps { (9, 10) } else { (1, 2) };
    report.rule("hardly anything was answered ok", total.ok * of >= total.sent * least);
}
