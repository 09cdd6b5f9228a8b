//! Session with one process of one build, and the ways in which its configuration is changed.

use super::fields::phase;
use crate::control::ControlClient;
use crate::report::{Report, ScenarioError};
use crate::scale::test_bed::{sentinel_tenants, BackgroundLoad, CpuReading, SiteSettings, TestBed};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout until a reloaded file is applied or rejected.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Delay after a change until its background work, such as writing to disk, is done.
const BACKGROUND_WORK_DELAY: Duration = Duration::from_millis(40);
/// Delay from the first calls of a sentinel pair to the change that adds it.
const SENTINEL_LEAD_TIME: Duration = Duration::from_millis(20);
/// Maximum number of reasons for rejections that are reported.
const MAX_REASONS: usize = 5;

/// Beginnings of the rejection of a step by a build that does not support steps: the text of earlier builds, then that
/// of current ones.
pub(super) const STEP_UNSUPPORTED: [&str; 2] = ["stage wants text", "stage requires text"];
/// Beginnings of the rejection of a request that is longer than the build accepts, in the same order.
const REQUEST_TOO_LONG: [&str; 2] = ["a request is a line", "a request must be one line"];

/// Number of consecutive rejections after which no more changes are tried.
pub(super) const MAX_CONSECUTIVE_REJECTIONS: usize = 3;

/// Session with one process of one build, from its start to its shutdown.
pub(super) struct Session<'a> {
    pub(super) bed: TestBed,
    pub(super) site: SiteSettings,
    pub(super) control: ControlClient,
    pub(super) report: &'a mut Report,
    pub(super) rng: StdRng,
    /// Whether this is the short form for CI.
    pub(super) quick: bool,
    /// Whether the process is of the other build, which may not support steps.
    pub(super) other_build: bool,
    /// Number of changes so far, from which each change derives new values.
    pub(super) change_count: u64,
    /// Number of rejected changes.
    pub(super) rejected: u64,
    /// Distinct reasons of the first rejections.
    pub(super) reasons: Vec<String>,
}

/// Outcome of a change.
pub(super) enum Outcome {
    /// The change is active and on probation.
    Applied,
    /// The change was rejected, or its connection failed.
    Rejected,
    /// The build does not support changes of this kind.
    Unsupported,
}

/// Version of the configuration that the process reports as running.
#[derive(PartialEq)]
pub(super) struct RunningVersion {
    number: Value,
    pub(super) hash: Value,
}

/// Reports whether an answer of the control socket is a success.
pub(super) fn accepted(answer: &Value) -> bool {
    answer["ok"] == json!(true)
}

/// Returns the error of an answer of the control socket, with the first of its problems.
pub(super) fn rejection_reason(answer: &Value) -> String {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let problems =
        answer["problems"].as_array().and_then(|all| all.first()).map(|first| format!(": {}", text(first)));
    format!("{}{}", text(&answer["error"]), problems.unwrap_or_default())
}

/// Reports whether a reason begins with one of these texts.
pub(super) fn starts_with_any(reason: &str, texts: &[&str]) -> bool {
    texts.iter().any(|text| reason.starts_with(text))
}

/// Returns the CPU time of the process between two readings beyond what the load alone takes in that time, in ms.
pub(super) fn cpu_beyond_load_ms(now: &CpuReading, since: &CpuReading, idle_cpu_ms_per_s: f64) -> f64 {
    (now.cpu_ms(since) - idle_cpu_ms_per_s * now.ms(since) / 1e3).max(0.0)
}

