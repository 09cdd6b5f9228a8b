//! Import of the output of scenarios (`--json`) as points of slopes. The size of a point is the number of methods and
//! tenants together, of members, of replicas, of connections of callers or of list entries.

use super::error::CapacityError;
use super::format::format_number;
use super::options::MeasuredBuild;
use super::outputs::size;
use super::slopes::Slopes;
use super::slopes_text::write_slopes;
use super::sources::{RowSource, SourceGroup, SOURCES};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Note of a row without figures, which an import clears.
const NOT_MEASURED_YET: &str = "not measured yet";

/// Value of a row in one output.
struct Measurement {
    value: f64,
    min: f64,
    max: f64,
    /// Whether the value was read from the fallback field.
    is_fallback: bool,
    /// First rule that the run broke.
    broken_rule: Option<String>,
}

impl SourceGroup {
    /// Reports whether an output belongs to the group.
    fn covers(&self, output: &Value) -> bool {
        let matches = |(field, value): &(&str, &str)| match &output[*field] {
            Value::String(text) => text == value,
            Value::Null => true,
            other => other.as_f64() == value.parse().ok(),
        };
        output["scenario"] == self.scenario && self.required_fields.iter().all(matches)
    }
}

/// Extracts the value of a row from an output, or returns `None` if the output has none.
fn measurement(
    output: &Value, group: &SourceGroup, source: &RowSource, build: MeasuredBuild,
) -> Option<Measurement> {
    if !group.covers(output) {
        return None;
    }
    // The output of a run that alternates with the previous build has the figures of that build under `other`.
    let in_other = build == MeasuredBuild::Before && output["other"].is_object();
    let figures = if in_other { &output["other"] } else { output };
    let subtrahend = match source.subtract {
        Some(field) => figures[field].as_f64()?,
        None => 0.0,
    };
    let is_fallback = figures[source.field].is_null();
    let field = if is_fallback { source.fallback? } else { source.field };
    let unit = if source.relative_to_other { output["other"][field].as_f64()? } else { source.unit };
    let in_units = |value: f64| (value - subtrahend) / unit;
    let value = in_units(figures[field].as_f64()?);
    let spreads = [&figures["spread"][field], &figures[format!("{field}_spread")], &figures["spread"]];
    let bound =
        |index: usize| spreads.iter().find_map(|spread| spread[index].as_f64()).map_or(value, in_units);
    let broken_rule = figures["broken"][0].as_str().map(str::to_string);
    Some(Measurement { value, min: bound(0), max: bound(1), is_fallback, broken_rule })
}

/// Returns the median of at least one value.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        (values[middle - 1] + values[middle]) / 2.0
    }
}

/// Measurements of one row by size.
type MeasurementsBySize = BTreeMap<u64, Vec<Measurement>>;

/// Describes the minimum and maximum at each size where they differ, fallback fields and broken rules.
fn spread_text(sizes: &MeasurementsBySize, source: &RowSource) -> String {
    let mut parts = Vec::new();
    for (size, measurements) in sizes {
        let min = measurements.iter().map(|measurement| measurement.min).fold(f64::INFINITY, f64::min);
        let max = measurements.iter().map(|measurement| measurement.max).fold(f64::NEG_INFINITY, f64::max);
        let size = format_number(*size as f64);
        if min < max {
            parts.push(format!("at {size} {} to {}", format_number(min), format_number(max)));
        }
        if let Some(fallback) =
            source.fallback.filter(|_| measurements.iter().any(|measurement| measurement.is_fallback))
        {
            parts.push(format!("at {size} `{fallback}`"));
        }
        if let Some(rule) = measurements.iter().find_map(|measurement| measurement.broken_rule.as_ref()) {
            parts.push(format!("at {size} a rule broke: {rule}"));
        }
    }
    if parts.is_empty() {
        "one run each".into()
    } else {
        parts.join("; ")
    }
}

/// Result of an import.
#[derive(Debug)]
pub(super) struct Imported {
    /// New text of `slopes.json`.
    pub(super) text: String,
    /// Ids of the rows that have new points.
    pub(super) rows: Vec<String>,
}

/// Adds the values of outputs as points to the slopes in `text`. Replaces points of the same size and keeps all others.
///
/// # Errors
/// The text is not valid, or the outputs have no value for any row.
pub(super) fn import_outputs(
    path: &Path, text: &str, outputs: &[Value], build: MeasuredBuild, commit: Option<&str>,
) -> Result<Imported, CapacityError> {
    let mut slopes = Slopes::parse(path, text)?;
    let mut rows = Vec::new();
    let sources = SOURCES.iter().flat_map(|group| group.rows.iter().map(move |source| (group, source)));
    for (group, source) in sources {
        let mut sizes = MeasurementsBySize::new();
        for output in outputs {
            let measurement = measurement(output, group, source, build);
            if let (Some(size), Some(measurement)) = (size(output), measurement) {
                sizes.entry(size).or_default().push(measurement);
            }
        }
        if !sizes.is_empty() && set_points(&mut slopes, source, sizes, build) {
            rows.push(source.row.to_string());
        }
    }
    let output_error = |reason: String| CapacityError::Output { path: path.into(), reason };
    if rows.is_empty() {
        return Err(output_error("found no field in the outputs from which a row is computed".into()));
    }
    if let Some(commit) = commit {
        let provenance = if build == MeasuredBuild::After {
            &mut slopes.provenance
        } else {
            &mut slopes.previous_provenance
        };
        provenance.commit = commit.into();
    }
    let text = write_slopes(&slopes).map_err(|error| output_error(error.to_string()))?;
    Slopes::parse(path, &text)?;
    Ok(Imported { text, rows })
}

/// Sets the points of a row. Returns whether the row exists.
fn set_points(
    slopes: &mut Slopes, source: &RowSource, sizes: MeasurementsBySize, build: MeasuredBuild,
) -> bool {
    let Some(slope) = slopes.slopes.iter_mut().find(|slope| slope.id == source.row) else { return false };
    let new_spread = spread_text(&sizes, source);
    let (points, old_spread) = match (build, &mut slope.previous) {
        (MeasuredBuild::Before, Some(previous)) => (&mut previous.points, &mut previous.spread),
        // A row without points of the previous build is the same in both builds.
        _ => {
            if slope.note == NOT_MEASURED_YET {
                slope.note.clear();
            }
            (&mut slope.points, &mut slope.spread)
        }
    };
    for (size, measurements) in sizes {
        let size = size as f64;
        let mut values: Vec<f64> = measurements.iter().map(|measurement| measurement.value).collect();
        points.retain(|(existing, _)| *existing != size);
        points.push((size, (median(&mut values) * 1e4).round() / 1e4));
    }
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    *old_spread = new_spread;
    true
}

#[cfg(test)]
#[path = "tests/import.rs"]
mod tests;
