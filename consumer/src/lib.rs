//! Consumer of one AMQP queue: the processing of each delivery, from the time it is read until it is settled.
//!
//! A [`QueueConsumer`] is a state machine without I/O. Its inputs are the events on its channel and the answers of the
//! engine, each with the current time. Its output is a queue of [`Action`]s for its owner to carry out.
//!
//! | module | contents |
//! | --- | --- |
//! | `config` | configuration of a queue |
//! | `field_source` | source from which a value of a delivery is read |
//! | `action` | actions for the owner of the session and of the engine |
//! | `routes` | method, tenant and caller of a delivery |
//! | `deadline` | deadline of a delivery |
//! | `dedup` | detection of redelivered messages, and settlements remembered for them |
//! | `prefetch` | number of deliveries that may be unsettled at a time, from the published credit, cores and memory |
//! | `retry_policy` | decision after an answer of the engine: ack, reject, requeue, or a retry after a backoff |
//! | `message`, `subscription` | states of one message and of the subscription |
//! | `queue` | table of messages in flight: construction, configuration and getters |
//! | `stats` | counters of a queue |
//! | `channel`, `intake`, `execution`, `replies`, `timers`, `settling` | inputs of [`QueueConsumer`], by concern |
//!
//! Guarantees:
//! - Each delivery is settled exactly once, by its own delivery tag, unless its channel is lost before.
//! - A message of a non-idempotent method, or of a method with idempotency keys, is not submitted again while it is in
//!   flight or its settlement is remembered: a redelivery of it is settled like the first delivery.
//! - A rejected message is held until its retry is due and counts as unsettled meanwhile, so that the broker does not
//!   redeliver it in a tight loop.
//! - At most [`ConsumerConfig::max_in_flight`] messages are held. If the broker exceeds this, the channel is closed.
//!
//! The state is in memory only and is lost when the process restarts. A redelivered message of a non-idempotent method
//! that has not been seen since the start is therefore rejected, unless [`ConsumerConfig::run_unverified_redeliveries`]
//! is set.

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
mod retry_policy;
mod routes;
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
