//! `scale-config`: configuration changes at one process with many methods and tenants, under a constant load of RPCs.
//!
//! The configuration is changed one entry at a time, by reloading the file, and in full. Changes of each kind are
//! undone, and invalid ones have to be rejected.

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
