//! Proxies between a process and what it depends on: each has one way in and one way out, and can delay, withhold,
//! reset or refuse what passes; the first two for each direction by itself.

use crate::sync::lock;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

const READ_BYTES: usize = 16 * 1024;
const HANG_POLL: Duration = Duration::from_millis(2);

/// What a proxy does to what passes in one direction.
#[derive(Clone, Debug, Default)]
pub struct Direction {
    /// Each piece is delayed by so long.
    pub delay: Duration,
    /// Nothing passes, and nothing breaks: what comes is withheld until it is healed.
    pub stalled: bool,
}

#[derive(Default)]
struct State {
    forward: Direction,
    backward: Direction,
    /// Connections are refused, as by a port at which nobody listens.
    refusing: bool,
    connections: Vec<[TcpStream; 2]>,
}

/// A proxy for TCP. It ends when it is dropped.
pub struct TcpProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

impl TcpProxy {
    /// Listens on a port that the system chooses and passes on to `to`.
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
                    drop(from); // at once, so that whoever connects learns of it by an end without a byte
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
    /// Both directions hang, or pass again.
    pub fn set_stalled(&self, stalled: bool) {
        let mut state = self.state();
        (state.forward.stalled, state.backward.stalled) = (stalled, stalled);
    }
    /// Both directions are delayed by so much.
    pub fn set_delay(&self, by: Duration) {
        let mut state = self.state();
        (state.forward.delay, state.backward.delay) = (by, by);
    }
    /// One direction hangs, or passes again: what the process sends (`forward`), or what comes back.
    pub fn set_direction_stalled(&self, forward: bool, stalled: bool) {
        let mut state = self.state();
        if forward {
            state.forward.stalled = stalled;
        } else {
            state.backward.stalled = stalled;
        }
    }
    /// All connections break off.
    pub fn reset_connections(&self) {
        for connection in self.state().connections.drain(..).flatten() {
            connection.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
    /// The other side is away, with all connections, or is there again.
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
        drop(TcpStream::connect(self.address)); // so that the acceptor looks
    }
}

/// Passes on what comes on both connections.
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

/// Passes one direction on until it ends.
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
            thread::sleep(HANG_POLL);
        }
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    // An end passes on as an end; what still comes in the other direction passes.
    to.shutdown(Shutdown::Write).unwrap_or_default();
    from.shutdown(Shutdown::Read).unwrap_or_default();
}

#[cfg(test)]
#[path = "tests/tcp_proxy.rs"]
mod tests;
