//! `asterrill-lab capacity`: works the page `docs/CAPACITY.md` out from `docs/capacity/slopes.json` and `budgets.json`,
//! with its plots. `--check` only says whether they agree; `--take` takes up what `scale-config --json` printed.

mod budgets;
mod page;
mod plot;
mod slopes;
mod take;

use crate::report::{Fault, Report};
use budgets::Budgets;
use clap::{Args, ValueEnum};
use serde::de::DeserializeOwned;
use slopes::Slopes;
use std::path::{Path, PathBuf};

/// What `asterrill-lab capacity` is told.
#[derive(Args, Clone, Debug)]
pub struct PageOptions {
    /// For capacity: say whether page and plots agree with the measured slopes, and write nothing
    #[arg(long, global = true)]
    check: bool,
    /// For capacity: take up what scale-config printed with --json; may be given several times, medians are taken
    #[arg(long, global = true, value_name = "FILE", requires = "as_build")]
    take: Vec<PathBuf>,
    /// Of which build the figures of --take are
    #[arg(long = "as", global = true, value_enum, value_name = "BUILD")]
    as_build: Option<As>,
    /// The commit of the build whose figures --take takes up, for the page
    #[arg(long, global = true, value_name = "HASH", requires = "take")]
    commit: Option<String>,
    /// For capacity: where the pages are
    #[arg(long, global = true, default_value = "docs", value_name = "DIRECTORY")]
    docs: PathBuf,
}

/// The build whose figures are taken up.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum As {
    Before,
    After,
}

/// Why the page can't be worked out.
#[derive(thiserror::Error, Debug)]
pub enum Wrong {
    #[error("{path}: {error}")]
    File { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Text { path: PathBuf, error: serde_json::Error },
    #[error("{path}: format {found}, not {known}")]
    Format { path: PathBuf, found: u64, known: u64 },
    #[error("{path}: row {row}: {why}")]
    Row { path: PathBuf, row: String, why: String },
    #[error("{path}: {why}")]
    Page { path: PathBuf, why: String },
    #[error("{path}: {why}")]
    Output { path: PathBuf, why: String },
    #[error("{path}: {why}")]
    Plot { path: PathBuf, why: String },
}

fn parse<T: DeserializeOwned>(
    path: &Path, text: &str, known: u64, format: fn(&T) -> u64,
) -> Result<T, Wrong> {
    let value: T = serde_json::from_str(text).map_err(|error| Wrong::Text { path: path.into(), error })?;
    let found = format(&value);
    if found != known {
        return Err(Wrong::Format { path: path.into(), found, known });
    }
    Ok(value)
}

fn read(path: &Path) -> Result<String, Wrong> {
    std::fs::read_to_string(path).map_err(|error| Wrong::File { path: path.into(), error })
}

/// What the files say, and what the pages made of them have to be.
pub struct Worked {
    pub slopes: Slopes,
    pub budgets: Budgets,
    /// Each file's path and text.
    pub files: Vec<(PathBuf, String)>,
}

/// Works the page and its plots out.
pub fn work_out(docs: &Path) -> Result<Worked, Wrong> {
    let path = docs.join("capacity/slopes.json");
    let slopes = Slopes::parse(&path, &read(&path)?)?;
    let path = docs.join("capacity/budgets.json");
    let budgets = Budgets::parse(&path, &read(&path)?, &slopes)?;
    let path = docs.join("CAPACITY.md");
    let filled = page::fill(&read(&path)?, &slopes, &budgets);
    let filled = filled.map_err(|why| Wrong::Page { path: path.clone(), why })?;
    let mut files = vec![(path, filled)];
    for (name, text) in plot::all(&slopes, &budgets)
        .map_err(|(name, why)| Wrong::Plot { path: docs.join("capacity").join(name), why })?
    {
        files.push((docs.join("capacity").join(name), text));
    }
    Ok(Worked { slopes, budgets, files })
}

/// The files that are not what they have to be.
pub fn differing(worked: &Worked) -> Vec<&Path> {
    let same = |(path, text): &&(PathBuf, String)| std::fs::read_to_string(path).is_ok_and(|it| it == *text);
    worked.files.iter().filter(|file| !same(file)).map(|(path, _)| path.as_path()).collect()
}

pub fn scenario(report: &mut Report, to: &PageOptions) -> Result<(), Fault> {
    if let Some(build) = to.as_build.filter(|_| !to.take.is_empty()) {
        let path = to.docs.join("capacity/slopes.json");
        let text = read(&path)?;
        let outputs = to.take.iter().map(|path| take::read(path)).collect::<Result<Vec<_>, _>>()?.concat();
        let (text, taken) = take::take(&path, &text, &outputs, build, to.commit.as_deref())?;
        std::fs::write(&path, text)?;
        report.set("taken", taken.into());
    }
    let worked = work_out(&to.docs)?;
    let differing = differing(&worked);
    report.set("slopes", worked.slopes.slopes.len().into());
    report.set("over_budget", page::over_now(&worked.slopes, &worked.budgets).into());
    let names: Vec<_> = differing.iter().map(|path| path.display().to_string()).collect();
    if to.check {
        let told = format!("page and slopes disagree: {}; run asterrill-lab capacity", names.join(", "));
        report.rule(&told, names.is_empty());
    } else {
        for (path, text) in &worked.files {
            std::fs::write(path, text).map_err(|error| Wrong::File { path: path.clone(), error })?;
        }
    }
    report.set(if to.check { "differing" } else { "written" }, names.into());
    Ok(())
}

#[cfg(test)]
#[path = "tests/capacity.rs"]
mod tests;
