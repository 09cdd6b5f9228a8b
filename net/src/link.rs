//! Outgoing connections that reconnect when they end.

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

/// A handler for the bytes of a link and for the state changes of its connections.
pub trait LinkHandler: ConnectionHandler {
    /// Prepares for the next attempt to connect, while there is no connection. Bytes put into the outbox from now on are sent
    /// over the next connection; an eager link discards them when it connects.
    fn before_connect(&mut self);

    /// Handles a new connection. Bytes put into the outbox from now on are sent over it.
    fn on_connected(&mut self);

    /// Handles the end of a connection, or a failed attempt to connect. `refused` is true if the peer refused the connection, so
    /// that nothing in the outbox can have arrived. Returns whether the connection was useful, however short it was; if so,
    /// the backoff is reset.
    fn on_disconnected(&mut self, refused: bool) -> bool;

    /// Reports whether another connection is wanted. Once it is not, [`run_link`] returns.
    fn is_wanted(&self) -> bool {
        true
    }
}

/// Runs a link while its handler wants connections. An eager link always connects; a lazy one connects when its outbox is not
/// empty. Each further attempt is delayed by the backoff, unless the address changes meanwhile. After a change of address, an
/// established connection is kept until it ends.
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

/// Runs one connection of a link. Returns whether it was useful.
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
