//! Scenario: imports measurements, and writes or checks the page.

use super::error::CapacityError;
use super::files::read;
use super::options::CapacityOptions;
use super::over_budget::count_over_budget;
use super::pages::{generate, outdated_files};
use super::{import, outputs};
use crate::report::{Report, ScenarioError};

/// Imports outputs if there are any, then writes the page and its plots or checks that they are up to date.
pub fn scenario(report: &mut Report, options: &CapacityOptions) -> Result<(), ScenarioError> {
    if let Some(build) = options.as_build.filter(|_| !options.take.is_empty()) {
        let path = options.docs.join("capacity/slopes.json");
        let text = read(&path)?;
        let outputs = options.take.iter().map(|path| outputs::read_outputs(path));
        let outputs = outputs.collect::<Result<Vec<_>, _>>()?.concat();
        let imported = import::import_outputs(&path, &text, &outputs, build, options.commit.as_deref())?;
        std::fs::write(&path, imported.text)?;
        report.set("taken", imported.rows.into());
    }
    let pages = generate(&options.docs)?;
    let outdated = outdated_files(&pages);
    report.set("slopes", pages.slopes.slopes.len().into());
    report.set("over_budget", count_over_budget(&pages.slopes, &pages.budgets).into());
    let names: Vec<_> = outdated.iter().map(|path| path.display().to_string()).collect();
    if options.check {
        let broken = format!(
            "files do not match the slopes and budgets: {}; run asterrill-lab capacity",
            names.join(", ")
        );
        report.rule(&broken, names.is_empty());
    } else {
        for (path, text) in &pages.files {
            std::fs::write(path, text).map_err(|error| CapacityError::File { path: path.clone(), error })?;
        }
    }
    report.set(if options.check { "differing" } else { "written" }, names.into());
    Ok(())
}
