//! The deliveries of one AMQP queue, from the moment each was read until it is settled.
//!
//! A [`QueueConsumer`] is given what happens on its channel and what the engine answered, with the current time,
//! and hands back what is to be done as a list of [`Action`]s. It has no socket and no clock.
//!
//! | module | job |
//! | --- | --- |
//! | `config` | what the operators set for a queue |
//! | `field_source` | where a value of a delivery is read from |
//! | `action` | what the owner of the session and of the engine is asked to do |
//! | `routes` | the method, tenant and caller of a delivery |
//! | `deadline` | by when a delivery must be answered |
//! | `dedup` | whether a delivery repeats an earlier one, and how that one was settled |
//! | `prefetch` | how many deliveries may be unsettled at a time, from the published credit, cores and memory |
//! | `settlement` | what an answer makes of a delivery: ack, reject, requeue, or a retry after a backoff |
//! | `message`, `subscription` | the states of one message and of the subscription |
//! | `queue` | the table of messages in flight: its construction and its figures |
//! | `channel`, `intake`, `execution`, `replies`, `timers`, `settling` | the inputs of [`QueueConsumer`], by concern |
//!
//! Guarantees:
//! - Each delivery is settled once, by the delivery tag that it came with, or its channel was lost first.
//! - A message of a non-idempotent method, or of one with idempotency keys, that is in flight or was settled here is
//!   never submitted again: a redelivery of it is settled like the first delivery.
//! - A rejected message is held until its retry is due and counts as unsettled meanwhile, so that it is never
//!   redelivered in a tight loop.
//! - At most [`ConsumerConfig::max_in_flight`] messages are held; a broker that exceeds the prefetch loses its channel.
//!
//! Nothing survives a restart of the process. A redelivered message of a non-idempotent method that was not seen since
//! the start is therefore rejected, unless [`ConsumerConfig::run_unverified_redeliveries`] is set.

#![warn(missing_docs)]

mod action;
mod channel;
mod config;
mod deadline;
mod dedup;
mod execution;
mod field_source;
mod intake;
mod message;
mod prefetch;
mod queue;
mod replies;
mod routes;
mod settlement;
mod settling;
mod stats;
mod subscription;
mod timers;

#[cfg(test)]
mod tests;

pub use action::{Action, InFlightId, PendingReply, Submission};
pub use config::{Backoff, ConsumerConfig};
pub use field_source::FieldSource;
pub use queue::QueueConsumer;
pub use routes::Catalog;
pub use stats::QueueStats;
