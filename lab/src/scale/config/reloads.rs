//! Reloads of the configuration file with one changed entry.

use super::fields::phase;
use super::session::{cpu_beyond_load_ms, Outcome, Session, MAX_CONSECUTIVE_REJECTIONS};
use crate::report::ScenarioError;
use crate::scale::statistics::{median, rounded};
use crate::scale::test_bed::BackgroundLoad;
use serde_json::{json, Value};
use std::time::Instant;

/// Measurements of the reloads.
#[derive(Default)]
struct ReloadStats {
    cpu_ms: Vec<f64>,
    rejected_cpu_ms: Vec<f64>,
    took_ms: Vec<f64>,
}

impl Session<'_> {
    /// Changes one entry of the file and reloads it, repeatedly. Returns whether any reload was applied.
    pub(super) fn measure_reloads(
        &mut self, load: &BackgroundLoad, reloads: usize, idle_cpu_ms_per_s: f64,
    ) -> Result<bool, ScenarioError> {
        let (mut measured, mut consecutive_rejections) = (ReloadStats::default(), 0);
        for _ in 0..reloads {
            let site_before = self.site.clone();
            self.change_one_entry();
            load.set_phase(phase::RELOADS);
            let before = self.bed.meter.read();
            let outcome = self.reload()?;
            let applied_at = Instant::now();
            match outcome {
                Outcome::Applied => {
                    self.end_probation("settle")?;
                    let after = self.read_meter();
                    measured.took_ms.push(applied_at.duration_since(before.at).as_secs_f64() * 1e3);
                    measured.cpu_ms.push(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
                    consecutive_rejections = 0;
                }
                _ => {
                    self.site = site_before;
                    let after = self.read_meter();
                    measured.rejected_cpu_ms.push(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
                    consecutive_rejections += 1;
                }
            }
            load.set_phase(phase::WARM_UP);
            if consecutive_rejections == MAX_CONSECUTIVE_REJECTIONS {
                break;
            }
        }
        self.report_reloads(&mut measured);
        Ok(!measured.cpu_ms.is_empty())
    }

    fn report_reloads(&mut self, measured: &mut ReloadStats) {
        let slowest = measured.took_ms.iter().copied().reduce(f64::max);
        self.report.set("reloads", json!(measured.cpu_ms.len()));
        self.report.set("cpu_ms_per_reload", mean(&measured.cpu_ms));
        self.report.set("reloads_refused", json!(measured.rejected_cpu_ms.len()));
        self.report.set("cpu_ms_per_refused_reload", mean(&measured.rejected_cpu_ms));
        self.report.set("reload_ms_max", json!(slowest.map(rounded)));
        self.report.set("reload_ms_p50", json!(median(&mut measured.took_ms).map(rounded)));
        self.report.set("rss_kb_after_reloads", json!(self.bed.status_kb("VmRSS")));
        self.report.set("peak_kb_after_reloads", json!(self.bed.status_kb("VmHWM")));
    }
}

/// Returns the mean as a JSON value, or null if there are no values.
fn mean(values: &[f64]) -> Value {
    let sum: f64 = values.iter().sum();
    json!((!values.is_empty()).then(|| rounded(sum / values.len() as f64)))
}
