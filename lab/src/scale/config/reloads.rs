//! Files that are read again with one entry changed.

use super::fields::phase;
use super::session::{cpu_beyond_load_ms, Outcome, Session, GIVE_UP};
use crate::report::ScenarioError;
use crate::scale::statistics::{median, rounded};
use crate::scale::test_bed::BackgroundLoad;
use serde_json::{json, Value};
use std::time::Instant;

/// What the reloads took.
#[derive(Default)]
struct Reloads {
    cpu_ms: Vec<f64>,
    rejected_cpu_ms: Vec<f64>,
    took_ms: Vec<f64>,
}

impl Session<'_> {
    /// Changes one entry of the file and has it read again. Whether reloads come into force.
    pub(super) fn measure_reloads(
        &mut self, load: &BackgroundLoad, reloads: usize, idle_cpu_ms_per_s: f64,
    ) -> Result<bool, ScenarioError> {
        let (mut made, mut rejected_in_a_row) = (Reloads::default(), 0);
        for _ in 0..reloads {
            let site_before = self.site.clone();
            self.change_one();
            load.set_phase(phase::RELOADS);
            let before = self.bed.meter.read();
            let outcome = self.reload()?;
            let in_force = Instant::now();
            match outcome {
                Outcome::Applied => {
                    self.end_probation("settle")?;
                    let after = self.read_meter();
                    made.took_ms.push(in_force.duration_since(before.at).as_secs_f64() * 1e3);
                    made.cpu_ms.push(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
                    rejected_in_a_row = 0;
                }
                _ => {
                    self.site = site_before;
                    let after = self.read_meter();
                    made.rejected_cpu_ms.push(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
                    rejected_in_a_row += 1;
                }
            }
            load.set_phase(phase::WARM_UP);
            if rejected_in_a_row == GIVE_UP {
                break;
            }
        }
        self.report_reloads(&mut made);
        Ok(!made.cpu_ms.is_empty())
    }

    fn report_reloads(&mut self, made: &mut Reloads) {
        let slowest = made.took_ms.iter().copied().reduce(f64::max);
        self.report.set("reloads", json!(made.cpu_ms.len()));
        self.report.set("cpu_ms_per_reload", mean(&made.cpu_ms));
        self.report.set("reloads_refused", json!(made.rejected_cpu_ms.len()));
        self.report.set("cpu_ms_per_refused_reload", mean(&made.rejected_cpu_ms));
        self.report.set("reload_ms_max", json!(slowest.map(rounded)));
        self.report.set("reload_ms_p50", json!(median(&mut made.took_ms).map(rounded)));
        self.report.set("rss_kb_after_reloads", json!(self.bed.status_kb("VmRSS")));
        self.report.set("peak_kb_after_reloads", json!(self.bed.status_kb("VmHWM")));
    }
}

fn mean(all: &[f64]) -> Value {
    let sum: f64 = all.iter().sum();
    json!((!all.is_empty()).then(|| rounded(sum / all.len() as f64)))
}
