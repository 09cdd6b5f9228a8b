//! One site with one build, and the ways in which its configuration is changed.

use super::fields::phase;
use crate::control::ControlClient;
use crate::report::{Report, ScenarioError};
use crate::scale::test_bed::{sentinel_tenants, BackgroundLoad, CpuReading, SiteSettings, TestBed};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

const RELOADED_WITHIN: Duration = Duration::from_secs(30); // a file that is read again is in force, or rejected, by then
const LOG_POLL: Duration = Duration::from_millis(4);
const WRITE_BEHIND: Duration = Duration::from_millis(40); // what goes on behind a change, as writing to disk
const SENTINELS_FIRST: Duration = Duration::from_millis(20); // sentinels are called before the change that adds them
const REASONS: usize = 5; // that are reported of rejections

/// Changes that are rejected in a row until no more are tried.
pub(super) const GIVE_UP: usize = 3;

/// One site with one build, from its start to its end.
pub(super) struct Session<'a> {
    pub(super) bed: TestBed,
    pub(super) site: SiteSettings,
    pub(super) control: ControlClient,
    pub(super) report: &'a mut Report,
    pub(super) rng: StdRng,
    /// The small form for CI.
    pub(super) quick: bool,
    /// It is another build that is played, which may know no steps.
    pub(super) other_build: bool,
    /// Changes so far: makes each version another.
    pub(super) change_count: u64,
    /// Changes that were rejected, and the first reasons.
    pub(super) rejected: u64,
    pub(super) reasons: Vec<String>,
}

/// What became of a change.
pub(super) enum Outcome {
    /// It is in force, on probation.
    Applied,
    Rejected,
    /// This build has no such thing.
    Unsupported,
}

/// A version that runs, as the process says.
#[derive(PartialEq)]
pub(super) struct RunningVersion {
    number: Value,
    pub(super) hash: Value,
}

/// Whether an answer of the control socket agrees.
pub(super) fn accepted(answer: &Value) -> bool {
    answer["ok"] == json!(true)
}

/// Why an answer of the control socket does not agree, with the first problem.
pub(super) fn rejection_reason(answer: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let problems =
        answer["problems"].as_array().and_then(|all| all.first()).map(|first| format!(": {}", text(first)));
    format!("{}{}", text(&answer["error"]), problems.unwrap_or_default())
}

/// CPU of the process between two readings beyond what the load alone takes in that time, in ms.
pub(super) fn cpu_beyond_load_ms(now: &CpuReading, since: &CpuReading, idle_cpu_ms_per_s: f64) -> f64 {
    (now.cpu_ms(since) - idle_cpu_ms_per_s * now.ms(since) / 1e3).max(0.0)
}

