//! Dispatcher between the core and the sockets.
//!
//! It passes inputs to the core one at a time, and puts the core's messages into the outboxes of the connections. It
//! never blocks, and makes no decision about an RPC.

mod connections;
mod eviction;
mod outbound;
mod outboxes;
mod partial_message;
mod shared;
mod sidecar_connection;

pub use partial_message::ReadProgress;
pub use shared::{buffers_per_pool, Dispatcher};
