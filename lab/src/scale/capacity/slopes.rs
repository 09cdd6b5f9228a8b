//! Figures measured at several sizes (`docs/capacity/slopes.json`), and their extrapolation to the size of the fleet.

use super::error::CapacityError;
use super::files::parse;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// Format version of the file.
pub const FORMAT: u64 = 1;
/// Maximum deviation of any point from the line fitted through all points, relative to the greatest value. Beyond it,
/// the points do not count as linear.
pub const MAX_LINE_DEVIATION: f64 = 0.1;
/// Minimum number of sizes of a measured slope that has no point at the size of the fleet.
pub const MIN_SIZES: usize = 4;

/// Role whose resources a figure counts.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Backend.
    Backend,
    /// Voter, where it uses more than a backend.
    #[serde(rename = "keeper")]
    Voter,
    /// Command-line tool of the operators.
    Tool,
    /// Caller.
    Caller,
}

/// Origin of a figure, the most reliable first.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Basis {
    /// Figure that was measured.
    #[serde(rename = "measured")]
    Measured,
    /// Figure that was derived from measured figures.
    #[serde(rename = "worked out")]
    Derived,
    /// Figure that is an assumption.
    #[serde(rename = "assumed")]
    Assumed,
}

impl Basis {
    /// Returns the name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Derived => "worked out",
            Basis::Assumed => "assumed",
        }
    }
}

/// Date, machine and build with which figures were measured.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Provenance {
    /// Date of the measurement.
    pub date: String,
    /// Description of the machine.
    pub machine: String,
    /// Number of cores of the machine.
    pub cores: u64,
    /// Commit of the build.
    pub commit: String,
}

/// Figure of a slope, measured with the previous build.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct PreviousFigure {
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Description of the minima and maxima.
    pub spread: String,
    /// Whether the points may be extrapolated, because the build behaves the same at all sizes.
    #[serde(rename = "line", default, skip_serializing_if = "std::ops::Not::not")]
    pub extrapolate: bool,
    /// Provenance of the points, if it is not that of the file.
    #[serde(rename = "taken", default, skip_serializing_if = "Option::is_none")]
    pub provenance: Option<Provenance>,
}

/// Row of the file: a figure measured against a size.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Id by which terms refer to the slope.
    pub id: String,
    /// Role whose resources are counted.
    pub role: Role,
    /// Part of the program, such as configuration, members or lists.
    pub part: String,
    /// Description of the resource.
    #[serde(rename = "what")]
    pub description: String,
    /// Unit of the values.
    pub unit: String,
    /// Id of the size in `budgets.json` against which the points were measured. `None` if the figure did not grow with
    /// any size that was tried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub axis: Option<String>,
    /// Origin of the values.
    pub basis: Basis,
    /// Command that measures the values.
    pub command: String,
    /// Pairs of size and value. Empty until the figure is measured.
    pub points: Vec<(f64, f64)>,
    /// Description of the minima and maxima.
    pub spread: String,
    /// Remarks.
    pub note: String,
    /// Provenance of the points, if it is not that of the file.
    #[serde(rename = "taken", default, skip_serializing_if = "Option::is_none")]
    pub provenance: Option<Provenance>,
    /// Figure of the previous build.
    #[serde(rename = "before", default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<PreviousFigure>,
}

/// Contents of `slopes.json`.
#[derive(Clone, PartialEq, Debug)]
pub struct Slopes {
    /// Provenance of the figures, unless a row has its own.
    pub provenance: Provenance,
    /// Provenance of the figures of the previous build, unless a row has its own.
    pub previous_provenance: Provenance,
    /// Rows of the file.
    pub slopes: Vec<Slope>,
}

/// File before the validation of its rows.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSlopes {
    format: u64,
    #[serde(rename = "taken")]
    provenance: Provenance,
    #[serde(rename = "before")]
    previous_provenance: Provenance,
    slopes: Vec<Value>,
}

impl Slopes {
    /// Parses the text of the file `path`.
    ///
    /// # Errors
    /// The text is invalid. The error names the row.
    pub fn parse(path: &Path, text: &str) -> Result<Slopes, CapacityError> {
        let raw: RawSlopes = parse(path, text, FORMAT, |raw: &RawSlopes| raw.format)?;
        let mut ids = BTreeSet::new();
        let mut slopes = Vec::new();
        for (index, value) in raw.slopes.into_iter().enumerate() {
            let row = match value["id"].as_str() {
                Some(id) => id.to_string(),
                None => format!("number {}", index + 1),
            };
            let row_error =
                |reason: String| CapacityError::Row { path: path.into(), row: row.clone(), reason };
            let slope: Slope = serde_json::from_value(value).map_err(|error| row_error(error.to_string()))?;
            slope.check().map_err(row_error)?;
            if !ids.insert(slope.id.clone()) {
                return Err(row_error(format!("duplicate id {:?}", slope.id)));
            }
            slopes.push(slope);
        }
        Ok(Slopes { provenance: raw.provenance, previous_provenance: raw.previous_provenance, slopes })
    }

