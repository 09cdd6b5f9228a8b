//! Memory of versions, and CPU of a change, of a comparison and of going back.

use super::versions::Versions;
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::ScenarioError;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::{json, Value};
use std::hint::black_box;

const VERSIONS: usize = 20;
const TURNS: usize = 5;

/// The median of some turns, in microseconds of CPU for one of so many runs.
fn cpu_us(times: usize, mut run: impl FnMut(usize)) -> Result<f64, ScenarioError> {
    let used = || -> Result<f64, ScenarioError> {
        let used = getrusage(UsageWho::RUSAGE_SELF)?;
        Ok((used.user_time() + used.system_time()).num_microseconds() as f64)
    };
    let mut turns = Vec::new();
    for turn in 0..TURNS {
        let before = used()?;
        (0..times).for_each(|n| run(turn * times + n));
        turns.push((used()? - before) / times as f64);
    }
    turns.sort_by(f64::total_cmp);
    Ok(turns[TURNS / 2])
}

/// Memory and CPU of a form with so many entries.
pub(super) fn measure<V: Versions>(size: usize) -> Result<Value, ScenarioError> {
    let empty = resident_kb(OWN_PROCESS);
    let mut versions = V::new(size);
    let first = resident_kb(OWN_PROCESS);
    (0..VERSIONS).for_each(|n| versions.next(n));
    let all = resident_kb(OWN_PROCESS);
    let differing = versions.differing();
    let times = (2_000_000 / size).clamp(5, 2_000);
    let differ = cpu_us(times, |_| {
        black_box(versions.differing());
    })?;
    // A change and the way back together, as memory would grow else; then the change alone is the difference to the way back.
    let both = cpu_us(times, |n| {
        versions.next(VERSIONS + n);
        versions.back();
    })?;
    Ok(json!({"size": size, "first_kb": first - empty, "each_kb": (all - first) / VERSIONS as f64,
        "differing": differing, "differ_us": differ, "change_and_back_us": both}))
}
