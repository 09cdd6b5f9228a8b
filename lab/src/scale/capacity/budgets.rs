//! Sizes of the fleet, event rates, resource budgets and the lines of the page (`docs/capacity/budgets.json`).

use super::error::CapacityError;
use super::files::parse;
use super::slopes::{value_at, Basis, Extrapolation, Role, Slope, Slopes};
use serde::Deserialize;
use std::path::Path;

/// Format version of the file.
pub const FORMAT: u64 = 1;

/// Size of the fleet against which slopes are measured.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Id by which slopes refer to the size.
    pub id: String,
    /// Description of what is counted.
    #[serde(rename = "what")]
    pub description: String,
    /// Value for the fleet.
    pub value: f64,
}

/// Frequency of an event.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Id by which terms refer to the rate.
    pub id: String,
    /// Description of the event.
    #[serde(rename = "what")]
    pub description: String,
    /// Number of events in the period.
    #[serde(rename = "value")]
    pub count: f64,
    /// Period in seconds.
    #[serde(rename = "over")]
    pub period_s: f64,
}

/// Budget of a resource.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Id by which lines refer to the budget.
    pub id: String,
    /// Description of the resource.
    #[serde(rename = "what")]
    pub description: String,
    /// Maximum value.
    #[serde(rename = "most")]
    pub limit: f64,
    /// Unit of the maximum value.
    pub unit: String,
    /// Source of the budget.
    #[serde(rename = "from")]
    pub source: String,
}

/// Situation that a line of the page covers.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LoadCase {
    /// Ordinary operation.
    #[serde(rename = "ordinary")]
    Ordinary,
    /// Minute with the highest load.
    #[serde(rename = "worst")]
    Worst,
    /// Loss of the network connection to a region.
    #[serde(rename = "cut")]
    Cut,
}

/// Figure of a slope at the size of the fleet, multiplied by rates.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// Id of the slope.
    pub slope: String,
    /// Ids of the rates by which the figure is multiplied.
    #[serde(rename = "times", default)]
    pub rates: Vec<String>,
    /// Id of the size, if it is not the axis of the slope.
    #[serde(rename = "at", default)]
    pub size: Option<String>,
}

/// Line of the page.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct BudgetLine {
    /// Role whose resources are counted.
    pub role: Role,
    /// Situation that the line covers.
    #[serde(rename = "day")]
    pub load_case: LoadCase,
    /// Event that causes the situation, such as the return of a zone or a change of every entry.
    #[serde(rename = "when", default)]
    pub event: String,
    /// Kind of resource: state, messages, CPU, memory, descriptors, disk or time.
    pub part: String,
    /// Description of the resource.
    #[serde(rename = "what")]
    pub description: String,
    /// Unit of the figure, if the line has no budget.
    #[serde(default)]
    pub unit: String,
    /// Terms whose sum is the figure. Empty if nothing was measured.
    #[serde(default)]
    pub terms: Vec<Term>,
    /// Terms for the previous build, if they differ.
    #[serde(rename = "before", default)]
    pub previous_terms: Vec<Term>,
    /// Id of the budget.
    #[serde(default)]
    pub budget: Option<String>,
    /// Assumed value in place of terms, if none is measured. Requires `assumed`.
    #[serde(default)]
    pub value: Option<f64>,
    /// Assumption that the figure depends on.
    #[serde(rename = "assumed", default)]
    pub assumption: Option<String>,
    /// Mechanism that keeps the figure within the budget, or a statement that there is none yet.
    #[serde(rename = "carried")]
    pub carried_by: String,
}

/// Bound in the program that limits the size of the fleet.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Description of what is bounded.
    #[serde(rename = "what")]
    pub description: String,
    /// File and constant that define the bound.
    #[serde(rename = "place")]
    pub location: String,
    /// Bound in the previous build.
    #[serde(rename = "before")]
    pub previous_bound: f64,
    /// Bound in the current build.
    pub bound: f64,
    /// Unit of the bound.
    pub unit: String,
    /// Value that is needed at the size of the fleet. Must not be set together with `slope`.
    #[serde(default)]
    pub needed: Option<f64>,
    /// Id of the slope that gives the needed value. Must not be set together with `needed`.
    #[serde(default)]
    pub slope: Option<String>,
    /// Mechanism that handles the needed value, or a statement that there is none yet.
    #[serde(rename = "carried")]
    pub carried_by: String,
}

/// Contents of `budgets.json`.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    format: u64,
    /// Sizes of the fleet.
    pub sizes: Vec<Size>,
    /// Event rates.
    pub rates: Vec<Rate>,
    /// Resource budgets.
    pub budgets: Vec<Budget>,
    /// Bounds of the program.
    pub bounds: Vec<Bound>,
    /// Lines of the page.
    pub lines: Vec<BudgetLine>,
}

/// Figure of a line of the page.
#[derive(Clone, PartialEq, Debug)]
pub struct Figure {
    /// Value in the unit of the line.
    pub value: f64,
    /// Origin of the value.
    pub basis: Basis,
    /// Ids of the slopes without points, which the value does not include.
    pub missing_slopes: Vec<String>,
}

/// Build with which a figure was measured.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Build {
    /// Current build.
    Current,
    /// Previous build, for comparison.
    Previous,
}

