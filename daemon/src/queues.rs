//! Consumed queues, which connect the session with the broker to the state machine of each queue.
//!
//! Requests of the state machines to the engine are passed to the core; all other actions are carried out here.

mod actions;
mod broker_events;
mod consumers;
mod stats;

pub use actions::QueueRequest;
pub use consumers::{QueueConfig, QueueConsumers};
