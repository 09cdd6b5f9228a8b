//! One server's decisions: what it admits, runs, rejects, calls upstream and publishes to its callers.
//!
//! [`Control`] owns all of a server's decision state; each other file here holds the methods for one kind of
//! decision. Inputs (`inputs.rs`) bring its clock up to date, change the state, let the scheduler's rules
//! (`scheduling.rs`) act until none does, and hand back an [`crate::Outcome`].

mod admission;
mod completion;
mod inputs;
mod publication;
mod scheduling;
mod snapshot;
mod state;
mod upstream;

pub use state::{Control, ControlParts};
