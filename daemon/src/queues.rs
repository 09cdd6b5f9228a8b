//! The queues that are consumed: the session with the broker on one side, each queue's state machine on the other. What
//! the state machines request of the engine is handed to the core; all else is carried out here.

mod actions;
mod broker_events;
mod consumers;
mod stats;

pub use actions::QueueRequest;
pub use consumers::{QueueConfig, QueueConsumers};
