//! `asterrill-lab capacity`: works the page `docs/CAPACITY.md` out from `docs/capacity/slopes.json` and `budgets.json`,
//! with its plots. `--check` only says whether they agree; `--take` takes up what `scale-config --json` printed.

mod budgets;
mod error;
mod files;
mod format;
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
mod take;

#[cfg(test)]
#[path = "tests/docs_copy.rs"]
mod docs_copy;

pub use options::CapacityOptions;
pub use scenario::scenario;
