//! The page and its plots, worked out of the slopes and the budgets.

use super::budgets::Budgets;
use super::error::CapacityError;
use super::files::read;
use super::slopes::Slopes;
use super::{page, plot};
use std::path::{Path, PathBuf};

/// What the files say, and what the pages made of them have to be.
pub struct Pages {
    /// What was measured.
    pub slopes: Slopes,
    /// What may be spent.
    pub budgets: Budgets,
    /// Each file's path and text.
    pub files: Vec<(PathBuf, String)>,
}

/// Works the page and its plots out.
pub fn work_out(docs: &Path) -> Result<Pages, CapacityError> {
    let path = docs.join("capacity/slopes.json");
    let slopes = Slopes::parse(&path, &read(&path)?)?;
    let path = docs.join("capacity/budgets.json");
    let budgets = Budgets::parse(&path, &read(&path)?, &slopes)?;
    let path = docs.join("CAPACITY.md");
    let filled = page::fill(&read(&path)?, &slopes, &budgets);
    let filled = filled.map_err(|reason| CapacityError::Page { path: path.clone(), reason })?;
    let mut files = vec![(path, filled)];
    for (name, text) in plot::all(&slopes, &budgets)
        .map_err(|(name, reason)| CapacityError::Plot { path: docs.join("capacity").join(name), reason })?
    {
        files.push((docs.join("capacity").join(name), text));
    }
    Ok(Pages { slopes, budgets, files })
}

/// The files that are not what they have to be.
pub fn differing(pages: &Pages) -> Vec<&Path> {
    let same = |(path, text): &&(PathBuf, String)| std::fs::read_to_string(path).is_ok_and(|it| it == *text);
    pages.files.iter().filter(|file| !same(file)).map(|(path, _)| path.as_path()).collect()
}

#[cfg(test)]
#[path = "tests/pages.rs"]
mod tests;
