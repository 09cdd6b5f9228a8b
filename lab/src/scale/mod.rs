//! The fleet ahead: its sizes, what it costs, and the page that says so.

pub mod callers;
pub mod capacity;
pub mod forms;
pub mod tool;
