//! The decisions of one server: which RPCs it admits, runs and rejects, which upstream calls it makes, and what it
//! publishes to its callers.
//!
//! [`Control`] owns the whole decision state of a server; each of the other files here defines its methods for one kind
//! of decision. An input (`inputs.rs`) advances the clock, changes the state, applies the scheduling rules
//! (`scheduling.rs`) until none of them acts, and returns an [`crate::Outcome`].

mod admission;
mod completion;
mod inputs;
mod publication;
mod scheduling;
mod snapshot;
mod state;
mod upstream;

pub use state::{Control, ControlParts};
