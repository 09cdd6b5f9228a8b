//! Accepting connections, up to a limit.

use crate::clock::{now, wait_until, yield_to_others};
use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use slog::{warn, Logger};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const BURST: usize = 8; // connections that are accepted before other coroutines get their turn
const RETRY_US: u64 = 50_000; // after a failed accept, and between looks for an idle connection at the limit

#[derive(Default)]
struct Shared {
    closed: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

/// Closes a listening socket, after the connections that the system has accepted already were taken over. Clones close the same.
#[derive(Clone, Default)]
pub struct ListenerHandle {
    shared: Arc<Shared>,
}

impl ListenerHandle {
    /// Closes the socket.
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

/// Whether a connection waits to be accepted.
fn has_pending(listener: &TcpListener) -> bool {
    let mut fds = [PollFd::new(listener.inner().as_fd(), PollFlags::POLLIN)];
    // If polling fails, accepting says why.
    poll(&mut fds, PollTimeout::ZERO).map_or(true, |ready| ready > 0)
}

/// Binds a listening socket.
///
/// # Errors
/// What the system says if it can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Hands on each connection with its permit, until the handle is closed and none waits. At the limit one connection waits here
/// and the others in the system's queue; `on_limit` may close an idle one, and is called again until there is a permit.
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
                warn!(log, "accepting a connection failed"; "error" => %error);
                wait_until(now() + RETRY_US);
                continue;
            }
        };
        on_connection(stream, acquire_permit(&limit, &on_limit));
        accepted = (accepted + 1) % BURST;
        if accepted == 0 {
            yield_to_others(); // what they send is read before others may take their place
        }
    }
}

/// Waits for a permit.
fn acquire_permit(limit: &ConnectionLimit, on_limit: &impl Fn()) -> ConnectionPermit {
    loop {
        if let Some(permit) = limit.try_acquire() {
            return permit;
        }
        on_limit();
        wait_until(now() + RETRY_US);
    }
}
