//! Measurement of the memory of versions, and of the CPU time of a change, a comparison and a revert.

use super::versions::Versions;
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::ScenarioError;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::hint::black_box;

/// Number of versions that are created after the first.
const ADDED_VERSIONS: usize = 20;
const TURNS: usize = 5;
/// Target for the total number of entries over all runs of a turn, which determines the number of runs.
const ENTRIES_PER_TURN: usize = 2_000_000;

/// Returns the CPU time of one run in microseconds, as the median over several turns of `runs` runs each.
fn cpu_us_per_run(runs: usize, mut run: impl FnMut(usize)) -> Result<f64, ScenarioError> {
    let cpu_us = || -> Result<f64, ScenarioError> {
        let usage = getrusage(UsageWho::RUSAGE_SELF)?;
        Ok((usage.user_time() + usage.system_time()).num_microseconds() as f64)
    };
    let mut turns = Vec::new();
    for turn in 0..TURNS {
        let before = cpu_us()?;
        (0..runs).for_each(|index| run(turn * runs + index));
        turns.push((cpu_us()? - before) / runs as f64);
    }
    turns.sort_by(f64::total_cmp);
    Ok(turns[TURNS / 2])
}

/// Measures the memory and the CPU time of a form with `size` entries.
pub(super) fn measure<V: Versions>(size: usize) -> Result<Value, ScenarioError> {
    let empty_kb = resident_kb(OWN_PROCESS);
    let mut versions = V::new(size);
    let first_kb = resident_kb(OWN_PROCESS);
    (0..ADDED_VERSIONS).for_each(|index| versions.push_change(index));
    let all_kb = resident_kb(OWN_PROCESS);
    let differing = versions.count_differences();
    let runs = (ENTRIES_PER_TURN / size).clamp(5, 2_000);
    let differ_us = cpu_us_per_run(runs, |_| {
        black_box(versions.count_differences());
    })?;
    // A change is measured together with its revert, because memory would grow with every run otherwise. The CPU time of
    // the change alone is the difference to that of the revert.
    let change_and_back_us = cpu_us_per_run(runs, |index| {
        versions.push_change(ADDED_VERSIONS + index);
        versions.revert();
    })?;
    let each_kb = (all_kb - first_kb) / ADDED_VERSIONS as f64;
    Ok(json!({"size": size, "first_kb": first_kb - empty_kb, "each_kb": each_kb, "differing": differing,
        "differ_us": differ_us, "change_and_back_us": change_and_back_us}))
}
