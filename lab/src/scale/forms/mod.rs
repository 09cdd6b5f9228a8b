//! `scale-forms`: forms in which a version could be stored, side by side: memory of the first, memory of twenty more that
//! differ in one entry each, CPU of making one, of finding what differs, of going back. Each form and size has a process to
//! itself.

mod measure;
mod scenario;
mod versions;

pub use scenario::{scenario, FormOptions};
