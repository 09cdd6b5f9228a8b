//! Event loop of a caller, with its timers and connections.

use super::connection::{Connection, ConnectionId, Event};
use super::ledger::{Bucket, CallerLedger};
use super::profile::{BackendAddresses, CallerProfile};
use crate::fleet::name_service::NameService;
use crate::load::MethodLoad;
use crate::sync::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for an event before the loop checks whether it has to stop.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY_MS: u64 = 50;
/// Seeds that are reserved for the callers of one profile, as each caller has its own seed.
const SEEDS_PER_PROFILE: u64 = 1_000;

/// State that the callers of a fleet share.
#[derive(Clone)]
pub(super) struct SharedState {
    pub(super) ledger: Arc<Mutex<CallerLedger>>,
    pub(super) reconnect_at: Arc<Mutex<Option<Instant>>>,
    stopped: Arc<AtomicBool>,
    start: Instant,
    pub(super) profile: CallerProfile,
    pub(super) backend_addresses: BackendAddresses,
    pub(super) name_service: NameService,
}

impl SharedState {
    pub(super) fn new(
        start: Instant, profile: &CallerProfile, backend_addresses: &BackendAddresses,
        name_service: &NameService,
    ) -> SharedState {
        SharedState {
            ledger: Arc::default(),
            reconnect_at: Arc::default(),
            stopped: Arc::default(),
            start,
            profile: profile.clone(),
            backend_addresses: backend_addresses.clone(),
            name_service: name_service.clone(),
        }
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// An RPC without a final answer.
pub(super) struct Rpc {
    pub(super) method: MethodLoad,
    pub(super) first_sent: Instant,
    pub(super) body: Vec<u8>,
    pub(super) attempts: u32,
}

/// An action that is due at a point in time. The order of the variants is that of timers that are due at the same
/// time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The next RPC has to be sent.
    NextRpc,
    /// An RPC has to be attempted again.
    Retry(u64),
    /// The answer to an attempt is due.
    AnswerDeadline { node: usize, connection: ConnectionId, stream: u32 },
    /// The timeout of an RPC has expired.
    RpcTimeout(u64),
    /// All connections have to be closed.
    Reconnect,
}

/// A stub caller.
pub(super) struct Caller {
    pub(super) number: usize,
    /// Whether it ignores the credit and the pauses that backends advertise.
    pub(super) ignores_credit_and_pauses: bool,
    pub(super) shared: SharedState,
    pub(super) rng: StdRng,
    /// Open connections, by the index of the backend.
    pub(super) connections: BTreeMap<usize, Connection>,
    pub(super) connections_made: ConnectionId,
    /// End of the pauses that backends asked for, by the index of the backend.
    pub(super) paused_until: BTreeMap<usize, Instant>,
    /// Time until which unreachable backends are not called, by the index of the backend.
    pub(super) unreachable_until: BTreeMap<usize, Instant>,
    pub(super) rpcs: BTreeMap<u64, Rpc>,
    last_rpc: u64,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    reconnected_at: Option<Instant>,
    pub(super) event_sender: Sender<Event>,
    events: Receiver<Event>,
}

impl Caller {
    pub(super) fn new(number: usize, ignores_credit_and_pauses: bool, shared: SharedState) -> Caller {
        let (event_sender, events) = channel();
        let seed = shared.profile.seed * SEEDS_PER_PROFILE + number as u64;
        Caller {
            number,
            ignores_credit_and_pauses,
            shared,
            rng: StdRng::seed_from_u64(seed),
            connections: BTreeMap::new(),
            connections_made: 0,
            paused_until: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            rpcs: BTreeMap::new(),
            last_rpc: 0,
            timers: BinaryHeap::new(),
            reconnected_at: None,
            event_sender,
            events,
        }
    }

    pub(super) fn record(&self, change: impl FnOnce(&mut CallerLedger)) {
        change(&mut lock(&self.shared.ledger));
    }

    pub(super) fn record_bucket(&self, at: Instant, change: impl FnOnce(&mut Bucket)) {
        self.record(|ledger| change(ledger.bucket(self.shared.start, at)));
    }

    pub(super) fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    /// Sends RPCs until the callers are stopped and no RPC is in flight.
    pub(super) fn run(&mut self) {
        self.set_timer(Instant::now(), Timer::NextRpc);
        loop {
            let now = Instant::now();
            while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((at, timer))) = self.timers.pop() else { break };
                self.handle_timer(at, timer);
            }
            let next = self.timers.peek().map_or(now + MAX_EVENT_WAIT, |Reverse((at, _))| *at);
            let wait = next.saturating_duration_since(Instant::now()).min(MAX_EVENT_WAIT);
            match self.events.recv_timeout(wait) {
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.shared.is_stopped() && self.rpcs.is_empty() {
                self.connections.values().for_each(Connection::shut_down);
                self.connections.clear();
                return;
            }
            self.check_reconnect_request();
        }
    }

    fn check_reconnect_request(&mut self) {
        let reconnect_at = *lock(&self.shared.reconnect_at);
        if reconnect_at != self.reconnected_at {
            self.reconnected_at = reconnect_at;
            let delay = Duration::from_millis(self.rng.random_range(0..MAX_RECONNECT_DELAY_MS));
            self.set_timer(Instant::now() + delay, Timer::Reconnect);
        }
    }

    fn handle_timer(&mut self, at: Instant, timer: Timer) {
        match timer {
            Timer::NextRpc if self.shared.is_stopped() => {}
            Timer::NextRpc => {
                let (callers, rate) = (self.shared.profile.callers as f64, self.shared.profile.rate);
                let interval = -(1.0 - self.rng.random::<f64>()).ln() * callers / rate;
                self.set_timer(at + Duration::from_secs_f64(interval), Timer::NextRpc);
                self.last_rpc += 1;
                self.start_rpc(self.last_rpc, at);
            }
            Timer::Retry(rpc) => self.attempt(rpc),
            Timer::AnswerDeadline { node, connection, stream } => {
                self.handle_answer_deadline(node, connection, stream);
            }
            Timer::RpcTimeout(rpc) => self.finish_rpc(rpc, false),
            Timer::Reconnect => self.connections.values().for_each(Connection::shut_down),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Draining { node, connection } => {
                if let Some(open) = self.connection(node, connection) {
                    open.draining = true;
                }
            }
            Event::Broken { node, connection } => self.handle_broken_connection(node, connection),
            Event::Answer { node, connection, stream, answer } => {
                self.handle_answer(node, connection, stream, &answer);
            }
        }
    }

    /// Returns the connection to a backend, if it is still the one with this identifier.
    pub(super) fn connection(&mut self, node: usize, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&node).filter(|connection| connection.id == id)
    }
}
