//! A listener that accepts connections up to a limit.

use crate::clock::{now, wait_until, yield_to_others};
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::turns::Turn;
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use slog::{warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of connections that are accepted before the coroutine yields to others.
const MAX_ACCEPTS_PER_TURN: usize = 8;
/// Delay after a failed accept, and between attempts to obtain a permit at the limit.
const ACCEPT_RETRY_US: u64 = 50_000;

#[derive(Default)]
struct Shared {
    closed: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

/// A handle that closes a listening socket once the connections already in its accept queue have been accepted. Clones
/// control the same socket.
#[derive(Clone, Default)]
pub struct ListenerHandle {
    shared: Arc<Shared>,
}

impl ListenerHandle {
    /// Requests that the listener close its socket.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::Release);
        if let Some(waker) = &*self.waker() {
            waker.wakeup();
        }
    }

    fn is_closed(&self) -> bool {
        self.shared.closed.load(Ordering::Acquire)
    }

    fn waker(&self) -> MutexGuard<'_, Option<WaitIoWaker>> {
        self.shared.waker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports whether a connection is waiting to be accepted.
fn has_pending(listener: &TcpListener) -> bool {
    let mut fds = [PollFd::new(listener.inner().as_fd(), PollFlags::POLLIN)];
    // If polling fails, `accept` reports the reason.
    poll(&mut fds, PollTimeout::ZERO).map_or(true, |ready| ready > 0)
}

/// Binds a listening socket.
///
/// # Errors
/// Returns the operating system's error if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Accepts connections and passes each with its permit to `on_connection`, until the handle is closed and the accept queue is
/// empty.
///
/// At the limit, one accepted connection waits here and the others wait in the accept queue. `on_limit` may close an idle
/// connection; it is called repeatedly until a permit is available.
pub fn listen(
    listener: TcpListener, handle: &ListenerHandle, limit: ConnectionLimit, log: Logger, on_limit: impl Fn(),
    on_connection: impl Fn(TcpStream, ConnectionPermit),
) {
    limit.register();
    *handle.waker() = Some(listener.waker());
    let mut accepted = 0;
    loop {
        if !has_pending(&listener) {
            if handle.is_closed() {
                return;
            }
            listener.wait_io();
            continue;
        }
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accepting a connection failed; retrying"; "error" => %error);
                wait_until(now() + ACCEPT_RETRY_US);
                continue;
            }
        };
        on_connection(stream, acquire_permit(&limit, &on_limit));
        accepted = (accepted + 1) % MAX_ACCEPTS_PER_TURN;
        if accepted == 0 {
            // The accepted connections are read before later ones may displace them at the limit.
            let turn = Turn::wait();
            yield_to_others();
            turn.end();
        }
    }
}

/// Waits until a permit is available.
fn acquire_permit(limit: &ConnectionLimit, on_limit: &impl Fn()) -> ConnectionPermit {
    loop {
        if let Some(permit) = limit.try_acquire() {
            return permit;
        }
        on_limit();
        wait_until(now() + ACCEPT_RETRY_US);
    }
}
