//! TCP proxies between a process and its dependencies. A proxy can delay or stall each direction separately, reset
//! connections, and refuse new ones.

use crate::sync::lock;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

const READ_BYTES: usize = 16 * 1024;
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults of one direction of a proxy.
#[derive(Clone, Debug, Default)]
pub struct DirectionFaults {
    /// Delay of each piece of data.
    pub delay: Duration,
    /// Whether the direction transfers nothing while connections stay open; data is withheld until the stall ends.
    pub stalled: bool,
}

#[derive(Default)]
struct State {
    forward: DirectionFaults,
    backward: DirectionFaults,
    /// Whether connections are closed as soon as they are accepted, as if the dependency were down.
    refusing: bool,
    connections: Vec<[TcpStream; 2]>,
}

/// A TCP proxy; dropping it stops it and resets its connections.
pub struct TcpProxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl TcpProxy {
    /// Starts a proxy to `to` on a port that the system chooses.
    pub fn start(to: SocketAddr) -> std::io::Result<TcpProxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (state, stopped) = (Arc::new(Mutex::new(State::default())), Arc::new(AtomicBool::new(false)));
        let (shared, stop_flag) = (state.clone(), stopped.clone());
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if stop_flag.load(Ordering::Acquire) {
                    return;
                }
                let locked = lock(&shared);
                if locked.refusing {
                    // Closes the connection at once, so that the client sees its end without a byte.
                    drop(from);
                    continue;
                }
                drop(locked);
                let Ok(upstream) = TcpStream::connect(to) else { continue };
                drop(proxy_connection(from, upstream, &shared, &stop_flag));
            }
        });
        Ok(TcpProxy { address, state, stopped })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
    /// Stalls both directions, or ends the stall.
    pub fn set_stalled(&self, stalled: bool) {
        let mut state = self.state();
        (state.forward.stalled, state.backward.stalled) = (stalled, stalled);
    }
    /// Sets the delay of both directions.
    pub fn set_delay(&self, delay: Duration) {
        let mut state = self.state();
        (state.forward.delay, state.backward.delay) = (delay, delay);
    }
    /// Stalls one direction, or ends its stall: from the process to its dependency (`forward`), or back.
    pub fn set_direction_stalled(&self, forward: bool, stalled: bool) {
        let mut state = self.state();
        if forward {
            state.forward.stalled = stalled;
        } else {
            state.backward.stalled = stalled;
        }
    }
    /// Resets all connections by shutting down both of their directions.
    pub fn reset_connections(&self) {
        for connection in self.state().connections.drain(..).flatten() {
            connection.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
    /// Refuses new connections and resets open ones, or accepts connections again.
    pub fn set_refusing(&self, refusing: bool) {
        self.state().refusing = refusing;
        if refusing {
            self.reset_connections();
        }
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.reset_connections();
        // The connection wakes the acceptor, which then sees the stop flag.
        drop(TcpStream::connect(self.address));
    }
}

/// Transfers data between two connections in both directions.
fn proxy_connection(
    from: TcpStream, to: TcpStream, state: &Arc<Mutex<State>>, stopped: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    let pair = [from.try_clone()?, to.try_clone()?];
    let mut locked = lock(state);
    locked.connections.retain(|[from, _]| from.peer_addr().is_ok());
    locked.connections.push(pair);
    drop(locked);
    for (from, to, forward) in [(from.try_clone()?, to.try_clone()?, true), (to, from, false)] {
        let (state, stopped) = (state.clone(), stopped.clone());
        thread::spawn(move || forward_direction(from, to, forward, &state, &stopped));
    }
    Ok(())
}

/// Transfers data in one direction until it ends.
fn forward_direction(
    mut from: TcpStream, mut to: TcpStream, forward: bool, state: &Mutex<State>, stopped: &AtomicBool,
) {
    let mut bytes = vec![0; READ_BYTES];
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        loop {
            let direction = if forward { lock(state).forward.clone() } else { lock(state).backward.clone() };
            if stopped.load(Ordering::Acquire) {
                return;
            }
            if !direction.stalled {
                thread::sleep(direction.delay);
                break;
            }
            thread::sleep(STALL_POLL_INTERVAL);
        }
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    // The end of this direction is passed on; the other direction may still transfer data.
    to.shutdown(Shutdown::Write).unwrap_or_default();
    from.shutdown(Shutdown::Read).unwrap_or_default();
}

#[cfg(test)]
#[path = "tests/tcp_proxy.rs"]
mod tests;
