//! Changes of every entry at once, in one step and by one reload of the file.

use super::fields::phase;
use super::session::{cpu_beyond_load_ms, Outcome, Session};
use crate::report::ScenarioError;
use crate::scale::statistics::rounded;
use crate::scale::test_bed::BackgroundLoad;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(100);

impl Session<'_> {
    /// Changes every entry, first in one step if the build supports `steps`, then by one reload of the file.
    pub(super) fn measure_full_changes(
        &mut self, load: &BackgroundLoad, idle_cpu_ms_per_s: f64, steps: bool,
    ) -> Result<(), ScenarioError> {
        load.set_phase(phase::ALL_BY_STEP);
        let by_step = if steps { self.apply_full_change_by_step(load, idle_cpu_ms_per_s)? } else { None };
        load.set_phase(phase::ALL_BY_FILE);
        let by_file = self.apply_full_change_by_file(load, idle_cpu_ms_per_s)?;
        self.report.set("cpu_ms_all", json!(by_step.or(by_file).map(rounded)));
        load.set_phase(phase::WARM_UP);
        Ok(())
    }

    /// Changes every entry in one step. Returns the CPU time in ms if the change was applied.
    fn apply_full_change_by_step(
        &mut self, load: &BackgroundLoad, idle_cpu_ms_per_s: f64,
    ) -> Result<Option<f64>, ScenarioError> {
        let site_before = self.site.clone();
        let step = self.change_all_entries(load);
        let before = self.bed.meter.read();
        let outcome = self.apply(json!({"do": "stage", "step": step}))?;
        let applied_at = Instant::now();
        let mut cpu_ms = None;
        match outcome {
            Outcome::Applied => {
                self.end_probation("settle")?;
                let after = self.read_meter();
                let took_ms = applied_at.duration_since(before.at).as_secs_f64() * 1e3;
                cpu_ms = Some(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
                self.report.set("cpu_ms_all_step", json!(cpu_ms.map(rounded)));
                self.report.set("all_ms_step", rounded(took_ms));
            }
            Outcome::Rejected => {
                self.site = site_before;
                self.report.set("all_step_error", json!(self.reasons.last()));
            }
            Outcome::Unsupported => {
                self.site = site_before;
                self.report.set("all_step_error", json!("too long for a request"));
            }
        }
        thread::sleep(PAUSE_AFTER_CHANGE);
        load.set_sentinel_pair(0);
        Ok(cpu_ms)
    }

    /// Changes every entry by one reload of the file. Returns the CPU time in ms if the change was applied.
    fn apply_full_change_by_file(
        &mut self, load: &BackgroundLoad, idle_cpu_ms_per_s: f64,
    ) -> Result<Option<f64>, ScenarioError> {
        let site_before = self.site.clone();
        self.change_all_entries(load);
        let before = self.bed.meter.read();
        let outcome = self.reload()?;
        let applied_at = Instant::now();
        let mut cpu_ms = None;
        if let Outcome::Applied = outcome {
            self.end_probation("settle")?;
            let after = self.read_meter();
            let took_ms = applied_at.duration_since(before.at).as_secs_f64() * 1e3;
            cpu_ms = Some(cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s));
            self.report.set("cpu_ms_all_file", json!(cpu_ms.map(rounded)));
            self.report.set("all_ms_file", rounded(took_ms));
        } else {
            self.site = site_before;
        }
        thread::sleep(PAUSE_AFTER_CHANGE);
        load.set_sentinel_pair(0);
        Ok(cpu_ms)
    }
}
