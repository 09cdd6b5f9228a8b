//! Drivers on `may` coroutines: they move bytes between sockets and handlers, and know nothing of what the bytes say. One
//! coroutine owns each socket, reads it, and writes what its outbox holds.
//!
//! | module | job |
//! | --- | --- |
//! | `listener`, `connection_limit` | accepting connections, up to a limit |
//! | `connection` | one socket: [`run_connection`] hands what arrives to a [`ConnectionHandler`] |
//! | `outbox` | what waits to be written to one socket: bounded |
//! | `link`, `address`, `backoff` | outgoing connections that are made again when they end |
//! | `exchange` | one request and its reply on an outgoing connection |
//! | `datagram_socket` | datagrams |
//! | `pool` | buffers of one size |
//! | `clock`, `notify` | the time, waiting, and waking |
//! | `spawn` | starting the worker and coroutines |
#![warn(missing_docs)]

mod address;
mod backoff;
mod clock;
mod connection;
mod connection_limit;
mod datagram_socket;
mod exchange;
mod link;
mod listener;
mod notify;
mod outbox;
mod pool;
mod spawn;

pub use address::Address;
pub use backoff::Backoff;
pub use clock::{monotonic_now, now, wait_until, yield_to_others};
pub use connection::{run_connection, ConnectionEnd, ConnectionHandler};
pub use connection_limit::{ConnectionLimit, ConnectionPermit};
pub use datagram_socket::DatagramSocket;
pub use exchange::{exchange, ReplyStatus};
pub use link::{run_link, LinkHandler};
pub use listener::{bind, listen, ListenerHandle};
pub use may::net::{TcpListener, TcpStream};
pub use notify::Notify;
pub use outbox::Outbox;
pub use pool::{BufferPool, PoolUsage, PooledBuffer, BUFFER_BYTES};
pub use spawn::{spawn, start_worker};
