//! Outgoing connections that are made again when they end.

use crate::address::Address;
use crate::backoff::Backoff;
use crate::clock::park;
use crate::connection::{run_connection, ConnectionHandler};
use crate::outbox::{Outbox, Waker};
use crate::pool::BufferPool;
use may::coroutine;
use may::net::TcpStream;
use std::io::ErrorKind;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Understands the bytes of a link, and learns what becomes of its connections.
pub trait LinkHandler: ConnectionHandler {
    /// There is no connection: whatever is put into the outbox from now on goes by the next one.
    fn before_connect(&mut self);

    /// A connection is established; whatever is put into the outbox from now on goes by it.
    fn on_connected(&mut self);

    /// The connection ended, or could not be established. `refused` proves that nothing that was put into the outbox arrived.
    /// Returns whether the connection was of use, however short: then the backoff starts again.
    fn on_disconnected(&mut self, refused: bool) -> bool;

    /// Whether another connection is wanted. Once it is not, [`run_link`] returns.
    fn is_wanted(&self) -> bool {
        true
    }
}

/// Runs a link for as long as it is wanted. An eager link is always connected; another connects when its outbox holds
/// something. A connection to an earlier address goes on until it ends.
pub fn run_link(
    to: &Address, outbox: &Outbox, pool: &BufferPool, eager: bool, mut backoff: Backoff,
    handler: &mut dyn LinkHandler,
) {
    let mut failures = 0;
    loop {
        outbox.set_waker(Some(Waker::Parked(coroutine::current())));
        handler.before_connect();
        if !handler.is_wanted() {
            return;
        }
        while !eager && outbox.is_empty() {
            park();
        }
        let address = to.get();
        let useful = match TcpStream::connect_timeout(&to.after_failures(failures), CONNECT_TIMEOUT) {
            Ok(stream) => run_once(stream, outbox, pool, eager, handler),
            Err(error) => {
                outbox.clear();
                handler.on_disconnected(error.kind() == ErrorKind::ConnectionRefused)
            }
        };
        if useful {
            backoff.reset();
        }
        failures = if useful { 0 } else { failures + 1 };
        outbox.set_waker(Some(Waker::Parked(coroutine::current())));
        backoff.wait_unless(|| to.get() != address);
    }
}

/// Runs one connection of a link. Whether it was of use.
fn run_once(
    stream: TcpStream, outbox: &Outbox, pool: &BufferPool, eager: bool, handler: &mut dyn LinkHandler,
) -> bool {
    if eager {
        outbox.clear();
    }
    handler.on_connected();
    run_connection(&stream, outbox, pool, handler);
    drop(stream);
    outbox.clear();
    handler.on_disconnected(false)
}
