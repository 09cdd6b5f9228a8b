//! Takes up what scenarios printed with `--json` as points of the rows; sizes are methods and tenants together, members,
//! callers.

use super::error::CapacityError;
use super::format::number;
use super::options::MeasuredBuild;
use super::outputs::size;
use super::slopes::Slopes;
use super::slopes_text::write_slopes;
use super::sources::{RowSource, SourceGroup, SOURCES};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// The note of a row whose figures are to come.
const NOT_MEASURED_YET: &str = "not measured yet";

/// What one output says of a row.
struct Measurement {
    value: f64,
    least: f64,
    most: f64,
    /// It is of the field that is taken instead.
    is_fallback: bool,
    /// A rule that the run broke.
    broken: Option<String>,
}

impl SourceGroup {
    fn covers(&self, output: &Value) -> bool {
        let is = |(field, value): &(&str, &str)| match &output[*field] {
            Value::String(text) => text == value,
            Value::Null => true,
            other => other.as_f64() == value.parse().ok(),
        };
        output["scenario"] == self.scenario && self.only.iter().all(is)
    }
}

fn measurement(
    output: &Value, group: &SourceGroup, source: &RowSource, build: MeasuredBuild,
) -> Option<Measurement> {
    if !group.covers(output) {
        return None;
    }
    // A run beside the build before holds its figures as `other`.
    let of_other = build == MeasuredBuild::Before && output["other"].is_object();
    let figures = if of_other { &output["other"] } else { output };
    let less = match source.less {
        Some(less) => figures[less].as_f64()?,
        None => 0.0,
    };
    let is_fallback = figures[source.field].is_null();
    let field = if is_fallback { source.fallback? } else { source.field };
    let unit = if source.over_other { output["other"][field].as_f64()? } else { source.unit };
    let in_units = |value: f64| (value - less) / unit;
    let value = in_units(figures[field].as_f64()?);
    let spreads = [&figures["spread"][field], &figures[format!("{field}_spread")], &figures["spread"]];
    let end = |n: usize| spreads.iter().find_map(|spread| spread[n].as_f64()).map_or(value, in_units);
    let broken = figures["broken"][0].as_str().map(str::to_string);
    Some(Measurement { value, least: end(0), most: end(1), is_fallback, broken })
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        (values[middle - 1] + values[middle]) / 2.0
    }
}

/// Measurements by size.
type BySize = BTreeMap<u64, Vec<Measurement>>;

/// Least and most at each size, where they differ.
fn spread(sizes: &BySize, source: &RowSource) -> String {
    let mut parts = Vec::new();
    for (size, all) in sizes {
        let least = all.iter().map(|one| one.least).fold(f64::INFINITY, f64::min);
        let most = all.iter().map(|one| one.most).fold(f64::NEG_INFINITY, f64::max);
        let size = number(*size as f64);
        if least < most {
            parts.push(format!("at {size} {} to {}", number(least), number(most)));
        }
        if let Some(fallback) = source.fallback.filter(|_| all.iter().any(|one| one.is_fallback)) {
            parts.push(format!("at {size} `{fallback}`"));
        }
        if let Some(rule) = all.iter().find_map(|one| one.broken.as_ref()) {
            parts.push(format!("at {size} a rule broke: {rule}"));
        }
    }
    if parts.is_empty() {
        "one run each".into()
    } else {
        parts.join("; ")
    }
}

/// The slopes with outputs taken up.
#[derive(Debug)]
pub(super) struct Taken {
    /// The file's text.
    pub(super) text: String,
    /// The rows that got points.
    pub(super) rows: Vec<String>,
}

/// Takes outputs up as points of the slopes whose text this is. Points of other sizes stay.
///
/// # Errors
/// The text is no slopes, or no row takes anything of the outputs.
pub(super) fn take(
    path: &Path, text: &str, outputs: &[Value], build: MeasuredBuild, commit: Option<&str>,
) -> Result<Taken, CapacityError> {
    let mut slopes = Slopes::parse(path, text)?;
    let mut rows = Vec::new();
    let sources = SOURCES.iter().flat_map(|group| group.rows.iter().map(move |source| (group, source)));
    for (group, source) in sources {
        let mut sizes = BySize::new();
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
        return Err(output_error("no row takes anything of these outputs".into()));
    }
    if let Some(commit) = commit {
        let provenance = if build == MeasuredBuild::After { &mut slopes.taken } else { &mut slopes.before };
        provenance.commit = commit.into();
    }
    let text = write_slopes(&slopes).map_err(|error| output_error(error.to_string()))?;
    Slopes::parse(path, &text)?;
    Ok(Taken { text, rows })
}

/// Sets the points of a row; whether there is such a row.
fn set_points(slopes: &mut Slopes, source: &RowSource, sizes: BySize, build: MeasuredBuild) -> bool {
    let Some(slope) = slopes.slopes.iter_mut().find(|slope| slope.id == source.row) else { return false };
    let new_spread = spread(&sizes, source);
    let (points, old_spread) = match (build, &mut slope.before) {
        (MeasuredBuild::Before, Some(before)) => (&mut before.points, &mut before.spread),
        // A row without a build before is the same in both.
        _ => {
            if slope.note == NOT_MEASURED_YET {
                slope.note.clear();
            }
            (&mut slope.points, &mut slope.spread)
        }
    };
    for (size, all) in sizes {
        let size = size as f64;
        let mut values: Vec<f64> = all.iter().map(|one| one.value).collect();
        points.retain(|(other, _)| *other != size);
        points.push((size, (median(&mut values) * 1e4).round() / 1e4));
    }
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    *old_spread = new_spread;
    true
}

#[cfg(test)]
#[path = "tests/take.rs"]
mod tests;
