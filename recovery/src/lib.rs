//! Coming back after a restart, an outage of the layer below, or the loss of stored state.
//!
//! Four questions, each decided by a state machine or a pure function of its own. Time, chance, ages and what the
//! layer below answered are passed in; bytes of a snapshot go out and come in.
//!
//! | question | where |
//! | --- | --- |
//! | what is worth keeping, and in which form | [`Learned`], [`seal`] |
//! | what of it still holds after this start | [`weigh`] |
//! | how many calls the layer below is given after a start or an outage, and how many repeats | [`Opening`] |
//! | who waits how long, so that processes that start together don't act in step | [`seed`], [`phase`], [`Beat`] |
//! | how far back a server is, by what evidence | [`Stages`] |
//!
//! Promises:
//!
//! - A snapshot is read whole or not at all: what is cut short, damaged, of another program or odd is an error, never
//!   a panic and never half of it.
//! - Nothing kept is more pessimistic than a server that knows nothing by more than [`DEAREST`], and nothing kept
//!   withholds an RPC or a call for longer than [`STATED`] without fresh evidence.
//! - An age that can't be trusted counts as too old.
//!
//! ```
//! use asterrill_recovery::{age, Moment};
//! let then = Moment { wall: 7_200_000_000, up: 1_000_000, boot: 7 };
//! // The wall clock was set back by an hour meanwhile; the machine has not been restarted, so its age is known.
//! let now = Moment { wall: 3_600_000_000, up: 3_000_000, boot: 7 };
//! assert_eq!(age(&now, &then), Some(2_000_000));
//! ```

mod checksummed;
mod jitter;
mod slow_start;
mod snapshot;
mod stages;
mod staleness;
#[cfg(test)]
mod tests;

pub use checksummed::{open, seal, SealFault, MOST};
pub use jitter::{phase, seed, Beat};
pub use slow_start::{Opening, Seen, Terms};
pub use snapshot::{age, Kept, Learned, LearnedFault, Moment, ACCOUNTS, METHODS, TENANTS};
pub use stages::{Evidence, Stage, Stages};
pub use staleness::{weigh, Present, Recall, Targets, Value, Verdict, Why, DEAREST, KEPT_RUNS, STATED};
