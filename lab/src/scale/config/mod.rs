//! `scale-config`: one process with many methods and tenants. RPCs go on while its configuration is changed by single
//! entries, by files that are read again, and as a whole; some of it is undone, and what is wrong is rejected.

mod budgets;
mod entry_changes;
mod fields;
mod full_changes;
mod phase_report;
mod rejections;
mod reloads;
mod scenario;
mod session;
mod undo;

pub use scenario::scenario;
