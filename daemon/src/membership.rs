//! Membership of this backend: the state machines of `asterrill-membership` and `asterrill-consensus`, joined to a datagram
//! socket, to the core and to the operators. They have a lock and coroutines of their own: no RPC ever waits for them.

mod consensus;
mod event_log;
mod run;
mod service;
mod shared;
mod status;

pub use service::{check, MembershipConfig};
pub use shared::MembershipService;
