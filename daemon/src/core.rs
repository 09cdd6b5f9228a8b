//! Core of the daemon, which connects the engine to sidecars, agent, upstream links, queues and name service.
//!
//! The core processes one input at a time, each with its timestamp, and sends messages through
//! [`crate::outbound::Outbound`]. It has no socket and no clock, and leaves all decisions about an RPC to the decision
//! module.
//!
//! [`Core`] is defined in `state`; each of the other modules adds the methods of one concern to it.

mod active_names;
mod agent;
mod broker;
mod configuration;
mod engine_access;
mod engine_outputs;
mod exercise;
mod health_checks;
mod idempotency_key;
mod lifecycle;
mod recovery;
mod sidecar_rpcs;
mod state;
#[cfg(test)]
#[path = "tests/core_access.rs"]
mod test_access;
mod upstream_calls;

pub use configuration::VersionSwitch;
pub use state::Core;
