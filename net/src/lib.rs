//! Socket drivers on `may` coroutines. They move bytes between sockets and handlers without interpreting them. Each socket is
//! owned by one coroutine, which reads it and writes the bytes queued in its outbox.
//!
//! | module | purpose |
//! | --- | --- |
//! | `listener`, `connection_limit` | listener that accepts connections up to a limit |
//! | `connection` | driver of one socket: [`run_connection`] passes received bytes to a [`ConnectionHandler`] |
//! | `outbox` | bounded queue of bytes to write to one socket |
//! | `link`, `address`, `backoff` | outgoing connections that reconnect when they end |
//! | `exchange` | a single request and reply over an outgoing connection |
//! | `datagram_socket` | UDP datagrams |
//! | `pool` | bounded pool of buffers of one size |
//! | `turns` | turns of connections whose peers send as fast as they are read |
//! | `clock`, `notify` | clocks, timers and wakeups |
//! | `spawn` | start of the worker and of coroutines |
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
mod turns;

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
