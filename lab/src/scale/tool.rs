//! `scale-tool`: what `asterrill check` and `asterrill diff` cost with files of so many methods and tenants, by the CPU and
//! the greatest memory that the system accounts to them. With `--other` those of another `asterrill`. What the system calls the
//! most memory of a process is never less than that of who started it, so the files are written here without a tree of them.

use crate::node::daemon_program;
use crate::report::{Report, ScenarioError};
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Methods and tenants, growing: the memory of those that ended is reported as the most of any.
const SIZES: [(usize, usize); 4] = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
const TURNS: usize = 5;

/// Writes the platform's file with so many methods and tenants; with `changed` the last quota, or target, is another.
fn write_config(path: &Path, (methods, tenants): (usize, usize), changed: bool) -> std::io::Result<()> {
    let mut to = BufWriter::new(File::create(path)?);
    write!(
        to,
        r#"{{"name": "n1", "listen": "127.0.0.1:8080", "agent": "127.0.0.1:6100", "naming": "127.0.0.1:8500", "seed": "a7",
"stop_ms": 3200, "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "settings": {{
"FamilyInfo": {{"NCores": 8, "RamKb": 200000, "RunFactor": 2, "Say": "window", "Below": "off", "StopMode": "abort",
"Gauges": ["on_cores", "links"], "IdleMs": 30000}}, "Limits": {{}}, "StepMs": 4, "Safety": {{"TipMultiple": 8,
"ColdFrom": 0.3, "RampTimeMs": 9000, "StopSendingWithinMs": 1000}}, "Categories": ["#
    )?;
    for n in 0..methods {
        let (comma, target) =
            (if n > 0 { "," } else { "" }, 800 + u64::from(changed && tenants == 0 && n + 1 == methods));
        write!(
            to,
            r#"{comma}{{"Name":"method-{n:05}","AimMs":{target},"DeadlineMs":2000,"Effect":"free","Worth":1}}"#
        )?;
    }
    write!(to, "], \"Tenants\": [")?;
    for n in 0..tenants {
        let (comma, quota) = (if n > 0 { "," } else { "" }, 100 + u64::from(changed && n + 1 == tenants));
        write!(to, r#"{comma}{{"Name":"tenant-{n:05}","QuotaRps":{quota}}}"#)?;
    }
    write!(to, "]}}}}")?;
    to.flush()
}

/// What processes used.
struct Usage {
    cpu_ms: f64,
    /// The most memory that any of them had, in MB.
    peak_mb: f64,
}

/// What all that ended so far used.
fn children_usage() -> Result<Usage, ScenarioError> {
    let used = getrusage(UsageWho::RUSAGE_CHILDREN)?;
    let cpu_us = (used.user_time() + used.system_time()).num_microseconds();
    Ok(Usage { cpu_ms: cpu_us as f64 / 1e3, peak_mb: used.max_rss() as f64 / 1024.0 })
}

/// A command of the tool, and the exit code that it ends with.
#[derive(Clone, Copy)]
struct ToolCommand {
    name: &'static str,
    files: usize,
    code: i32,
}

const COMMANDS: [ToolCommand; 2] =
    [ToolCommand { name: "check", files: 1, code: 0 }, ToolCommand { name: "diff", files: 2, code: 1 }];

/// Runs a command: its CPU, and the most memory of any run so far.
fn run(program: &Path, command: ToolCommand, files: [&Path; 2]) -> Result<Usage, ScenarioError> {
    let before = children_usage()?;
    let mut process = Command::new(program);
    process.arg(command.name).args(&files[..command.files]);
    let status = process.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).status()?;
    if status.code() != Some(command.code) {
        return Err(format!("{} {} ended with {status}", program.display(), command.name).into());
    }
    let after = children_usage()?;
    Ok(Usage { cpu_ms: after.cpu_ms - before.cpu_ms, peak_mb: after.peak_mb })
}

fn measure(program: &Path, files: [&Path; 2]) -> Result<Value, ScenarioError> {
    let mut figures = json!({});
    for command in COMMANDS {
        let name = command.name;
        let mut cpu_ms = Vec::new();
        for _ in 0..TURNS {
            let usage = run(program, command, files)?;
            cpu_ms.push(usage.cpu_ms);
            figures[format!("{name}_peak_mb")] = json!(usage.peak_mb);
        }
        cpu_ms.sort_by(f64::total_cmp);
        figures["spread"][format!("{name}_cpu_ms")] = json!([cpu_ms.first(), cpu_ms.last()]);
        figures[format!("{name}_cpu_ms")] = json!(cpu_ms.get(TURNS / 2));
    }
    Ok(figures)
}

/// A directory that is removed when this is dropped.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap_or_default();
    }
}

/// Plays it with this build's tool, or another.
pub fn scenario(report: &mut Report, other: Option<&Path>) -> Result<(), ScenarioError> {
    let own = daemon_program().map(|daemon| daemon.with_file_name("asterrill"));
    let program = other.or(own.as_deref()).ok_or("asterrill is not built beside this program")?;
    let dir = TempDir(std::env::temp_dir().join(format!("asterrill-lab-tool-{}", std::process::id())));
    std::fs::create_dir_all(&dir.0)?;
    let [one, two] = ["one.json", "two.json"].map(|name| dir.0.join(name));
    let mut runs = Vec::new();
    for size in SIZES {
        write_config(&one, size, false)?;
        write_config(&two, size, true)?;
        let mut figures = measure(program, [&one, &two])?;
        figures["methods"] = json!(size.0);
        figures["tenants"] = json!(size.1);
        figures["file_kb"] = json!(std::fs::metadata(&one)?.len() as f64 / 1024.0);
        runs.push(figures);
    }
    report.set("runs", json!(runs));
    Ok(())
}