impl Session<'_> {
    fn note_rejection(&mut self, reason: String) {
        self.rejected += 1;
        if self.reasons.len() < REASONS && !self.reasons.contains(&reason) {
            self.reasons.push(reason);
        }
    }

    /// Stages a change and applies it; it is on probation then.
    pub(super) fn apply(&mut self, stage: Value) -> Result<Outcome, ScenarioError> {
        let staged = match self.control.request(stage) {
            Ok(staged) => staged,
            Err(fault) => {
                self.note_rejection(fault.to_string());
                return Ok(Outcome::Rejected);
            }
        };
        if !accepted(&staged) {
            let reason = rejection_reason(&staged);
            if ["stage wants text", "a request is a line"].iter().any(|start| reason.starts_with(start)) {
                return Ok(Outcome::Unsupported);
            }
            self.note_rejection(reason);
            return Ok(Outcome::Rejected);
        }
        let applied = self.control.request(json!({"do": "apply"}))?;
        if !accepted(&applied) {
            self.note_rejection(rejection_reason(&applied));
            return Ok(Outcome::Rejected);
        }
        Ok(Outcome::Applied)
    }

    /// Ends a probation: `settle` or `undo`.
    pub(super) fn end_probation(&mut self, command: &str) -> Result<(), ScenarioError> {
        let answer = self.control.request(json!({"do": command}))?;
        let broken = format!("a change could not be ended by {command}");
        self.report.rule(&broken, accepted(&answer));
        Ok(())
    }

    fn put_method(&self, n: usize) -> Value {
        let mut entry = self.site.method(n);
        entry["SkipWorth"] = json!(0);
        entry["put"] = json!("method");
        entry
    }

    fn put_tenant(&self, n: usize) -> Value {
        let mut entry = self.site.tenant(n);
        entry["put"] = json!("tenant");
        entry
    }

    /// One entry becomes another: the quota of a tenant, or the latency target of a method where there are no tenants. The
    /// step that says so.
    pub(super) fn change_one(&mut self) -> String {
        self.change_count += 1;
        if self.site.quotas_rps.is_empty() {
            let n = self.rng.random_range(0..self.site.latency_targets_ms.len());
            self.site.latency_targets_ms[n] = 800 + self.change_count % 1_000;
            return self.put_method(n).to_string();
        }
        let n = self.rng.random_range(0..self.site.quotas_rps.len());
        self.site.quotas_rps[n] = 100.0 + self.change_count as f64 / 8.0;
        self.put_tenant(n).to_string()
    }

    /// Every quota becomes another, and a sentinel pair of tenants is added. Where there are no tenants, every latency
    /// target becomes another. The step that says so.
    pub(super) fn change_all(&mut self, load: &BackgroundLoad) -> String {
        self.change_count += 1;
        let factor = 1.0 + self.change_count as f64 / 1_000.0;
        let mut lines = Vec::new();
        if self.site.quotas_rps.is_empty() {
            let target = 800 + self.change_count % 1_000;
            for n in 0..self.site.latency_targets_ms.len() {
                self.site.latency_targets_ms[n] = target;
                lines.push(self.put_method(n).to_string());
            }
        }
        for n in 0..self.site.quotas_rps.len() {
            self.site.quotas_rps[n] = (self.site.quotas_rps[n] * factor * 8.0).round() / 8.0 + 0.125;
            lines.push(self.put_tenant(n).to_string());
        }
        if !self.site.quotas_rps.is_empty() {
            for name in sentinel_tenants(self.change_count) {
                let mut entry = SiteSettings::sentinel(&name);
                entry["put"] = json!("tenant");
                lines.push(entry.to_string());
            }
            self.site.sentinel_pairs.push(self.change_count);
            load.set_sentinel_pair(self.change_count);
            thread::sleep(SENTINELS_FIRST);
        }
        lines.join("\n")
    }

    /// Writes the file as the site is now and sends a signal; waits until it is in force or rejected.
    pub(super) fn reload(&mut self) -> Result<Outcome, ScenarioError> {
        let text = self.bed.config_text(&self.site);
        self.reload_text(&text)
    }

    /// The same with a text.
    pub(super) fn reload_text(&mut self, text: &str) -> Result<Outcome, ScenarioError> {
        let before = self.control.status()?["version"].clone();
        let log_length = self.bed.node.read_log().len();
        std::fs::write(self.bed.config_path(), text)?;
        self.bed.node.signal("HUP");
        let until = Instant::now() + RELOADED_WITHIN;
        while Instant::now() < until {
            thread::sleep(LOG_POLL);
            let log = self.bed.node.read_log();
            let new = log.get(log_length..).unwrap_or_default();
            if let Some(reason) = reload_rejection(new) {
                self.note_rejection(reason);
                return Ok(Outcome::Rejected);
            }
            if log_line(new, "\"applied\"").is_some() && self.control.status()?["version"] != before {
                return Ok(Outcome::Applied);
            }
        }
        self.note_rejection(format!("a reload was not heard of within {} s", RELOADED_WITHIN.as_secs()));
        Ok(Outcome::Rejected)
    }

    /// The version that runs.
    pub(super) fn running(&mut self) -> Result<RunningVersion, ScenarioError> {
        let status = self.control.status()?;
        Ok(RunningVersion { number: status["version"].clone(), hash: status["hash"].clone() })
    }

    /// Reads the meter once what goes on behind a change is done.
    pub(super) fn read_meter(&mut self) -> CpuReading {
        thread::sleep(WRITE_BEHIND);
        self.bed.meter.read()
    }

    /// Nothing changes for a while: CPU of the process in ms a second.
    pub(super) fn measure_quiet(&mut self, load: &BackgroundLoad) -> f64 {
        load.set_phase(phase::QUIET);
        let before = self.bed.meter.read();
        thread::sleep(Duration::from_millis(if self.quick { 700 } else { 4_000 }));
        let after = self.bed.meter.read();
        load.set_phase(phase::WARM_UP);
        after.cpu_ms(&before) / after.ms(&before) * 1e3
    }
}

/// The first whole line of a log that contains a text.
fn log_line<'a>(log: &'a str, text: &str) -> Option<&'a str> {
    log.lines().find(|line| line.contains(text) && line.ends_with('}'))
}

/// Why a reload was rejected, if the log says that it was.
fn reload_rejection(log: &str) -> Option<String> {
    let messages = ["settings unchanged", "configuration unchanged"];
    let line = messages.iter().find_map(|message| log_line(log, message))?;
    let line: Value = serde_json::from_str(line).unwrap_or_default();
    let field = |name: &str| line[name].as_str().unwrap_or_default().to_string();
    Some(format!("{} {}", field("why"), field("problems")))
}

#[cfg(test)]
#[path = "tests/session.rs"]
mod tests;