impl Budgets {
    /// Parses the text of the file `path`.
    ///
    /// # Errors
    /// The text is invalid, or a line refers to an id that does not exist. The error names the line.
    pub fn parse(path: &Path, text: &str, slopes: &Slopes) -> Result<Budgets, CapacityError> {
        let budgets: Budgets = parse(path, text, FORMAT, |budgets: &Budgets| budgets.format)?;
        for slope in &slopes.slopes {
            let Some(axis) = &slope.axis else { continue };
            let row_error =
                |reason| CapacityError::Row { path: "slopes.json".into(), row: slope.id.clone(), reason };
            let unknown_axis = || row_error(format!("axis {axis:?} is not a size in {}", path.display()));
            slope.check_sizes(budgets.size(axis).ok_or_else(unknown_axis)?).map_err(row_error)?;
        }
        for line in &budgets.lines {
            let row_error =
                |reason| CapacityError::Row { path: path.into(), row: line.description.clone(), reason };
            for term in line.terms.iter().chain(&line.previous_terms) {
                if slopes.get(&term.slope).is_none() {
                    return Err(row_error(format!("unknown slope {:?}", term.slope)));
                }
                if let Some(rate) = term.rates.iter().find(|rate| budgets.rate(rate).is_none()) {
                    return Err(row_error(format!("unknown rate {rate:?}")));
                }
            }
            let sizes = line.terms.iter().chain(&line.previous_terms).filter_map(|term| term.size.as_ref());
            if let Some(size) = sizes.into_iter().find(|size| budgets.size(size).is_none()) {
                return Err(row_error(format!("unknown size {size:?}")));
            }
            if let Some(budget) = line.budget.as_ref().filter(|budget| budgets.budget(budget).is_none()) {
                return Err(row_error(format!("unknown budget {budget:?}")));
            }
            if line.value.is_some() && (line.assumption.is_none() || !line.terms.is_empty()) {
                return Err(row_error("found value without assumed, or together with terms".into()));
            }
            if line.carried_by.is_empty() {
                return Err(row_error("empty carried, expected the mechanism or \"none: missing\"".into()));
            }
        }
        for bound in &budgets.bounds {
            let row_error =
                |reason| CapacityError::Row { path: path.into(), row: bound.description.clone(), reason };
            if let Some(slope) = bound.slope.as_ref().filter(|slope| slopes.get(slope).is_none()) {
                return Err(row_error(format!("unknown slope {slope:?}")));
            }
            if bound.needed.is_some() == bound.slope.is_some() {
                return Err(row_error("expected exactly one of needed and slope".into()));
            }
        }
        Ok(budgets)
    }

    /// Returns the value that a bound needs at the size of the fleet.
    pub fn needed(&self, bound: &Bound, slopes: &Slopes) -> Option<f64> {
        let value_of = |slope: &String| Some(self.value_at_fleet_size(slopes.get(slope)?, Build::Current)?.0);
        bound.needed.or_else(|| bound.slope.as_ref().and_then(value_of))
    }
    /// Returns a size of the fleet.
    pub fn size(&self, id: &str) -> Option<f64> {
        self.sizes.iter().find(|size| size.id == id).map(|size| size.value)
    }
    /// Returns a rate in events per second.
    fn rate(&self, id: &str) -> Option<f64> {
        self.rates.iter().find(|rate| rate.id == id).map(|rate| rate.count / rate.period_s)
    }
    /// Returns a budget.
    pub fn budget(&self, id: &str) -> Option<&Budget> {
        self.budgets.iter().find(|budget| budget.id == id)
    }
    /// Returns the value of a slope at the size of the fleet, or `None` if it has no points of that build.
    pub fn value_at_fleet_size(&self, slope: &Slope, build: Build) -> Option<(f64, Extrapolation)> {
        let size = slope.axis.as_ref().and_then(|axis| self.size(axis));
        self.value_at_size(slope, size, build)
    }
    /// Returns the value of a slope at a size. For the previous build, only a value measured at this size is used
    /// unless its points may be extrapolated, because that build may not work at all at a size that was not measured.
    fn value_at_size(&self, slope: &Slope, size: Option<f64>, build: Build) -> Option<(f64, Extrapolation)> {
        let points = match (build, &slope.previous) {
            (Build::Previous, Some(previous)) => &previous.points,
            _ => &slope.points,
        };
        let may_extrapolate =
            build == Build::Current || slope.previous.as_ref().is_none_or(|previous| previous.extrapolate);
        match (size, points.last()) {
            (Some(size), _) => {
                value_at(points, size).filter(|(_, how)| may_extrapolate || *how == Extrapolation::Exact)
            }
            (None, Some((_, value))) => Some((*value, Extrapolation::Exact)),
            (None, None) => None,
        }
    }
    /// Returns the figure of a line, or `None` if nothing was measured. For the previous build, a line without
    /// terms of its own uses those of the current build, and so does a slope without points of its own.
    pub fn figure(&self, line: &BudgetLine, build: Build, slopes: &Slopes) -> Option<Figure> {
        if let Some(value) = line.value {
            return Some(Figure { value, basis: Basis::Assumed, missing_slopes: Vec::new() });
        }
        let terms = match build {
            Build::Previous if !line.previous_terms.is_empty() => &line.previous_terms,
            _ => &line.terms,
        };
        let mut sum = Figure { value: 0.0, basis: Basis::Measured, missing_slopes: Vec::new() };
        for term in terms {
            let slope = slopes.get(&term.slope)?;
            let size = term.size.as_ref().or(slope.axis.as_ref()).and_then(|id| self.size(id));
            let Some((value, how)) = self.value_at_size(slope, size, build) else {
                sum.missing_slopes.push(term.slope.clone());
                continue;
            };
            let rate: f64 = term.rates.iter().filter_map(|rate| self.rate(rate)).product();
            sum.value += value * rate;
            let unchanged = terms.len() == 1 && term.rates.is_empty() && how == Extrapolation::Exact;
            let basis = if unchanged { slope.basis } else { slope.basis.max(Basis::Derived) };
            sum.basis = sum.basis.max(basis);
        }
        if line.assumption.is_some() {
            sum.basis = Basis::Assumed;
        }
        (sum.missing_slopes.len() < terms.len()).then_some(sum)
    }
}
