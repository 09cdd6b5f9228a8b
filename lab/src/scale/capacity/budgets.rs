//! `docs/capacity/budgets.json`: the fleet's sizes, how often things happen, what may be spent, and the page's lines.

use super::error::CapacityError;
use super::files::parse;
use super::slopes::{value_at, Basis, Line, Role, Slope, Slopes};
use serde::Deserialize;
use std::path::Path;

/// The format of the file.
pub const FORMAT: u64 = 1;

/// One of the fleet's sizes, which slopes are measured against.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// By which slopes name it.
    pub id: String,
    /// What it counts, in words.
    pub what: String,
    /// The fleet's.
    pub value: f64,
}

/// How often something happens: `value` times in `over` seconds.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// By which terms name it.
    pub id: String,
    /// What happens, in words.
    pub what: String,
    /// How often it happens in the time.
    pub value: f64,
    /// The time, in seconds.
    pub over: f64,
}

/// A limit.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// By which lines name it.
    pub id: String,
    /// What is limited, in words.
    pub what: String,
    /// The limit.
    pub most: f64,
    /// Its unit.
    pub unit: String,
    /// Who says so.
    pub from: String,
}

/// On what day.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Day {
    /// An ordinary day.
    #[serde(rename = "ordinary")]
    Ordinary,
    /// The worst minute.
    #[serde(rename = "worst")]
    Worst,
    /// A region is cut off.
    #[serde(rename = "cut")]
    Cut,
}

/// A figure at the fleet's size, as often as the rates say.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The slope's id.
    pub slope: String,
    /// Rates that it is multiplied by.
    #[serde(default)]
    pub times: Vec<String>,
    /// At another of the sizes than that of the slope's axis.
    #[serde(default)]
    pub at: Option<String>,
}

/// One line of the page.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Who spends it.
    pub role: Role,
    /// On what day.
    pub day: Day,
    /// Which worst minute: a zone back, a change of everything, ...
    #[serde(default)]
    pub when: String,
    /// state, messages, CPU, memory, descriptors, disk, time
    pub part: String,
    /// What is spent, in words.
    pub what: String,
    /// The figure's unit, where no budget has it.
    #[serde(default)]
    pub unit: String,
    /// What it is the sum of; empty where nothing was measured.
    #[serde(default)]
    pub terms: Vec<Term>,
    /// The same of the build before, where its way is another.
    #[serde(default)]
    pub before: Vec<Term>,
    /// The id of its budget.
    #[serde(default)]
    pub budget: Option<String>,
    /// In place of terms, where none is measured; what it is taken from has to be said.
    #[serde(default)]
    pub value: Option<f64>,
    /// What is taken for granted in it.
    #[serde(default)]
    pub assumed: Option<String>,
    /// What carries it, or that nothing does yet.
    pub carried: String,
}

/// A bound of our own that this size meets.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// What is bounded, in words.
    pub what: String,
    /// The file and the constant.
    pub place: String,
    /// The bound in the build before.
    pub before: f64,
    /// The bound now.
    pub bound: f64,
    /// Its unit.
    pub unit: String,
    /// At the fleet's size: a number, or that of a slope.
    #[serde(default)]
    pub needed: Option<f64>,
    /// Or the slope that says so.
    #[serde(default)]
    pub slope: Option<String>,
    /// What carries it, or that nothing does yet.
    pub carried: String,
}

/// What `budgets.json` says.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Budgets {
    format: u64,
    /// The fleet's sizes.
    pub sizes: Vec<Size>,
    /// How often things happen.
    pub rates: Vec<Rate>,
    /// What may be spent.
    pub budgets: Vec<Budget>,
    /// Bounds of the program.
    pub bounds: Vec<Bound>,
    /// The lines of the page.
    pub lines: Vec<Entry>,
}

/// What a line of the page says.
#[derive(Clone, PartialEq, Debug)]
pub struct Figure {
    /// In the line's unit.
    pub value: f64,
    /// Where it comes from.
    pub basis: Basis,
    /// Slopes without points: the value is that of the rest.
    pub missing: Vec<String>,
}

/// Which build a figure is of.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Build {
    /// This build.
    Now,
    /// The build before.
    Before,
}

