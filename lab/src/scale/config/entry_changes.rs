//! Changes of single entries through the control socket, as steps if the build supports them.

use super::fields::phase;
use super::session::{
    accepted, cpu_beyond_load_ms, rejection_reason, starts_with_any, Outcome, Session,
    MAX_CONSECUTIVE_REJECTIONS, STEP_UNSUPPORTED,
};
use crate::report::ScenarioError;
use crate::scale::statistics::{median, rounded};
use crate::scale::test_bed::{BackgroundLoad, DiskWriteMeter};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

/// Minimum time from the start of one change to the start of the next.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a step in addition to its entry.
const MAX_STEP_OVERHEAD_BYTES: f64 = 1_024.0;

/// Measurements of the changes.
#[derive(Default)]
struct ChangeStats {
    applied: u32,
    took_ms: Vec<f64>,
    entry_bytes: usize,
    /// Bytes on the control socket for changes that were rejected.
    rejected_bytes: u64,
}

impl Session<'_> {
    /// Changes single entries through the control socket. Returns whether the build supports steps and applied any.
    pub(super) fn measure_entry_changes(
        &mut self, load: &BackgroundLoad, changes: usize, idle_cpu_ms_per_s: f64,
    ) -> Result<bool, ScenarioError> {
        let steps = self.supports_steps()?;
        let mut disk = DiskWriteMeter::new(&self.bed.state_dir());
        self.control.bytes = 0;
        load.set_phase(phase::CHANGES);
        let before = self.bed.meter.read();
        let mut measured = self.make_entry_changes(changes, steps, &mut disk)?;
        let after = self.read_meter();
        load.set_phase(phase::WARM_UP);
        disk.sample();
        self.report.set("changes", json!(measured.applied));
        let by_steps = steps && measured.applied > 0;
        self.report
            .rule("this build applied no change as a step", by_steps || self.other_build || changes == 0);
        if measured.applied > 0 {
            let cpu_ms = cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s);
            self.report_entry_changes(&mut measured, steps, cpu_ms, disk.bytes);
        }
        Ok(by_steps)
    }

    fn make_entry_changes(
        &mut self, changes: usize, steps: bool, disk: &mut DiskWriteMeter,
    ) -> Result<ChangeStats, ScenarioError> {
        let (mut measured, mut consecutive_rejections) = (ChangeStats::default(), 0);
        for _ in 0..changes {
            let (start, site_before, bytes_before) = (Instant::now(), self.site.clone(), self.control.bytes);
            let entry = self.change_one_entry();
            let stage = match steps {
                true => json!({"do": "stage", "step": entry}),
                false => json!({"do": "stage", "text": self.bed.config_text(&self.site)}),
            };
            match self.apply(stage)? {
                Outcome::Applied => {
                    disk.sample();
                    self.end_probation("settle")?;
                    measured.applied += 1;
                    measured.entry_bytes += entry.len();
                    consecutive_rejections = 0;
                    measured.took_ms.push(start.elapsed().as_secs_f64() * 1e3);
                    disk.sample();
                }
                Outcome::Rejected => {
                    self.site = site_before;
                    consecutive_rejections += 1;
                    measured.rejected_bytes += self.control.bytes - bytes_before;
                }
                Outcome::Unsupported => {
                    self.site = site_before;
                    break;
                }
            }
            if consecutive_rejections == MAX_CONSECUTIVE_REJECTIONS {
                break;
            }
            thread::sleep(CHANGE_INTERVAL.saturating_sub(start.elapsed()));
        }
        Ok(measured)
    }

    fn report_entry_changes(
        &mut self, measured: &mut ChangeStats, steps: bool, cpu_ms: f64, disk_bytes: u64,
    ) {
        let applied = f64::from(measured.applied);
        let per_change = |sum: f64| rounded(sum / applied);
        let socket_bytes = (self.control.bytes - measured.rejected_bytes) as f64;
        let slowest = measured.took_ms.iter().copied().reduce(f64::max);
        let changes_by = if steps { "step" } else { "text" };
        self.report.set("changes_by", json!(changes_by));
        self.report.set("cpu_ms_per_change", per_change(cpu_ms));
        self.report.set("bytes_per_change", per_change(socket_bytes));
        self.report.set("bytes_per_change_disk", per_change(disk_bytes as f64));
        self.report.set("entry_bytes", per_change(measured.entry_bytes as f64));
        self.report.set("change_ms_max", json!(slowest.map(rounded)));
        self.report.set("change_ms_p50", json!(median(&mut measured.took_ms).map(rounded)));
        self.report.set("rss_kb_after", json!(self.bed.status_kb("VmRSS")));
        if self.quick && steps {
            let overhead = socket_bytes / applied - measured.entry_bytes as f64 / applied;
            let within = overhead <= MAX_STEP_OVERHEAD_BYTES;
            self.report.rule("a step takes more than 1 KiB beyond its entries on the control socket", within);
            let overhead = (disk_bytes as f64 - measured.entry_bytes as f64) / applied;
            let within = overhead <= MAX_STEP_OVERHEAD_BYTES;
            self.report.rule("a step takes more than 1 KiB beyond its entries on disk", within);
        }
    }

    /// Reports whether the build accepts steps on its control socket, by staging an empty step. A build without steps
    /// answers that it expects a text.
    fn supports_steps(&mut self) -> Result<bool, ScenarioError> {
        let answer: Value = self.control.request(json!({"do": "stage", "step": ""}))?;
        let reason = rejection_reason(&answer);
        let supported = accepted(&answer) || !starts_with_any(&reason, &STEP_UNSUPPORTED);
        if accepted(&answer) {
            self.control.request(json!({"do": "drop"}))?;
        }
        Ok(supported)
    }
}
