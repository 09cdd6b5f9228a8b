//! Relays between processes, and between a process and its parties: each knows one way in and one way out, and can be
//! told to delay, to withhold, to reset, or to be gone. Each direction by itself.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// What a relay does to what passes.
#[derive(Clone, Debug, Default)]
pub struct Way {
    /// Each piece is held back for so long.
    pub delay: Duration,
    /// Nothing passes, and nothing breaks: what comes is kept until it is healed.
    pub hangs: bool,
}

#[derive(Default)]
struct State {
    there: Way,
    back: Way,
    /// Connections are refused, as by a port at which nobody listens.
    gone: bool,
    lines: Vec<[TcpStream; 2]>,
}

/// A relay for TCP. It ends when it is dropped.
pub struct Relay {
    pub at: SocketAddr,
    state: Arc<Mutex<State>>,
    ends: Arc<AtomicBool>,
}

impl Relay {
    /// Listens on a port that the system chooses and passes on to `to`.
    pub fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (state, ends) = (Arc::new(Mutex::new(State::default())), Arc::new(AtomicBool::new(false)));
        let (kept, over) = (state.clone(), ends.clone());
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if over.load(Ordering::Acquire) {
                    return;
                }
                let taken = lock(&kept);
                if taken.gone {
                    drop(from); // at once, so that whoever connects learns of it by an end without a byte
                    continue;
                }
                drop(taken);
                let Ok(there) = TcpStream::connect(to) else { continue };
                drop(join(from, there, &kept, &over));
            }
        });
        Ok(Relay { at, state, ends })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
    /// Both ways hang, or pass again.
    pub fn hang(&self, hangs: bool) {
        let mut state = self.state();
        (state.there.hangs, state.back.hangs) = (hangs, hangs);
    }
    /// Both ways are delayed by so much.
    pub fn delay(&self, by: Duration) {
        let mut state = self.state();
        (state.there.delay, state.back.delay) = (by, by);
    }
    /// One way hangs: what is sent there, or what comes back.
    pub fn hang_one(&self, there: bool, hangs: bool) {
        let mut state = self.state();
        if there {
            state.there.hangs = hangs;
        } else {
            state.back.hangs = hangs;
        }
    }
    /// All connections break off.
    pub fn reset(&self) {
        for [a, b] in self.state().lines.drain(..) {
            a.shutdown(Shutdown::Both).unwrap_or_default();
            b.shutdown(Shutdown::Both).unwrap_or_default();
        }
    }
    /// The other side is away, with all connections, or is there again.
    pub fn gone(&self, gone: bool) {
        self.state().gone = gone;
        if gone {
            self.reset();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
        self.reset();
        drop(TcpStream::connect(self.at)); // so that it looks
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

fn join(
    from: TcpStream, to: TcpStream, state: &Arc<Mutex<State>>, ends: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    {
        let mut state = lock(state);
        state.lines.retain(|[a, _]| a.peer_addr().is_ok());
        state.lines.push([from.try_clone()?, to.try_clone()?]);
    }
    for (a, b, there) in [(from.try_clone()?, to.try_clone()?, true), (to, from, false)] {
        let (state, ends) = (state.clone(), ends.clone());
        thread::spawn(move || pass(a, b, there, &state, &ends));
    }
    Ok(())
}

fn pass(mut a: TcpStream, mut b: TcpStream, there: bool, state: &Mutex<State>, ends: &AtomicBool) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(n) = a.read(&mut bytes) {
        if n == 0 {
            break;
        }
        loop {
            let way = if there { lock(state).there.clone() } else { lock(state).back.clone() };
            if ends.load(Ordering::Acquire) {
                return;
            }
            if !way.hangs {
                thread::sleep(way.delay);
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        if b.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    // An end passes on as an end; what still comes the other way passes.
    b.shutdown(Shutdown::Write).unwrap_or_default();
    a.shutdown(Shutdown::Read).unwrap_or_default();
}

#[cfg(test)]
#[path = "tests/relay.rs"]
mod tests;
