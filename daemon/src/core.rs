//! The core of the daemon: joins the engine to sidecars, agent, upstream links, queues and name service. Inputs come
//! in one at a time, together with the time; what is to be sent goes out through [`crate::outbound::Outbound`]. It has no
//! socket and no clock, and decides nothing about an RPC: that is the decision module's job.
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
