//! Undo of each kind of change: the hash of the running version has to be the one from before the change.

use super::fields::phase;
use super::session::{cpu_beyond_load_ms, Outcome, Session};
use crate::report::ScenarioError;
use crate::scale::statistics::rounded;
use crate::scale::test_bed::BackgroundLoad;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Time from a change to its undo.
const UNDO_DELAY: Duration = Duration::from_millis(50);

/// Kind of change that is undone.
#[derive(Clone, Copy)]
enum ChangeKind {
    SingleEntry,
    Reload,
    AllEntries,
}

/// Ways of changing the configuration that the build supports.
#[derive(Clone, Copy)]
pub(super) struct SupportedChanges {
    /// Steps through the control socket.
    pub(super) steps: bool,
    /// Reloads of the configuration file.
    pub(super) reloads: bool,
}

impl Session<'_> {
    /// Makes a change of each kind and undoes it.
    pub(super) fn measure_undo(
        &mut self, load: &BackgroundLoad, idle_cpu_ms_per_s: f64, supported: SupportedChanges,
    ) -> Result<(), ScenarioError> {
        load.set_phase(phase::UNDO);
        for kind in [ChangeKind::SingleEntry, ChangeKind::Reload, ChangeKind::AllEntries] {
            let running_before = self.running_version()?;
            let site_before = self.site.clone();
            let outcome = self.apply_change(kind, load, supported)?;
            self.site = site_before;
            if !matches!(outcome, Outcome::Applied) {
                load.set_sentinel_pair(0);
                continue;
            }
            thread::sleep(UNDO_DELAY);
            let before = self.bed.meter.read();
            let start = Instant::now();
            self.end_probation("undo")?;
            let took_ms = start.elapsed().as_secs_f64() * 1e3;
            let after = self.read_meter();
            let cpu_ms = cpu_beyond_load_ms(&after, &before, idle_cpu_ms_per_s);
            load.set_sentinel_pair(0);
            let running = self.running_version()?;
            self.report
                .rule("an undo did not restore the previous version", running.hash == running_before.hash);
            self.report_undo(kind, took_ms, cpu_ms);
            // Brings the configuration file in line with the running version again.
            let text = self.bed.config_text(&self.site);
            std::fs::write(self.bed.config_path(), text)?;
        }
        load.set_phase(phase::WARM_UP);
        Ok(())
    }

    /// Makes a change of a kind, if the build supports it.
    fn apply_change(
        &mut self, kind: ChangeKind, load: &BackgroundLoad, supported: SupportedChanges,
    ) -> Result<Outcome, ScenarioError> {
        match kind {
            ChangeKind::SingleEntry if supported.steps => {
                let step = self.change_one_entry();
                self.apply(json!({"do": "stage", "step": step}))
            }
            ChangeKind::Reload if supported.reloads => {
                self.change_one_entry();
                self.reload()
            }
            ChangeKind::AllEntries if supported.steps || supported.reloads => {
                let step = self.change_all_entries(load);
                let by_step = match supported.steps {
                    true => self.apply(json!({"do": "stage", "step": step}))?,
                    false => Outcome::Unsupported,
                };
                match by_step {
                    Outcome::Applied => Ok(Outcome::Applied),
                    _ if supported.reloads => self.reload(),
                    other => Ok(other),
                }
            }
            _ => Ok(Outcome::Unsupported),
        }
    }

    /// Reports the time and the CPU time of an undo.
    fn report_undo(&mut self, kind: ChangeKind, took_ms: f64, cpu_ms: f64) {
        match kind {
            ChangeKind::SingleEntry => {
                self.report.set("undo_ms", rounded(took_ms));
                self.report.set("cpu_ms_undo", rounded(cpu_ms));
            }
            ChangeKind::Reload => self.report.set("undo_file_ms", rounded(took_ms)),
            ChangeKind::AllEntries => {
                self.report.set("undo_all_ms", rounded(took_ms));
                self.report.set("cpu_ms_undo_all", rounded(cpu_ms));
            }
        }
    }
}