impl Session<'_> {
    fn record_rejection(&mut self, reason: String) {
        self.rejected += 1;
        if self.reasons.len() < MAX_REASONS && !self.reasons.contains(&reason) {
            self.reasons.push(reason);
        }
    }

    /// Stages a change and applies it, which starts its probation.
    pub(super) fn apply(&mut self, stage: Value) -> Result<Outcome, ScenarioError> {
        let staged = match self.control.request(stage) {
            Ok(staged) => staged,
            Err(error) => {
                self.record_rejection(error.to_string());
                return Ok(Outcome::Rejected);
            }
        };
        if !accepted(&staged) {
            let reason = rejection_reason(&staged);
            if starts_with_any(&reason, &STEP_UNSUPPORTED) || starts_with_any(&reason, &REQUEST_TOO_LONG) {
                return Ok(Outcome::Unsupported);
            }
            self.record_rejection(reason);
            return Ok(Outcome::Rejected);
        }
        let applied = self.control.request(json!({"do": "apply"}))?;
        if !accepted(&applied) {
            self.record_rejection(rejection_reason(&applied));
            return Ok(Outcome::Rejected);
        }
        Ok(Outcome::Applied)
    }

    /// Ends the probation of a change with the command `settle` or `undo`.
    pub(super) fn end_probation(&mut self, command: &str) -> Result<(), ScenarioError> {
        let answer = self.control.request(json!({"do": command}))?;
        let broken = format!("the probation of a change could not be ended with {command}");
        self.report.rule(&broken, accepted(&answer));
        Ok(())
    }

    /// Returns the step that puts the entry of a method.
    fn put_method(&self, n: usize) -> Value {
        let mut entry = self.site.method(n);
        entry["SkipWorth"] = json!(0);
        entry["put"] = json!("method");
        entry
    }

    /// Returns the step that puts the entry of a tenant.
    fn put_tenant(&self, n: usize) -> Value {
        let mut entry = self.site.tenant(n);
        entry["put"] = json!("tenant");
        entry
    }

    /// Changes one entry of the site: the quota of a random tenant, or the latency target of a random method if there
    /// are no tenants. Returns the step that makes the change.
    pub(super) fn change_one_entry(&mut self) -> String {
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

    /// Changes every quota of the site and adds a sentinel pair of tenants. If there are no tenants, changes every latency
    /// target instead. Returns the step that makes the change.
    pub(super) fn change_all_entries(&mut self, load: &BackgroundLoad) -> String {
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
            thread::sleep(SENTINEL_LEAD_TIME);
        }
        lines.join("\n")
    }

    /// Writes the configuration file of the site and signals a reload. Waits until the file is applied or rejected.
    pub(super) fn reload(&mut self) -> Result<Outcome, ScenarioError> {
        let text = self.bed.config_text(&self.site);
        self.reload_text(&text)
    }

    /// Writes a text as the configuration file and signals a reload. Waits until the file is applied or rejected.
    pub(super) fn reload_text(&mut self, text: &str) -> Result<Outcome, ScenarioError> {
        let before = self.control.status()?["version"].clone();
        let log_length = self.bed.node.read_log().len();
        std::fs::write(self.bed.config_path(), text)?;
        self.bed.node.signal("HUP");
        let deadline = Instant::now() + RELOAD_TIMEOUT;
        while Instant::now() < deadline {
            thread::sleep(LOG_POLL_INTERVAL);
            let log = self.bed.node.read_log();
            let new_lines = log.get(log_length..).unwrap_or_default();
            if let Some(reason) = reload_rejection(new_lines) {
                self.record_rejection(reason);
                return Ok(Outcome::Rejected);
            }
            if log_line(new_lines, "\"applied\"").is_some() && self.control.status()?["version"] != before {
                return Ok(Outcome::Applied);
            }
        }
        self.record_rejection(format!("a reload was not heard of within {} s", RELOAD_TIMEOUT.as_secs()));
        Ok(Outcome::Rejected)
    }

    /// Returns the running version.
    pub(super) fn running_version(&mut self) -> Result<RunningVersion, ScenarioError> {
        let status = self.control.status()?;
        Ok(RunningVersion { number: status["version"].clone(), hash: status["hash"].clone() })
    }

    /// Waits for the background work of a change and reads the CPU meter.
    pub(super) fn read_meter(&mut self) -> CpuReading {
        thread::sleep(BACKGROUND_WORK_DELAY);
        self.bed.meter.read()
    }

    /// Measures a period without changes. Returns the CPU time of the process in ms per second.
    pub(super) fn measure_quiet(&mut self, load: &BackgroundLoad) -> f64 {
        load.set_phase(phase::QUIET);
        let before = self.bed.meter.read();
        thread::sleep(Duration::from_millis(if self.quick { 700 } else { 4_000 }));
        let after = self.bed.meter.read();
        load.set_phase(phase::WARM_UP);
        after.cpu_ms(&before) / after.ms(&before) * 1e3
    }
}

/// Returns the first complete line of a log that contains a text.
fn log_line<'a>(log: &'a str, text: &str) -> Option<&'a str> {
    log.lines().find(|line| line.contains(text) && line.ends_with('}'))
}

/// Returns the reason of a rejected reload, or `None` if the log does not report one.
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
