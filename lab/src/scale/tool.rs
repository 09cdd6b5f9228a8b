//! `scale-tool`: what `asterrill check` and `asterrill diff` cost with files of so many methods and tenants, by the CPU and
//! the greatest memory that the system accounts to them. With `--other` those of another `asterrill`. What the system calls the
//! most memory of a process is never less than that of who started it, so the files are written here without a tree of them.

use crate::report::{Report, ScenarioError};
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Methods and tenants, growing: the memory of those that ended is reported as the most of any.
pub const SIZES: [(usize, usize); 4] = [(5, 0), (470, 4_900), (1_500, 16_000), (4_700, 49_000)];
const TURNS: usize = 5;

/// Writes the platform's file with so many entries; with `more` the last quota, or target, is another.
fn write(path: &Path, (methods, tenants): (usize, usize), more: bool) -> std::io::Result<()> {
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
            (if n > 0 { "," } else { "" }, 800 + u64::from(more && tenants == 0 && n + 1 == methods));
        write!(
            to,
            r#"{comma}{{"Name":"method-{n:05}","AimMs":{target},"DeadlineMs":2000,"Effect":"free","Worth":1}}"#
        )?;
    }
    write!(to, "], \"Tenants\": [")?;
    for n in 0..tenants {
        let (comma, quota) = (if n > 0 { "," } else { "" }, 100 + u64::from(more && n + 1 == tenants));
        write!(to, r#"{comma}{{"Name":"tenant-{n:05}","QuotaRps":{quota}}}"#)?;
    }
    write!(to, "]}}}}")?;
    to.flush()
}

/// CPU in ms of all that ended so far, and the most memory that any of them had, in MB.
fn used() -> Result<(f64, f64), ScenarioError> {
    let used = getrusage(UsageWho::RUSAGE_CHILDREN)?;
    let cpu = (used.user_time() + used.system_time()).num_microseconds();
    Ok((cpu as f64 / 1e3, used.max_rss() as f64 / 1024.0))
}

/// One run: its CPU in ms, and the most memory of any run so far.
fn run(program: &Path, arguments: &[&Path], word: &str, code: i32) -> Result<(f64, f64), ScenarioError> {
    let (before, _) = used()?;
    let mut command = Command::new(program);
    command.arg(word).args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let ended = command.status()?;
    if ended.code() != Some(code) {
        return Err(format!("{} {word} ended with {ended}", program.display()).into());
    }
    let (after, memory) = used()?;
    Ok((after - before, memory))
}

fn measure(program: &Path, files: [&Path; 2]) -> Result<Value, ScenarioError> {
    let mut figures = json!({});
    for (word, code) in [("check", 0), ("diff", 1)] {
        let arguments = if word == "check" { &files[..1] } else { &files[..] };
        let mut cpu = Vec::new();
        for _ in 0..TURNS {
            let (ms, most) = run(program, arguments, word, code)?;
            cpu.push(ms);
            figures[format!("{word}_peak_mb")] = json!(most);
        }
        cpu.sort_by(f64::total_cmp);
        figures["spread"][format!("{word}_cpu_ms")] = json!([cpu.first(), cpu.last()]);
        figures[format!("{word}_cpu_ms")] = json!(cpu.get(TURNS / 2));
    }
    Ok(figures)
}

/// A directory that goes with its owner.
struct Files(PathBuf);

impl Drop for Files {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap_or_default();
    }
}

pub fn scenario(report: &mut Report, other: Option<&Path>) -> Result<(), ScenarioError> {
    let own = crate::node::daemon_program().map(|daemon| daemon.with_file_name("asterrill"));
    let program = other.or(own.as_deref()).ok_or("asterrill is not built beside this program")?;
    let files = Files(std::env::temp_dir().join(format!("asterrill-lab-tool-{}", std::process::id())));
    std::fs::create_dir_all(&files.0)?;
    let [one, two] = ["one.json", "two.json"].map(|name| files.0.join(name));
    let mut runs = Vec::new();
    for size in SIZES {
        write(&one, size, false)?;
        write(&two, size, true)?;
        let mut row = measure(program, [&one, &two])?;
        row["methods"] = json!(size.0);
        row["tenants"] = json!(size.1);
        row["file_kb"] = json!(std::fs::metadata(&one)?.len() as f64 / 1024.0);
        runs.push(row);
    }
    report.set("runs", json!(runs));
    Ok(())
}
