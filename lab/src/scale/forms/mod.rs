//! `scale-forms`: comparison of data structures in which versions of the configuration could be stored.
//!
//! For each form and size, a process of its own measures the memory of the first version, the memory of twenty more
//! that differ in one entry each, and the CPU time to create a version, to compare two and to revert to the previous one.

mod measure;
mod scenario;
mod versions;

pub use scenario::{scenario, FormOptions};
