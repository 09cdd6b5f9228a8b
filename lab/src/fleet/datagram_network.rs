//! Network between processes: a datagram relay at the advertised address of each member. The relay identifies the
//! sender by its source address, so that the link from one member to another can be blocked in each direction
//! separately. Loss, duplication and delay apply to each datagram independently.

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

/// Faults that apply to datagrams in transit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkConditions {
    /// Links that transfer nothing, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Probability (0 to 1) that a datagram is lost.
    pub loss: f64,
    /// Probability (0 to 1) that a datagram is delivered twice.
    pub duplication: f64,
    /// Upper bound of the delay. The delay of each datagram is random, so that datagrams are reordered.
    pub max_delay: Duration,
}

/// A datagram in transit, ordered by its delivery time.
struct InTransit {
    deliver_at: Instant,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for InTransit {
    fn eq(&self, other: &InTransit) -> bool {
        self.deliver_at == other.deliver_at
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
        self.deliver_at.cmp(&other.deliver_at)
    }
}

struct State {
    conditions: NetworkConditions,
    rng: StdRng,
    in_transit: BinaryHeap<Reverse<InTransit>>,
    delivered: u64,
}

/// Relays of all members; dropping it stops them.
pub struct DatagramNetwork {
    /// Address of the relay of each member.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
    stopped: Arc<AtomicBool>,
}

const READ_TIMEOUT: Duration = Duration::from_millis(20);
const DELIVERY_INTERVAL: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BYTES: usize = 2_048;

impl DatagramNetwork {
    /// Starts the relays. Each member receives datagrams at its address and sends them from there.
    pub fn start(member_addresses: &[SocketAddr], seed: u64) -> std::io::Result<DatagramNetwork> {
        let state = State {
            conditions: NetworkConditions::default(),
            rng: StdRng::seed_from_u64(seed),
            in_transit: BinaryHeap::new(),
            delivered: 0,
        };
        let (mut addresses, mut sockets) = (Vec::new(), Vec::new());
        for _ in member_addresses {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(READ_TIMEOUT))?;
            addresses.push(socket.local_addr()?);
            sockets.push(socket);
        }
        let network =
            DatagramNetwork { addresses, state: Arc::new(Mutex::new(state)), stopped: Arc::default() };
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, member_addresses) = (socket.try_clone()?, member_addresses.to_vec());
            let (state, stopped) = (network.state.clone(), network.stopped.clone());
            thread::spawn(move || receive(&socket, to, &member_addresses, &state, &stopped));
        }
        let (state, stopped, member_addresses) =
            (network.state.clone(), network.stopped.clone(), member_addresses.to_vec());
        thread::spawn(move || deliver(&sockets, &member_addresses, &state, &stopped));
        Ok(network)
    }

    /// Changes the conditions for all datagrams that are sent from now on.
    pub fn change_conditions(&self, change: impl FnOnce(&mut NetworkConditions)) {
        change(&mut lock(&self.state).conditions);
    }
    /// Returns the number of delivered datagrams.
    pub fn delivered(&self) -> u64 {
        lock(&self.state).delivered
    }
}

/// Receives the datagrams for one member until the network is stopped.
fn receive(
    socket: &UdpSocket, to: usize, member_addresses: &[SocketAddr], state: &Mutex<State>,
    stopped: &AtomicBool,
) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    while !stopped.load(Ordering::Acquire) {
        let Ok((n, from)) = socket.recv_from(&mut bytes) else { continue };
        // `None` stands for a sender that is not a member; its datagrams are never blocked.
        let from = member_addresses.iter().position(|address| *address == from);
        lock(state).accept(from, to, &bytes[..n]);
    }
}

/// Delivers datagrams when they are due, each from the relay of its receiver.
fn deliver(
    sockets: &[UdpSocket], member_addresses: &[SocketAddr], state: &Mutex<State>, stopped: &AtomicBool,
) {
    while !stopped.load(Ordering::Acquire) {
        for datagram in lock(state).take_due(Instant::now()) {
            let (socket, to) = (&sockets[datagram.to], member_addresses[datagram.to]);
            socket.send_to(&datagram.bytes, to).map(drop).unwrap_or_default();
        }
        thread::sleep(DELIVERY_INTERVAL);
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
        while self.in_transit.peek().is_some_and(|Reverse(datagram)| datagram.deliver_at <= now) {
            due.extend(self.in_transit.pop().map(|Reverse(datagram)| datagram));
        }
        self.delivered += due.len() as u64;
        due
    }

    fn accept(&mut self, from: Option<usize>, to: usize, bytes: &[u8]) {
        let NetworkConditions { blocked_links, loss, duplication, max_delay } = &self.conditions;
        if from.is_some_and(|from| blocked_links.contains(&(from, to))) || self.rng.random::<f64>() < *loss {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < *duplication) {
            let deliver_at = Instant::now() + max_delay.mul_f64(self.rng.random::<f64>());
            self.in_transit.push(Reverse(InTransit { deliver_at, to, bytes: bytes.to_vec() }));
        }
    }
}

/// Returns the links that are blocked if members reach each other only within a group.
pub fn blocked_links_between(groups: &[Vec<usize>], nodes: usize) -> BTreeSet<(usize, usize)> {
    let same_group = |a: usize, b: usize| groups.iter().any(|group| group.contains(&a) && group.contains(&b));
    let pairs = (0..nodes).flat_map(|a| (0..nodes).map(move |b| (a, b)));
    pairs.filter(|(a, b)| a != b && !same_group(*a, *b)).collect()
}

#[cfg(test)]
#[path = "tests/datagram_network.rs"]
mod tests;
