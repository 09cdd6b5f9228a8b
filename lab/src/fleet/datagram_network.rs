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
    pub blocked_links: BTreeSet<(usize, usize)>,
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
    delivered: u64,
}

/// The relays of all members, which end when this is dropped.
pub struct DatagramNetwork {
    /// Where each member is reached.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

const READ_TIMEOUT: Duration = Duration::from_millis(20);
const DELIVERY_PAUSE: Duration = Duration::from_millis(1);
const MAX_DATAGRAM: usize = 2_048; // bytes

impl DatagramNetwork {
    /// `own`: where each member takes its datagrams, and sends from.
    pub fn start(own: &[SocketAddr], seed: u64) -> std::io::Result<DatagramNetwork> {
        let state = State {
            conditions: NetworkConditions::default(),
            rng: StdRng::seed_from_u64(seed),
            in_transit: BinaryHeap::new(),
            delivered: 0,
        };
        let (mut addresses, mut sockets) = (Vec::new(), Vec::new());
        for _ in own {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(READ_TIMEOUT))?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket);
        }
        let network =
            DatagramNetwork { addresses, state: Arc::new(Mutex::new(state)), stopped: Arc::default() };
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, own) = (socket.try_clone()?, own.to_vec());
            let (state, stopped) = (network.state.clone(), network.stopped.clone());
            thread::spawn(move || receive(&socket, to, &own, &state, &stopped));
        }
        let (state, stopped, own) = (network.state.clone(), network.stopped.clone(), own.to_vec());
        thread::spawn(move || deliver(&sockets, &own, &state, &stopped));
        Ok(network)
    }

    /// Changes the conditions of all datagrams from now on.
    pub fn change_conditions(&self, change: impl FnOnce(&mut NetworkConditions)) {
        change(&mut lock(&self.state).conditions);
    }
    /// Datagrams that were delivered.
    pub fn delivered(&self) -> u64 {
        lock(&self.state).delivered
    }
}

/// Takes what is sent to one member.
fn receive(socket: &UdpSocket, to: usize, own: &[SocketAddr], state: &Mutex<State>, stopped: &AtomicBool) {
    let mut bytes = [0; MAX_DATAGRAM];
    while !stopped.load(Ordering::Acquire) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else { continue };
        // None for a stranger, whose datagrams are not cut.
        let from = own.iter().position(|at| *at == from);
        lock(state).accept(from, to, &bytes[..n]);
    }
}

/// Sends datagrams on when they are due, each from the relay of the member that it is for.
fn deliver(sockets: &[UdpSocket], own: &[SocketAddr], state: &Mutex<State>, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Acquire) {
        for datagram in lock(state).take_due(Instant::now()) {
            let (socket, to) = (&sockets[datagram.to], own[datagram.to]);
            socket.send_to(&datagram.bytes, to).map(drop).unwrap_or_default();
        }
        thread::sleep(DELIVERY_PAUSE);
    }
}

impl Drop for DatagramNetwork {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

impl State {
    fn take_due(&mut self, now: Instant) -> Vec<InTransit> {
        let mut due = Vec::new();
        while self.in_transit.peek().is_some_and(|Reverse(datagram)| datagram.at <= now) {
            due.extend(self.in_transit.pop().map(|Reverse(datagram)| datagram));
        }
        self.delivered += due.len() as u64;
        due
    }

    fn accept(&mut self, from: Option<usize>, to: usize, bytes: &[u8]) {
        let NetworkConditions { blocked_links, loss, duplication, delay } = &self.conditions;
        if from.is_some_and(|from| blocked_links.contains(&(from, to))) || self.rng.random::<f64>() < *loss {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < *duplication) {
            let at = Instant::now() + delay.mul_f64(self.rng.random::<f64>());
            self.in_transit.push(Reverse(InTransit { at, to, bytes: bytes.to_vec() }));
        }
    }
}

/// The directions that are cut if only members of a common group hear each other.
pub fn links_between_groups(groups: &[Vec<usize>], nodes: usize) -> BTreeSet<(usize, usize)> {
    let together = |a: usize, b: usize| groups.iter().any(|group| group.contains(&a) && group.contains(&b));
    let pairs = (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b)));
    pairs.filter(|(a, b)| a != b && !together(*a, *b)).collect()
}

#[cfg(test)]
#[path = "tests/datagram_network.rs"]
mod tests;
