//! Output of scenarios (`--json`).

use super::error::CapacityError;
use super::files::read;
use serde_json::Value;
use std::path::Path;

/// Reads the outputs in a file, which is a JSON object, an array of objects, or lines of which some are objects.
/// Outputs with several sizes are split into one for each size.
///
/// # Errors
/// The file cannot be read, or has no output with a size.
pub(super) fn read_outputs(path: &Path) -> Result<Vec<Value>, CapacityError> {
    let text = read(path)?;
    let found: Vec<Value> = match serde_json::from_str(&text) {
        Ok(Value::Array(array)) => array,
        Ok(value) => vec![value],
        Err(_) => text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
    };
    let outputs: Vec<_> =
        found.into_iter().flat_map(split_runs).filter(|output| size(output).is_some()).collect();
    if outputs.is_empty() {
        let reason = "found no object with methods and tenants, nodes, holders, connections or entries, \
             as printed by scale-* --json"
            .into();
        return Err(CapacityError::Output { path: path.into(), reason });
    }
    Ok(outputs)
}

/// Splits an output with several sizes into one output for each size, each with the figures of the other build at that
/// size. The output may be nested under `result`, next to the command that printed it.
fn split_runs(found: Value) -> Vec<Value> {
    let output = if found["result"].is_object() { &found["result"] } else { &found };
    let list = |name: &'static str| Some((name, output[name].as_array()?));
    let runs: Vec<_> = ["runs", "points", "lists"].into_iter().filter_map(list).collect();
    if runs.is_empty() {
        return vec![output.clone()];
    }
    let scenario = output["scenario"].as_str().unwrap_or_default();
    let split = |(list, index, run): (&str, usize, &Value)| {
        let mut run = run.clone();
        run["scenario"] = scenario.into();
        run["other"] = output["other"][list][index].clone();
        if list == "lists" {
            run["scenario"] = format!("{scenario}-lists").into();
            run["methods"] = Value::Null;
        }
        run
    };
    let runs = runs
        .into_iter()
        .flat_map(|(list, runs)| runs.iter().enumerate().map(move |(index, run)| (list, index, run)));
    runs.filter(|(_, _, run)| run.is_object()).map(split).collect()
}

/// Returns the size that an output was measured at: the number of methods and tenants together, members, replicas,
/// connections or list entries.
pub(super) fn size(output: &Value) -> Option<u64> {
    let methods_and_tenants = output["methods"]
        .as_u64()
        .zip(output["tenants"].as_u64())
        .map(|(methods, tenants)| methods + tenants);
    let fields = ["nodes", "holders", "connections", "entries"];
    methods_and_tenants.or_else(|| fields.iter().find_map(|name| output[*name].as_u64()))
}
