//! The network between processes: a relay for datagrams at each address that is advertised. It tells the sender by the
//! address it sends from, so each direction of each pair is cut, lost, duplicated and delayed on its own.

use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of datagrams on their way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// Directions that carry nothing: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Of 1, the part that gets lost.
    pub loss: f64,
    /// Of 1, the part that comes twice.
    pub duplication: f64,
    /// At the most; each is drawn, so that datagrams overtake each other.
    pub delay: Duration,
}

/// A datagram on its way.
struct InTransit {
    at: Instant,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for InTransit {
    fn eq(&self, other: &InTransit) -> bool {
        self.at == other.at
    }
}
impl Eq for InTransit {}
impl PartialOrd for InTransit {
    fn partial_cmp(&self, other: &InTransit) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for InTransit {
    fn cmp(&self, other: &InTransit) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

struct State {
    conditions: NetworkConditions,
    rng: StdRng,
    in_transit: BinaryHeap<Reverse<InTransit>>,
    carried: u64,
}

/// The relays of all members, which end when this is dropped.
pub struct DatagramNetwork {
    /// Where each member is reached.
    pub at: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

const READ_TIMEOUT: Duration = Duration::from_millis(20);

impl DatagramNetwork {
    /// `own`: where each member takes its datagrams, and sends from.
    pub fn start(own: &[SocketAddr], seed: u64) -> std::io::Result<DatagramNetwork> {
        let conditions = NetworkConditions::default();
        let rng = StdRng::seed_from_u64(seed);
        let state =
            Arc::new(Mutex::new(State { conditions, rng, in_transit: BinaryHeap::new(), carried: 0 }));
        let (stopped, mut at, mut sockets) = (Arc::new(AtomicBool::new(false)), Vec::new(), Vec::new());
        for _ in own {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(READ_TIMEOUT))?;
            at.push(socket.local_addr()?);
            sockets.push(socket);
        }
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, state, stopped, own) =
                (socket.try_clone()?, state.clone(), stopped.clone(), own.to_vec());
            thread::spawn(move || {
                let mut bytes = [0; 2_048];
                while !stopped.load(Ordering::Acquire) {
                    let Ok((n, from)) = socket.recv_from(&mut bytes) else { continue };
                    // None for a stranger, whose datagrams are not cut.
                    let from = own.iter().position(|at| *at == from);
                    lock(&state).accept(from, to, &bytes[..n]);
                }
            });
        }
        let (shared, stop_flag, own) = (state.clone(), stopped.clone(), own.to_vec());
        thread::spawn(move || {
            while !stop_flag.load(Ordering::Acquire) {
                let now = Instant::now();
                let mut state = lock(&shared);
                let mut due = Vec::new();
                while state.in_transit.peek().is_some_and(|Reverse(in_transit)| in_transit.at <= now) {
                    due.extend(state.in_transit.pop());
                }
                state.carried += due.len() as u64;
                drop(state);
                for Reverse(in_transit) in due {
                    sockets[in_transit.to]
                        .send_to(&in_transit.bytes, own[in_transit.to])
                        .map(drop)
                        .unwrap_or_default();
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        Ok(DatagramNetwork { at, state, stopped })
    }
    /// Changes the conditions of all datagrams from now on.
    pub fn change_conditions(&self, change: impl FnOnce(&mut NetworkConditions)) {
        change(&mut lock(&self.state).conditions);
    }
    /// Datagrams that were delivered.
    pub fn carried(&self) -> u64 {
        lock(&self.state).carried
    }
}

impl Drop for DatagramNetwork {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

impl State {
    fn accept(&mut self, from: Option<usize>, to: usize, bytes: &[u8]) {
        let NetworkConditions { cut, loss, duplication, delay } = &self.conditions;
        if from.is_some_and(|from| cut.contains(&(from, to))) || self.rng.random::<f64>() < *loss {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < *duplication) {
            let at = Instant::now() + delay.mul_f64(self.rng.random::<f64>());
            self.in_transit.push(Reverse(InTransit { at, to, bytes: bytes.to_vec() }));
        }
    }
}

/// The directions that are cut if only members of a common group hear each other.
pub fn cuts_between(groups: &[Vec<usize>], nodes: usize) -> BTreeSet<(usize, usize)> {
    let together = |a: usize, b: usize| groups.iter().any(|g| g.contains(&a) && g.contains(&b));
    let pairs = (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b)));
    pairs.filter(|(a, b)| a != b && !together(*a, *b)).collect()
}

#[cfg(test)]
#[path = "tests/datagram_network.rs"]
mod tests;
