//! Where the core meets the sockets: inputs are brought to it one at a time, and what it sends goes into the outboxes of the
//! connections. Nothing here blocks, and nothing is decided about an RPC.

mod connections;
mod eviction;
mod outbound;
mod outboxes;
mod shared;
mod sidecar_connection;

pub use shared::{buffers_per_pool, Dispatcher};