    /// Returns the slope with an id.
    pub fn get(&self, id: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.id == id)
    }
}

impl Slope {
    /// Checks that a measured slope has a point at the size of the fleet, or enough sizes to extrapolate to it.
    ///
    /// # Errors
    /// The slope has too few sizes. The error says how many.
    pub fn check_sizes(&self, fleet_size: f64) -> Result<(), String> {
        let (sizes, at_fleet_size) =
            (self.points.len(), self.points.iter().any(|(size, _)| *size == fleet_size));
        if self.basis == Basis::Measured && (1..MIN_SIZES).contains(&sizes) && !at_fleet_size {
            return Err(format!(
                "points: found {sizes} sizes, expected at least {MIN_SIZES}, or one of {fleet_size}"
            ));
        }
        Ok(())
    }
    fn check(&self) -> Result<(), String> {
        check_points("points", &self.points)?;
        if let Some(previous) = &self.previous {
            check_points("before.points", &previous.points)?;
            let sizes = previous.points.len();
            if previous.extrapolate && sizes < MIN_SIZES {
                return Err(format!(
                    "before.points: found {sizes} sizes, expected at least {MIN_SIZES} with before.line"
                ));
            }
        }
        if self.basis == Basis::Measured && !self.points.is_empty() && self.command.is_empty() {
            return Err("empty command, expected the one that measures the points".into());
        }
        if (self.basis == Basis::Assumed || self.points.is_empty()) && self.note.is_empty() {
            return Err("empty note, expected the reason why the figure is not measured".into());
        }
        Ok(())
    }
}

fn check_points(name: &str, points: &[(f64, f64)]) -> Result<(), String> {
    if points.iter().any(|(size, value)| !(size.is_finite() && value.is_finite() && *size >= 0.0)) {
        return Err(format!("{name}: found a negative size or a value that is not finite"));
    }
    if points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
        return Err(format!("{name}: sizes are not in ascending order"));
    }
    Ok(())
}

/// Method by which a figure at one size was obtained from those at the measured sizes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Extrapolation {
    /// Measured at this size, without extrapolation.
    Exact,
    /// Least-squares line `intercept + slope * size`. No point deviates from it by more than `deviation`, relative to
    /// the greatest value.
    Linear { intercept: f64, slope: f64, deviation: f64 },
    /// Line through the pair of points that yields the greatest value, because the points deviate from the
    /// least-squares line by up to `deviation`, relative to the greatest value.
    WorstPair { from: f64, to: f64, slope: f64, deviation: f64 },
    /// Value of the only point.
    SinglePoint,
}

/// Returns the value at `size` and how it was obtained, or `None` without points.
pub fn value_at(points: &[(f64, f64)], size: f64) -> Option<(f64, Extrapolation)> {
    if let Some((_, value)) = points.iter().find(|(measured, _)| *measured == size) {
        return Some((*value, Extrapolation::Exact));
    }
    if points.len() < 2 {
        return points.first().map(|(_, value)| (*value, Extrapolation::SinglePoint));
    }
    let count = points.len() as f64;
    let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = sum_xy / points.iter().map(|point| (point.0 - mean_x) * (point.0 - mean_x)).sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let greatest = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let deviations = points.iter().map(|point| (point.1 - intercept - slope * point.0).abs() / greatest);
    let deviation = deviations.fold(0.0, f64::max);
    if deviation <= MAX_LINE_DEVIATION {
        return Some((intercept + slope * size, Extrapolation::Linear { intercept, slope, deviation }));
    }
    let pairs =
        points.iter().enumerate().flat_map(|(index, p)| points[index + 1..].iter().map(move |q| (p, q)));
    let estimates = pairs.map(|(p, q)| {
        let slope = (q.1 - p.1) / (q.0 - p.0);
        let how = Extrapolation::WorstPair { from: p.0, to: q.0, slope, deviation };
        (p.1 + slope * (size - p.0), how)
    });
    estimates.max_by(|one, other| one.0.total_cmp(&other.0))
}
