//! `docs/capacity/slopes.json`: figures measured at several sizes, and the line through them.

use super::error::CapacityError;
use super::files::parse;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;

/// The format of the file.
pub const FORMAT: u64 = 1;
/// Points lie on a line if none is off it by more than this share of the greatest.
pub const WITHIN: f64 = 0.1;
/// Sizes that a measured slope has at least.
pub const SIZES: usize = 4;

/// Who spends it.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A backend.
    Backend,
    /// A voter, where it is more than a backend.
    Keeper,
    /// The operators' tool.
    Tool,
    /// A caller.
    Caller,
}

/// Where a figure comes from, the surest first.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Basis {
    /// Measured.
    #[serde(rename = "measured")]
    Measured,
    /// Worked out of figures that were measured.
    #[serde(rename = "worked out")]
    WorkedOut,
    /// Assumed.
    #[serde(rename = "assumed")]
    Assumed,
}

impl Basis {
    /// What it is called on the page.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::WorkedOut => "worked out",
            Basis::Assumed => "assumed",
        }
    }
}

/// When, on what machine and with what build figures were measured.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Provenance {
    /// The date.
    pub date: String,
    /// The machine, in words.
    pub machine: String,
    /// Its cores.
    pub cores: u64,
    /// The commit of the build.
    pub commit: String,
}

/// The same figure of the build before.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Before {
    /// Size and value.
    pub points: Vec<(f64, f64)>,
    /// Least and most, in words.
    pub spread: String,
    /// Whether a line may be drawn through them: it does at all sizes what it does at these.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub line: bool,
    /// Where it differs from the file's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub taken: Option<Provenance>,
}

/// One row: a figure against a size.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// By which terms name it.
    pub id: String,
    /// Who spends it.
    pub role: Role,
    /// The part of the program: configuration, members, lists, ...
    pub part: String,
    /// What is spent, in words.
    pub what: String,
    /// The values' unit.
    pub unit: String,
    /// Which of the sizes in `budgets.json` the points are over; none for what grows with nothing that was tried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub axis: Option<String>,
    /// Where the values come from.
    pub basis: Basis,
    /// What measures them.
    pub command: String,
    /// Size and value; empty while it is not measured.
    pub points: Vec<(f64, f64)>,
    /// Least and most, in words.
    pub spread: String,
    /// What else is to be said.
    pub note: String,
    /// Where it differs from the file's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub taken: Option<Provenance>,
    /// The same of the build before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Before>,
}

/// What `slopes.json` says.
#[derive(Clone, PartialEq, Debug)]
pub struct Slopes {
    /// When and where figures were measured, unless a row says otherwise.
    pub taken: Provenance,
    /// Of the figures of the build before.
    pub before: Provenance,
    /// The rows.
    pub slopes: Vec<Slope>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    format: u64,
    taken: Provenance,
    before: Provenance,
    slopes: Vec<Value>,
}

impl Slopes {
    /// Reads the text of `path`; an error names the row at fault.
    pub fn parse(path: &Path, text: &str) -> Result<Slopes, CapacityError> {
        let raw: Raw = parse(path, text, FORMAT, |raw: &Raw| raw.format)?;
        let mut ids = BTreeSet::new();
        let mut slopes = Vec::new();
        for (n, value) in raw.slopes.into_iter().enumerate() {
            let row = match value["id"].as_str() {
                Some(id) => id.to_string(),
                None => format!("number {}", n + 1),
            };
            let wrong = |reason: String| CapacityError::Row { path: path.into(), row: row.clone(), reason };
            let slope: Slope = serde_json::from_value(value).map_err(|error| wrong(error.to_string()))?;
            slope.check().map_err(wrong)?;
            if !ids.insert(slope.id.clone()) {
                return Err(wrong("there is another with this id".into()));
            }
            slopes.push(slope);
        }
        Ok(Slopes { taken: raw.taken, before: raw.before, slopes })
    }

    /// A row.
    pub fn get(&self, id: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.id == id)
    }
}

impl Slope {
    /// A line wants sizes enough; a figure that is read off wants the one.
    ///
    /// # Errors
    /// Says how many there are.
    pub fn check_sizes(&self, full: f64) -> Result<(), String> {
        let (sizes, there) = (self.points.len(), self.points.iter().any(|(size, _)| *size == full));
        if self.basis == Basis::Measured && (1..SIZES).contains(&sizes) && !there {
            return Err(format!("points: {sizes} sizes, {SIZES} at least, or one of {full}"));
        }
        Ok(())
    }
    fn check(&self) -> Result<(), String> {
        check_points("points", &self.points)?;
        if let Some(before) = &self.before {
            check_points("before.points", &before.points)?;
            if before.line && before.points.len() < SIZES {
                return Err(format!("before.points: a line wants {SIZES} sizes"));
            }
        }
        if self.basis == Basis::Measured && !self.points.is_empty() && self.command.is_empty() {
            return Err("measured, but by what command is not said".into());
        }
        if (self.basis == Basis::Assumed || self.points.is_empty()) && self.note.is_empty() {
            return Err("the note has to say why it is not measured".into());
        }
        Ok(())
    }
}

fn check_points(name: &str, points: &[(f64, f64)]) -> Result<(), String> {
    if points.iter().any(|(size, value)| !(size.is_finite() && value.is_finite() && *size >= 0.0)) {
        return Err(format!("{name}: a size under zero, or what is no number"));
    }
    if points.windows(2).any(|two| two[0].0 >= two[1].0) {
        return Err(format!("{name}: sizes have to grow"));
    }
    Ok(())
}

/// What carries a figure from the sizes that were measured to that of the fleet.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Line {
    /// Measured at this very size.
    ReadOff,
    /// `a + b size` by least squares; no point is off it by more than `off` of the greatest.
    Fit { a: f64, b: f64, off: f64 },
    /// The points do not lie on a line (`off` of the greatest): the two whose line says the most.
    Pair { from: f64, to: f64, b: f64, off: f64 },
    /// There is one point.
    Only,
}

/// The value at `size`, and how it was come by; none without points.
pub fn value_at(points: &[(f64, f64)], size: f64) -> Option<(f64, Line)> {
    if let Some((_, value)) = points.iter().find(|(measured, _)| *measured == size) {
        return Some((*value, Line::ReadOff));
    }
    if points.len() < 2 {
        return points.first().map(|(_, value)| (*value, Line::Only));
    }
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let over: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
    let b = over / points.iter().map(|point| (point.0 - x) * (point.0 - x)).sum::<f64>();
    let a = y - b * x;
    let greatest = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let off = points.iter().map(|point| (point.1 - a - b * point.0).abs() / greatest).fold(0.0, f64::max);
    if off <= WITHIN {
        return Some((a + b * size, Line::Fit { a, b, off }));
    }
    let pairs = points.iter().enumerate().flat_map(|(n, p)| points[n + 1..].iter().map(move |q| (p, q)));
    let said = pairs.map(|(p, q)| {
        let b = (q.1 - p.1) / (q.0 - p.0);
        (p.1 + b * (size - p.0), Line::Pair { from: p.0, to: q.0, b, off })
    });
    said.max_by(|one, other| one.0.total_cmp(&other.0))
}
