//! Undo of each kind of change: what runs afterwards is what ran before, by its hash.

use super::fields::phase;
use super::session::{cpu_beyond_load_ms, Outcome, Session};
use crate::report::ScenarioError;
use crate::scale::statistics::rounded;
use crate::scale::test_bed::BackgroundLoad;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

const ON_PROBATION: Duration = Duration::from_millis(50); // from a change to its undo

/// A kind of change that is undone.
#[derive(Clone, Copy)]
enum Undone {
    OneEntry,
    File,
    All,
}

/// What the build supports.
#[derive(Clone, Copy)]
pub(super) struct Supported {
    /// Steps at the control socket.
    pub(super) steps: bool,
    /// Files that are read again.
    pub(super) files: bool,
}

impl Session<'_> {
    /// Makes a change of each kind and undoes it.
    pub(super) fn measure_undo(
        &mut self, load: &BackgroundLoad, idle_cpu_ms_per_s: f64, supported: Supported,
    ) -> Result<(), ScenarioError> {
        load.set_phase(phase::UNDO);
        for kind in [Undone::OneEntry, Undone::File, Undone::All] {
            let running_before = self.running()?;
            let site_before = self.site.clone();
            let outcome = self.change_to_undo(kind, load, supported)?;
            self.site = site_before;
            if !matches!(outcome, Outcome::Applied) {
                load.set_sentinel_pair(0);
                continue;
            }
            thread::sleep(ON_PROBATION);
            let before = self.bed.meter.read();
            let start = Instant::now();
            self.end_probation("undo")?;
            let took_ms = start.elapsed().as_secs_f64() * 1e3;
            let after = self.read_meter();
            let cpu_ms = cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s);
            load.set_sentinel_pair(0);
            let running = self.running()?;
            self.report.rule("an undo did not bring back what was", running.hash == running_before.hash);
            self.report_undo(kind, took_ms, cpu_ms);
            // The file says what runs, again.
            let text = self.bed.config_text(&self.site);
            std::fs::write(self.bed.config_path(), text)?;
        }
        load.set_phase(phase::WARM_UP);
        Ok(())
    }

    fn change_to_undo(
        &mut self, kind: Undone, load: &BackgroundLoad, supported: Supported,
    ) -> Result<Outcome, ScenarioError> {
        match kind {
            Undone::OneEntry if supported.steps => {
                let step = self.change_one();
                self.apply(json!({"do": "stage", "step": step}))
            }
            Undone::File if supported.files => {
                self.change_one();
                self.reload()
            }
            Undone::All if supported.steps || supported.files => {
                let step = self.change_all(load);
                let by_step = match supported.steps {
                    true => self.apply(json!({"do": "stage", "step": step}))?,
                    false => Outcome::Unsupported,
                };
                match by_step {
                    Outcome::Applied => Ok(Outcome::Applied),
                    _ if supported.files => self.reload(),
                    other => Ok(other),
                }
            }
            _ => Ok(Outcome::Unsupported),
        }
    }

    fn report_undo(&mut self, kind: Undone, took_ms: f64, cpu_ms: f64) {
        match kind {
            Undone::OneEntry => {
                self.report.set("undo_ms", rounded(took_ms));
                self.report.set("cpu_ms_undo", rounded(cpu_ms));
            }
            Undone::File => self.report.set("undo_file_ms", rounded(took_ms)),
            Undone::All => {
                self.report.set("undo_all_ms", rounded(took_ms));
                self.report.set("cpu_ms_undo_all", rounded(cpu_ms));
            }
        }
    }
}