impl Budgets {
    /// Reads the text of `path`; an error names the line whose names lead nowhere.
    pub fn parse(path: &Path, text: &str, slopes: &Slopes) -> Result<Budgets, CapacityError> {
        let all: Budgets = parse(path, text, FORMAT, |all: &Budgets| all.format)?;
        for slope in &slopes.slopes {
            let Some(axis) = &slope.axis else { continue };
            let wrong =
                |reason| CapacityError::Row { path: "slopes.json".into(), row: slope.id.clone(), reason };
            let named = || wrong(format!("no size in {} is called {axis:?}", path.display()));
            slope.check_sizes(all.size(axis).ok_or_else(named)?).map_err(wrong)?;
        }
        for line in &all.lines {
            let wrong = |reason| CapacityError::Row { path: path.into(), row: line.what.clone(), reason };
            for term in line.terms.iter().chain(&line.before) {
                if slopes.get(&term.slope).is_none() {
                    return Err(wrong(format!("no slope is called {:?}", term.slope)));
                }
                if let Some(rate) = term.times.iter().find(|rate| all.rate(rate).is_none()) {
                    return Err(wrong(format!("no rate is called {rate:?}")));
                }
            }
            let sizes = line.terms.iter().chain(&line.before).filter_map(|term| term.at.as_ref());
            if let Some(size) = sizes.into_iter().find(|size| all.size(size).is_none()) {
                return Err(wrong(format!("no size is called {size:?}")));
            }
            if let Some(budget) = line.budget.as_ref().filter(|budget| all.budget(budget).is_none()) {
                return Err(wrong(format!("no budget is called {budget:?}")));
            }
            if line.value.is_some() && (line.assumed.is_none() || !line.terms.is_empty()) {
                return Err(wrong("a value stands in place of terms, and says what is assumed".into()));
            }
            if line.carried.is_empty() {
                return Err(wrong("what carries it, or \"none: missing\"".into()));
            }
        }
        for bound in &all.bounds {
            let wrong = |reason| CapacityError::Row { path: path.into(), row: bound.what.clone(), reason };
            if let Some(slope) = bound.slope.as_ref().filter(|slope| slopes.get(slope).is_none()) {
                return Err(wrong(format!("no slope is called {slope:?}")));
            }
            if bound.needed.is_some() == bound.slope.is_some() {
                return Err(wrong("either a number that is needed, or a slope that says it".into()));
            }
        }
        Ok(all)
    }

    /// What is needed of a bound at the fleet's size.
    pub fn needed(&self, bound: &Bound, slopes: &Slopes) -> Option<f64> {
        let of = |slope: &String| Some(self.at(slopes.get(slope)?, Build::Now)?.0);
        bound.needed.or_else(|| bound.slope.as_ref().and_then(of))
    }
    /// One of the fleet's sizes.
    pub fn size(&self, id: &str) -> Option<f64> {
        self.sizes.iter().find(|size| size.id == id).map(|size| size.value)
    }
    fn rate(&self, id: &str) -> Option<f64> {
        self.rates.iter().find(|rate| rate.id == id).map(|rate| rate.value / rate.over)
    }
    /// A budget.
    pub fn budget(&self, id: &str) -> Option<&Budget> {
        self.budgets.iter().find(|budget| budget.id == id)
    }
    /// The slope at the fleet's size, of either build; none where that has no points.
    pub fn at(&self, slope: &Slope, build: Build) -> Option<(f64, Line)> {
        let size = slope.axis.as_ref().and_then(|axis| self.size(axis));
        self.at_size(slope, size, build)
    }
    /// Of the build before only what was measured at the very size, unless the row says that its line may be used: it
    /// may not do at all what that would say.
    fn at_size(&self, slope: &Slope, size: Option<f64>, build: Build) -> Option<(f64, Line)> {
        let points = match (build, &slope.before) {
            (Build::Before, Some(before)) => &before.points,
            _ => &slope.points,
        };
        let own = build == Build::Now || slope.before.as_ref().is_none_or(|before| before.line);
        match (size, points.last()) {
            (Some(size), _) => value_at(points, size).filter(|(_, line)| own || *line == Line::ReadOff),
            (None, Some((_, value))) => Some((*value, Line::ReadOff)),
            (None, None) => None,
        }
    }
    /// What a line says of either build; none where nothing was measured. A line that names nothing of the build before
    /// is the same there, if one of its slopes was measured with that build or none was touched.
    pub fn figure(&self, entry: &Entry, build: Build, slopes: &Slopes) -> Option<Figure> {
        if let Some(value) = entry.value {
            return Some(Figure { value, basis: Basis::Assumed, missing: Vec::new() });
        }
        let terms = match build {
            Build::Before if !entry.before.is_empty() => &entry.before,
            _ => &entry.terms,
        };
        let mut sum = Figure { value: 0.0, basis: Basis::Measured, missing: Vec::new() };
        for term in terms {
            let slope = slopes.get(&term.slope)?;
            let size = term.at.as_ref().or(slope.axis.as_ref()).and_then(|id| self.size(id));
            let Some((value, line)) = self.at_size(slope, size, build) else {
                sum.missing.push(term.slope.clone());
                continue;
            };
            let times: f64 = term.times.iter().filter_map(|rate| self.rate(rate)).product();
            sum.value += value * times;
            let plain = terms.len() == 1 && term.times.is_empty() && line == Line::ReadOff;
            let basis = if plain { slope.basis } else { slope.basis.max(Basis::WorkedOut) };
            sum.basis = sum.basis.max(basis);
        }
        if entry.assumed.is_some() {
            sum.basis = Basis::Assumed;
        }
        (sum.missing.len() < terms.len()).then_some(sum)
    }
}
