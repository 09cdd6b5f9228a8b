//! Thin drivers on `may` coroutines. They move bytes between sockets and whoever understands them, and know
//! nothing of what the bytes say. One coroutine owns each socket, reads it and writes what waits for it.

mod clock;
mod datagrams;
mod link;
mod listener;
mod outbox;
mod pool;
mod socket;
mod spawn;
#[cfg(test)]
mod tests;

pub use clock::{elapsed, now, turn, wait_until, Bell};
pub use datagrams::Datagrams;
pub use link::{hold, Address, Party, Pause};
pub use listener::{bind, listen, Door, Room};
pub use outbox::Outbox;
pub use pool::{Buf, Pool, SIZE};
pub use socket::{drive, exchange, End, Peer};
pub use spawn::{one_worker, spawn};
