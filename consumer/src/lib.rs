//! What becomes of the deliveries of one queue, from the moment each was read until it is settled.
//!
//! A [`Queue`] is fed what happens on its channel and what the engine answered, with the time, and hands back
//! what is to be done as a list of [`Do`]. It has no socket and no clock. Its decisions stand apart, each in a
//! file of its own:
//!
//! | file | decides |
//! | --- | --- |
//! | `window.rs` | how many deliveries may be out at a time, from the published credit, cores and memory |
//! | `routes.rs` | the method, tenant and caller of a delivery |
//! | `due.rs` | by when it must be answered |
//! | `verdict.rs` | what an answer makes of it: settled, or tried again, and when |
//! | `known.rs` | whether it is one that was read before, and what became of that |
//!
//! Promises:
//! - Each delivery is settled once, by the tag it came with, or its channel was lost first.
//! - A message of a tokened or non-idempotent method that goes on or ended here is never offered again: what
//!   comes of it a second time is settled like the first.
//! - What was pushed back is held until its time to come back, and counts as out meanwhile: nothing loops hot.
//! - At most [`Terms::table`] deliveries are held; a broker that sends more than was asked for loses its channel.
//!
//! What can't be known: after a restart of the process all that is known here is gone. A redelivered message of
//! a non-idempotent method that is not known is therefore rejected, unless the operator says otherwise.

mod deadline;
mod dedup;
mod prefetch;
mod queue;
mod routes;
mod settlement;
#[cfg(test)]
mod tests;

pub use prefetch::Window;
pub use queue::{Counts, Do, Offer, Queue, WorkId};
pub use routes::{Known, Route, Select, Unrouted};

use asterrill::Us;

/// What a queue is told by its operators.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The queue's name at the broker.
    pub queue: String,
    pub method: Select,
    pub tenant: Select,
    pub caller: Select,
    /// Deliveries out at a time at most, 1 or more.
    pub prefetch: u16,
    /// A delivery is due so long after it was read at the latest, in microseconds.
    pub bound: Us,
    /// Runs of a delivery, this one included, after which it is rejected.
    pub attempts: u32,
    /// The least and the longest pause before a delivery is offered again, in microseconds.
    pub pause: (Us, Us),
    /// Memory that is booked for a delivery while it is held, in kB.
    pub size_kb: f64,
    /// How long what became of a message is remembered, in microseconds, and of how many at most.
    pub remember: Us,
    pub remembered: usize,
    /// A redelivered message of a non-idempotent method that is not known here is run all the same.
    pub trusting: bool,
}

impl Terms {
    /// Deliveries that may be held at a time: two windows, one of them cancelled but still on its way, and what
    /// runs on from before a channel was lost.
    pub fn table(&self) -> usize {
        usize::from(self.prefetch) * 3 + 16
    }
}
