//! Generation of the page and its plots from the slopes and the budgets.

use super::budgets::Budgets;
use super::error::CapacityError;
use super::files::read;
use super::slopes::Slopes;
use super::{page, plot};
use std::path::{Path, PathBuf};

/// Contents of the input files, and the generated files.
pub struct Pages {
    /// Measured slopes.
    pub slopes: Slopes,
    /// Resource budgets.
    pub budgets: Budgets,
    /// Path and text of each generated file.
    pub files: Vec<(PathBuf, String)>,
}

/// Generates the page and its plots.
pub fn generate(docs: &Path) -> Result<Pages, CapacityError> {
    let path = docs.join("capacity/slopes.json");
    let slopes = Slopes::parse(&path, &read(&path)?)?;
    let path = docs.join("capacity/budgets.json");
    let budgets = Budgets::parse(&path, &read(&path)?, &slopes)?;
    let path = docs.join("CAPACITY.md");
    let page = page::fill_tables(&read(&path)?, &slopes, &budgets);
    let page = page.map_err(|reason| CapacityError::Page { path: path.clone(), reason })?;
    let mut files = vec![(path, page)];
    for (name, text) in plot::draw_plots(&slopes, &budgets)
        .map_err(|(name, reason)| CapacityError::Plot { path: docs.join("capacity").join(name), reason })?
    {
        files.push((docs.join("capacity").join(name), text));
    }
    Ok(Pages { slopes, budgets, files })
}

/// Returns the generated files that differ from those on disk.
pub fn outdated_files(pages: &Pages) -> Vec<&Path> {
    let up_to_date = |(path, text): &&(PathBuf, String)| {
        std::fs::read_to_string(path).is_ok_and(|on_disk| on_disk == *text)
    };
    pages.files.iter().filter(|file| !up_to_date(file)).map(|(path, _)| path.as_path()).collect()
}

#[cfg(test)]
#[path = "tests/pages.rs"]
mod tests;
