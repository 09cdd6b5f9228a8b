//! Takes up measurements, and writes or checks the page.

use super::error::CapacityError;
use super::files::read;
use super::options::CapacityOptions;
use super::over_budget::count_over_budget;
use super::pages::{differing, work_out};
use super::{outputs, take};
use crate::report::{Report, ScenarioError};

/// Does what the options say.
pub fn scenario(report: &mut Report, options: &CapacityOptions) -> Result<(), ScenarioError> {
    if let Some(build) = options.as_build.filter(|_| !options.take.is_empty()) {
        let path = options.docs.join("capacity/slopes.json");
        let text = read(&path)?;
        let all = options.take.iter().map(|path| outputs::read_outputs(path));
        let all = all.collect::<Result<Vec<_>, _>>()?.concat();
        let taken = take::take(&path, &text, &all, build, options.commit.as_deref())?;
        std::fs::write(&path, taken.text)?;
        report.set("taken", taken.rows.into());
    }
    let pages = work_out(&options.docs)?;
    let differing = differing(&pages);
    report.set("slopes", pages.slopes.slopes.len().into());
    report.set("over_budget", count_over_budget(&pages.slopes, &pages.budgets).into());
    let names: Vec<_> = differing.iter().map(|path| path.display().to_string()).collect();
    if options.check {
        let broken = format!("page and slopes disagree: {}; run asterrill-lab capacity", names.join(", "));
        report.rule(&broken, names.is_empty());
    } else {
        for (path, text) in &pages.files {
            std::fs::write(path, text).map_err(|error| CapacityError::File { path: path.clone(), error })?;
        }
    }
    report.set(if options.check { "differing" } else { "written" }, names.into());
    Ok(())
}
