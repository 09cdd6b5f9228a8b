//! Membership of this backend in the cluster.
//!
//! Connects the state machines of `asterrill-membership` and `asterrill-consensus` to a datagram socket, to the core
//! and to the control socket. They have their own lock and coroutines, so that no RPC waits for them.

mod consensus;
mod event_log;
mod run;
mod service;
mod shared;
mod status;

pub use service::{read_name_and_key, MembershipConfig};
pub use shared::MembershipService;
