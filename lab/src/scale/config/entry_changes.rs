//! Changes of one entry at the control socket, as steps where the build supports them.

use super::fields::phase;
use super::session::{accepted, cpu_beyond_load_ms, rejection_reason, Outcome, Session, GIVE_UP};
use crate::report::ScenarioError;
use crate::scale::statistics::{median, rounded};
use crate::scale::test_bed::{BackgroundLoad, DiskWriteMeter};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

const PACE: Duration = Duration::from_millis(20); // from one change to the next at the least
const BYTES_ABOVE_ENTRY: f64 = 1_024.0; // that a step may take beyond its entry

/// What the changes took.
#[derive(Default)]
struct Changes {
    applied: u32,
    took_ms: Vec<f64>,
    entry_bytes: usize,
    /// Of changes that were rejected.
    rejected_bytes: u64,
}

impl Session<'_> {
    /// Makes changes of one entry by the control socket. Whether the build supports steps, and they come into force.
    pub(super) fn measure_entry_changes(
        &mut self, load: &BackgroundLoad, changes: usize, idle_cpu_ms_per_s: f64,
    ) -> Result<bool, ScenarioError> {
        let steps = self.supports_steps()?;
        let mut disk = DiskWriteMeter::new(&self.bed.state_dir());
        self.control.bytes = 0;
        load.set_phase(phase::CHANGES);
        let before = self.bed.meter.read();
        let mut made = self.make_entry_changes(changes, steps, &mut disk)?;
        let after = self.read_meter();
        load.set_phase(phase::WARM_UP);
        disk.sample();
        self.report.set("changes", json!(made.applied));
        let by_steps = steps && made.applied > 0;
        self.report.rule("this build took no change as a step", by_steps || self.other_build || changes == 0);
        if made.applied > 0 {
            let cpu = cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s);
            self.report_entry_changes(&mut made, steps, cpu, disk.bytes);
        }
        Ok(by_steps)
    }

    fn make_entry_changes(
        &mut self, changes: usize, steps: bool, disk: &mut DiskWriteMeter,
    ) -> Result<Changes, ScenarioError> {
        let (mut made, mut rejected_in_a_row) = (Changes::default(), 0);
        for _ in 0..changes {
            let (start, site_before, bytes_before) = (Instant::now(), self.site.clone(), self.control.bytes);
            let entry = self.change_one();
            let stage = match steps {
                true => json!({"do": "stage", "step": entry}),
                false => json!({"do": "stage", "text": self.bed.config_text(&self.site)}),
            };
            match self.apply(stage)? {
                Outcome::Applied => {
                    disk.sample();
                    self.end_probation("settle")?;
                    made.applied += 1;
                    made.entry_bytes += entry.len();
                    rejected_in_a_row = 0;
                    made.took_ms.push(start.elapsed().as_secs_f64() * 1e3);
                    disk.sample();
                }
                Outcome::Rejected => {
                    self.site = site_before;
                    rejected_in_a_row += 1;
                    made.rejected_bytes += self.control.bytes - bytes_before;
                }
                Outcome::Unsupported => {
                    self.site = site_before;
                    break;
                }
            }
            if rejected_in_a_row == GIVE_UP {
                break;
            }
            thread::sleep(PACE.saturating_sub(start.elapsed()));
        }
        Ok(made)
    }

    fn report_entry_changes(&mut self, made: &mut Changes, steps: bool, cpu_ms: f64, disk_bytes: u64) {
        let applied = f64::from(made.applied);
        let each = |sum: f64| rounded(sum / applied);
        let socket_bytes = (self.control.bytes - made.rejected_bytes) as f64;
        let slowest = made.took_ms.iter().copied().reduce(f64::max);
        let by = if steps { "step" } else { "text" };
        self.report.set("changes_by", json!(by));
        self.report.set("cpu_ms_per_change", each(cpu_ms));
        self.report.set("bytes_per_change", each(socket_bytes));
        self.report.set("bytes_per_change_disk", each(disk_bytes as f64));
        self.report.set("entry_bytes", each(made.entry_bytes as f64));
        self.report.set("change_ms_max", json!(slowest.map(rounded)));
        self.report.set("change_ms_p50", json!(median(&mut made.took_ms).map(rounded)));
        self.report.set("rss_kb_after", json!(self.bed.status_kb("VmRSS")));
        if self.quick && steps {
            let above = socket_bytes / applied - made.entry_bytes as f64 / applied;
            let within = above <= BYTES_ABOVE_ENTRY;
            self.report.rule("a step takes over 1 KiB above its entries on the socket", within);
            let above = (disk_bytes as f64 - made.entry_bytes as f64) / applied;
            let within = above <= BYTES_ABOVE_ENTRY;
            self.report.rule("a step takes over 1 KiB above its entries on disk", within);
        }
    }

    /// Whether this build takes steps at its control socket: one that changes nothing is not understood by one that
    /// doesn't.
    fn supports_steps(&mut self) -> Result<bool, ScenarioError> {
        let answer: Value = self.control.request(json!({"do": "stage", "step": ""}))?;
        let supported = accepted(&answer) || !rejection_reason(&answer).starts_with("stage wants text");
        if accepted(&answer) {
            self.control.request(json!({"do": "drop"}))?;
        }
        Ok(supported)
    }
}
