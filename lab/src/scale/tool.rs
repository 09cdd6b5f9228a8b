//! `scale-tool`: CPU time and peak memory of `asterrill check` and `asterrill diff` against the number of methods and
//! tenants in their files, as accounted by the operating system. `--other` measures another `asterrill`.
//!
//! The peak memory that the operating system reports for a process is never less than that of the process that started
//! it. The configuration files are therefore written as a stream, without building a JSON document in this process.

use crate::node::daemon_program;
use crate::report::{Report, ScenarioError};
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Numbers of methods and tenants, in ascending order, because the peak memory of child processes is reported as the
/// maximum over all that have ended.
const METHODS_AND_TENANTS: [(usize, usize); 4] = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
const RUNS_PER_COMMAND: usize = 5;

/// Writes the platform's file with the given numbers of methods and tenants. With `changed`, the last tenant has a
/// different quota, or the last method a different latency target if there are no tenants.
fn write_config(path: &Path, (methods, tenants): (usize, usize), changed: bool) -> std::io::Result<()> {
    let mut writer = BufWriter::new(File::create(path)?);
    write!(
        writer,
        r#"{{"name": "n1", "listen": "127.0.0.1:8080", "agent": "127.0.0.1:6100", "naming": "127.0.0.1:8500", "seed": "a7",
"stop_ms": 3200, "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "settings": {{
"FamilyInfo": {{"NCores": 8, "RamKb": 200000, "RunFactor": 2, "Say": "window", "Below": "off", "StopMode": "abort",
"Gauges": ["on_cores", "links"], "IdleMs": 30000}}, "Limits": {{}}, "StepMs": 4, "Safety": {{"TipMultiple": 8,
"ColdFrom": 0.3, "RampTimeMs": 9000, "StopSendingWithinMs": 1000}}, "Categories": ["#
    )?;
    for index in 0..methods {
        let (comma, target) = (
            if index > 0 { "," } else { "" },
            800 + u64::from(changed && tenants == 0 && index + 1 == methods),
        );
        write!(
            writer,
            r#"{comma}{{"Name":"method-{index:05}","AimMs":{target},"DeadlineMs":2000,"Effect":"free","Worth":1}}"#
        )?;
    }
    write!(writer, "], \"Tenants\": [")?;
    for index in 0..tenants {
        let (comma, quota) =
            (if index > 0 { "," } else { "" }, 100 + u64::from(changed && index + 1 == tenants));
        write!(writer, r#"{comma}{{"Name":"tenant-{index:05}","QuotaRps":{quota}}}"#)?;
    }
    write!(writer, "]}}}}")?;
    writer.flush()
}

/// Resources used by child processes.
struct Usage {
    cpu_ms: f64,
    /// Maximum resident memory of any of the processes, in MB.
    peak_mb: f64,
}

/// Returns the resources used by all child processes that have ended so far.
fn children_usage() -> Result<Usage, ScenarioError> {
    let usage = getrusage(UsageWho::RUSAGE_CHILDREN)?;
    let cpu_us = (usage.user_time() + usage.system_time()).num_microseconds();
    Ok(Usage { cpu_ms: cpu_us as f64 / 1e3, peak_mb: usage.max_rss() as f64 / 1024.0 })
}

/// Command of the tool, and the exit code expected of it.
#[derive(Clone, Copy)]
struct ToolCommand {
    name: &'static str,
    files: usize,
    exit_code: i32,
}

const COMMANDS: [ToolCommand; 2] = [
    ToolCommand { name: "check", files: 1, exit_code: 0 },
    ToolCommand { name: "diff", files: 2, exit_code: 1 },
];

/// Runs a command. Returns its CPU time, and the peak memory of all commands run so far.
fn run(program: &Path, command: ToolCommand, files: [&Path; 2]) -> Result<Usage, ScenarioError> {
    let before = children_usage()?;
    let mut process = Command::new(program);
    process.arg(command.name).args(&files[..command.files]);
    let status = process.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).status()?;
    if status.code() != Some(command.exit_code) {
        let (program, expected) = (program.display(), command.exit_code);
        return Err(
            format!("{program} {} ended with {status}, expected exit code {expected}", command.name).into()
        );
    }
    let after = children_usage()?;
    Ok(Usage { cpu_ms: after.cpu_ms - before.cpu_ms, peak_mb: after.peak_mb })
}

/// Measures all commands. CPU times are medians over the runs, and peak memory is that of all runs so far.
fn measure(program: &Path, files: [&Path; 2]) -> Result<Value, ScenarioError> {
    let mut figures = json!({});
    for command in COMMANDS {
        let name = command.name;
        let mut cpu_ms = Vec::new();
        for _ in 0..RUNS_PER_COMMAND {
            let usage = run(program, command, files)?;
            cpu_ms.push(usage.cpu_ms);
            figures[format!("{name}_peak_mb")] = json!(usage.peak_mb);
        }
        cpu_ms.sort_by(f64::total_cmp);
        figures["spread"][format!("{name}_cpu_ms")] = json!([cpu_ms.first(), cpu_ms.last()]);
        figures[format!("{name}_cpu_ms")] = json!(cpu_ms.get(RUNS_PER_COMMAND / 2));
    }
    Ok(figures)
}

/// Temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap_or_default();
    }
}

/// Measures the tool of this build, or the tool at the path `other`.
pub fn scenario(report: &mut Report, other: Option<&Path>) -> Result<(), ScenarioError> {
    let own = daemon_program().map(|daemon| daemon.with_file_name("asterrill"));
    let program = other
        .or(own.as_deref())
        .ok_or("asterrill is expected beside asterrilld, which was not found; build both first")?;
    let dir = TempDir(std::env::temp_dir().join(format!("asterrill-lab-tool-{}", std::process::id())));
    std::fs::create_dir_all(&dir.0)?;
    let [original, changed] = ["one.json", "two.json"].map(|name| dir.0.join(name));
    let mut runs = Vec::new();
    for size in METHODS_AND_TENANTS {
        write_config(&original, size, false)?;
        write_config(&changed, size, true)?;
        let mut figures = measure(program, [&original, &changed])?;
        figures["methods"] = json!(size.0);
        figures["tenants"] = json!(size.1);
        figures["file_kb"] = json!(std::fs::metadata(&original)?.len() as f64 / 1024.0);
        runs.push(figures);
    }
    report.set("runs", json!(runs));
    Ok(())
}
