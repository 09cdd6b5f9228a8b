//! What scenarios print with `--json`.

use super::error::CapacityError;
use super::files::read;
use serde_json::Value;
use std::path::Path;

/// Reads the objects that a file holds: one, a list of them, or lines of which some are objects, as scenarios print them.
pub(super) fn read_outputs(path: &Path) -> Result<Vec<Value>, CapacityError> {
    let text = read(path)?;
    let found: Vec<Value> = match serde_json::from_str(&text) {
        Ok(Value::Array(all)) => all,
        Ok(one) => vec![one],
        Err(_) => text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
    };
    let all: Vec<_> =
        found.into_iter().flat_map(split_runs).filter(|output| size(output).is_some()).collect();
    if all.is_empty() {
        let reason =
            "no object with methods and tenants, nodes, holders or connections, as scale-* --json print them"
                .into();
        return Err(CapacityError::Output { path: path.into(), reason });
    }
    Ok(all)
}

/// An output may stand beside the command that it is of, and hold one for each size, with that of the build beside it.
fn split_runs(found: Value) -> Vec<Value> {
    let output = if found["result"].is_object() { &found["result"] } else { &found };
    let list = |name: &'static str| Some((name, output[name].as_array()?));
    let runs: Vec<_> = ["runs", "points", "lists"].into_iter().filter_map(list).collect();
    if runs.is_empty() {
        return vec![output.clone()];
    }
    let scenario = output["scenario"].as_str().unwrap_or_default();
    let one = |(list, place, run): (&str, usize, &Value)| {
        let mut run = run.clone();
        run["scenario"] = scenario.into();
        run["other"] = output["other"][list][place].clone();
        if list == "lists" {
            run["scenario"] = format!("{scenario}-lists").into();
            run["methods"] = Value::Null;
        }
        run
    };
    let all =
        runs.into_iter().flat_map(|(list, runs)| runs.iter().enumerate().map(move |(n, run)| (list, n, run)));
    all.filter(|(_, _, run)| run.is_object()).map(one).collect()
}

/// The size that an output was measured at: methods and tenants together, members, replicas, connections or entries.
pub(super) fn size(output: &Value) -> Option<u64> {
    let both = output["methods"].as_u64().zip(output["tenants"].as_u64()).map(|(one, other)| one + other);
    let one = ["nodes", "holders", "connections", "entries"];
    both.or_else(|| one.iter().find_map(|name| output[*name].as_u64()))
}
