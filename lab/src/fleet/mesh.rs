//! The net between processes: a relay for datagrams at each address that is advertised. It knows the sender by the
//! address it sends from, so each direction of each pair is cut, lost, doubled and delayed on its own.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of datagrams on their way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weather {
    /// Directions that carry nothing: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Of 1, what gets lost, and what comes twice.
    pub loss: f64,
    pub doubles: f64,
    /// At the most; each is drawn, so that they overtake each other.
    pub delay: Duration,
}

struct Flying {
    due: Instant,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Flying {
    fn eq(&self, other: &Flying) -> bool {
        self.due == other.due
    }
}
impl Eq for Flying {}
impl PartialOrd for Flying {
    fn partial_cmp(&self, other: &Flying) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Flying {
    fn cmp(&self, other: &Flying) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

struct State {
    weather: Weather,
    chance: StdRng,
    flying: BinaryHeap<Reverse<Flying>>,
    carried: u64,
}

/// The relays of all members. They end when it is dropped.
pub struct Mesh {
    /// Where each member is reached.
    pub at: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    ends: Arc<AtomicBool>,
}

const TURN: Duration = Duration::from_millis(20);

impl Mesh {
    /// `own`: where each member takes its datagrams, and sends from.
    pub fn start(own: &[SocketAddr], seed: u64) -> std::io::Result<Mesh> {
        let weather = Weather::default();
        let chance = StdRng::seed_from_u64(seed);
        let state = Arc::new(Mutex::new(State { weather, chance, flying: BinaryHeap::new(), carried: 0 }));
        let (ends, mut at, mut sockets) = (Arc::new(AtomicBool::new(false)), Vec::new(), Vec::new());
        for _ in own {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(TURN))?;
            at.push(socket.local_addr()?);
            sockets.push(socket);
        }
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, state, ends, own) = (socket.try_clone()?, state.clone(), ends.clone(), own.to_vec());
            thread::spawn(move || {
                let mut bytes = [0; 2_048];
                while !ends.load(Ordering::Acquire) {
                    let Ok((n, from)) = socket.recv_from(&mut bytes) else { continue };
                    // Of nobody known: a stranger's, which always gets through.
                    let from = own.iter().position(|at| *at == from);
                    lock(&state).take(from, to, &bytes[..n]);
                }
            });
        }
        let (kept, over, own) = (state.clone(), ends.clone(), own.to_vec());
        thread::spawn(move || {
            while !over.load(Ordering::Acquire) {
                let now = Instant::now();
                let mut state = lock(&kept);
                let mut due = Vec::new();
                while state.flying.peek().is_some_and(|Reverse(flying)| flying.due <= now) {
                    due.extend(state.flying.pop());
                }
                state.carried += due.len() as u64;
                drop(state);
                for Reverse(flying) in due {
                    sockets[flying.to].send_to(&flying.bytes, own[flying.to]).map(drop).unwrap_or_default();
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        Ok(Mesh { at, state, ends })
    }
    /// Changes the weather.
    pub fn weather(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut lock(&self.state).weather);
    }
    pub fn carried(&self) -> u64 {
        lock(&self.state).carried
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Release);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

impl State {
    fn take(&mut self, from: Option<usize>, to: usize, bytes: &[u8]) {
        let Weather { cut, loss, doubles, delay } = &self.weather;
        if from.is_some_and(|from| cut.contains(&(from, to))) || self.chance.random::<f64>() < *loss {
            return;
        }
        for _ in 0..1 + usize::from(self.chance.random::<f64>() < *doubles) {
            let due = Instant::now() + delay.mul_f64(self.chance.random::<f64>());
            self.flying.push(Reverse(Flying { due, to, bytes: bytes.to_vec() }));
        }
    }
}

/// The directions that are cut if only members of a common group hear each other.
pub fn apart(groups: &[Vec<usize>], nodes: usize) -> BTreeSet<(usize, usize)> {
    let together = |a: usize, b: usize| groups.iter().any(|g| g.contains(&a) && g.contains(&b));
    let pairs = (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b)));
    pairs.filter(|(a, b)| a != b && !together(*a, *b)).collect()
}

#[cfg(test)]
#[path = "tests/mesh.rs"]
mod tests;
