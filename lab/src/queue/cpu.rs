//! Scenarios `framed-cpu` and `recovery-cpu`: CPU time per framed RPC, measured alternately with another build or
//! another file.

use super::rules::check_framed;
use super::setup::backend_setup;
use crate::backend::Backend;
use crate::load::{p99_ms, run_load, sum, LoadStats, RateSpan};
use crate::method::{FRAMED_METHODS, LOOK_UP, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use serde_json::json;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 5;
const WARM_UP: Duration = Duration::from_millis(500);
const MS_PER_S: f64 = 1_000.0;

type Figure = fn(&Run) -> f64;

/// Measurements of one run of a backend whose methods do no work.
struct Run {
    cpu_us_per_rpc: f64,
    stats: LoadStats,
    start_ms: f64,
}

fn setup_without_work(operator_file: Option<String>) -> Setup {
    backend_setup(&[TILL_PRICE, LOOK_UP].map(|method| method.without_work()), operator_file)
}

fn run(report: &mut Report, setup: &Setup, load: RateSpan, seed: u64) -> Result<Run, ScenarioError> {
    let never_stopped = AtomicBool::new(false);
    let start = Instant::now();
    let backend = Backend::start(setup, "")?;
    let start_ms = start.elapsed().as_secs_f64() * MS_PER_S;
    let address = backend.node.address;
    run_load(address, &FRAMED_METHODS, &[RateSpan::new(WARM_UP, load.rate)], seed + 50, &never_stopped)?;
    let before = backend.node.cpu_us();
    let stats = run_load(address, &FRAMED_METHODS, &[load], seed, &never_stopped)?;
    let cpu_us = (backend.node.cpu_us() - before) as f64;
    check_framed(report, &stats);
    Ok(Run { cpu_us_per_rpc: cpu_us / sum(&stats, |s| s.sent).max(1) as f64, stats, start_ms })
}

/// Sorts the values and returns the median: for an even number of values the upper of the two in the middle.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Measures the CPU time per framed RPC with this build and, if given, alternately with another; reports medians of
/// five rounds.
pub fn framed_cpu(
    report: &mut Report, seed: u64, load: RateSpan, other: Option<&Path>,
) -> Result<(), ScenarioError> {
    let (mut this_build, mut other_build) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        this_build.push(run(report, &setup_without_work(None), load, seed + round)?.cpu_us_per_rpc);
        if let Some(program) = other {
            let setup = Setup { program: Some(program.to_path_buf()), ..setup_without_work(None) };
            other_build.push(run(report, &setup, load, seed + round)?.cpu_us_per_rpc);
        }
    }
    report.set("all_this", json!(this_build));
    report.set("all_other", json!(other_build));
    let (this, other) = (median(&mut this_build), median(&mut other_build));
    report.set("cpu_us_per_rpc", json!(this));
    report.set("cpu_us_per_rpc_other", json!(other));
    report.set("ratio", json!(this.zip(other).map(|(this, other)| this / other)));
    Ok(())
}

/// Measures CPU time, p99 latency and start time with a snapshot each second and without `[recovery]`, alternately;
/// reports medians of five rounds.
pub fn recovery_cpu(report: &mut Report, seed: u64, load: RateSpan) -> Result<(), ScenarioError> {
    let state = "[changes]\nstate {dir}/state\n";
    let files = [("off", state.to_string()), ("on", format!("{state}[recovery]\nsnapshot 1s\n"))];
    let mut runs = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        for ((_, file), runs) in files.iter().zip(&mut runs) {
            runs.push(run(report, &setup_without_work(Some(file.clone())), load, seed + round)?);
        }
    }
    let figures: [(&str, Figure); 3] = [
        ("cpu_us_per_rpc", |run| run.cpu_us_per_rpc),
        ("p99_ms", |run| p99_ms(&run.stats)),
        ("start_ms", |run| run.start_ms),
    ];
    for (name, figure) in figures {
        for ((with, _), runs) in files.iter().zip(&runs) {
            let mut all: Vec<f64> = runs.iter().map(figure).collect();
            report.set(&format!("{name}_{with}"), json!(median(&mut all)));
        }
    }
    Ok(())
}
