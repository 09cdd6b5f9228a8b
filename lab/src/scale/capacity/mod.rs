//! `asterrill-lab capacity`: generates the tables and plots of the page `docs/CAPACITY.md` from
//! `docs/capacity/slopes.json` and `budgets.json`.
//!
//! With `--check` it only compares the page with the files. With `--take` it first imports the reports that scenarios
//! such as `scale-config` print with `--json`.

mod budgets;
mod error;
mod files;
mod format;
mod import;
mod options;
mod outputs;
mod over_budget;
mod page;
mod pages;
mod plot;
mod scenario;
mod slopes;
mod slopes_text;
mod sources;

#[cfg(test)]
#[path = "tests/docs_copy.rs"]
mod docs_copy;

pub use options::CapacityOptions;
pub use scenario::scenario;
