//! One caller: its timers, its connections and the loop that serves both.

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

const LONGEST_WAIT: Duration = Duration::from_millis(100); // until the loop looks whether it has to stop
const RECONNECT_SPREAD_MS: u64 = 50;
const SEEDS_PER_LOAD: u64 = 1_000; // each caller has a seed of its own

/// What the callers of a fleet share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) ledger: Arc<Mutex<CallerLedger>>,
    pub(super) reconnect_at: Arc<Mutex<Option<Instant>>>,
    stopped: Arc<AtomicBool>,
    start: Instant,
    pub(super) profile: CallerProfile,
    pub(super) backend_addresses: BackendAddresses,
    pub(super) name_service: NameService,
}

impl Shared {
    pub(super) fn new(
        start: Instant, profile: &CallerProfile, backend_addresses: &BackendAddresses,
        name_service: &NameService,
    ) -> Shared {
        Shared {
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

/// An RPC that has no final answer.
pub(super) struct Rpc {
    pub(super) method: MethodLoad,
    pub(super) first_sent: Instant,
    pub(super) body: Vec<u8>,
    pub(super) attempts: u32,
}

/// What happens at a moment. The order is that of timers of the same moment.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The next RPC is sent.
    NextRpc,
    /// An RPC is attempted again.
    Retry(u64),
    /// An attempt ought to have its answer.
    AnswerDeadline { node: usize, connection: ConnectionId, stream: u32 },
    /// The patience of an RPC is over.
    PatienceOver(u64),
    /// All connections are broken off.
    Reconnect,
}

/// One caller.
pub(super) struct Caller {
    pub(super) number: usize,
    /// It ignores what backends advertise.
    pub(super) ignores_hints: bool,
    pub(super) shared: Shared,
    pub(super) rng: StdRng,
    /// By the backend's number.
    pub(super) connections: BTreeMap<usize, Connection>,
    pub(super) connections_made: ConnectionId,
    /// Until when backends are not called, as they said so.
    pub(super) paused_until: BTreeMap<usize, Instant>,
    /// The same, as they could not be reached.
    pub(super) unreachable_until: BTreeMap<usize, Instant>,
    pub(super) rpcs: BTreeMap<u64, Rpc>,
    last_rpc: u64,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    reconnected_at: Option<Instant>,
    pub(super) event_sender: Sender<Event>,
    events: Receiver<Event>,
}

impl Caller {
    pub(super) fn new(number: usize, ignores_hints: bool, shared: Shared) -> Caller {
        let (event_sender, events) = channel();
        let seed = shared.profile.seed * SEEDS_PER_LOAD + number as u64;
        Caller {
            number,
            ignores_hints,
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

    /// Sends RPCs until the callers are stopped and none is left.
    pub(super) fn run(&mut self) {
        self.set_timer(Instant::now(), Timer::NextRpc);
        loop {
            let now = Instant::now();
            while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((at, timer))) = self.timers.pop() else { break };
                self.handle_timer(at, timer);
            }
            let next = self.timers.peek().map_or(now + LONGEST_WAIT, |Reverse((at, _))| *at);
            let wait = next.saturating_duration_since(Instant::now()).min(LONGEST_WAIT);
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
            self.look_for_reconnect();
        }
    }

    fn look_for_reconnect(&mut self) {
        let reconnect_at = *lock(&self.shared.reconnect_at);
        if reconnect_at != self.reconnected_at {
            self.reconnected_at = reconnect_at;
            let delay = Duration::from_millis(self.rng.random_range(0..RECONNECT_SPREAD_MS));
            self.set_timer(Instant::now() + delay, Timer::Reconnect);
        }
    }

    fn handle_timer(&mut self, at: Instant, timer: Timer) {
        match timer {
            Timer::NextRpc if self.shared.is_stopped() => {}
            Timer::NextRpc => {
                let (callers, rate) = (self.shared.profile.callers as f64, self.shared.profile.rate);
                let gap = -(1.0 - self.rng.random::<f64>()).ln() * callers / rate;
                self.set_timer(at + Duration::from_secs_f64(gap), Timer::NextRpc);
                self.last_rpc += 1;
                self.start_rpc(self.last_rpc, at);
            }
            Timer::Retry(rpc) => self.attempt(rpc),
            Timer::AnswerDeadline { node, connection, stream } => {
                self.expect_answer(node, connection, stream);
            }
            Timer::PatienceOver(rpc) => self.finish_rpc(rpc, false),
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
            Event::Broken { node, connection } => self.connection_broke(node, connection),
            Event::Answer { node, connection, stream, answer } => {
                self.handle_answer(node, connection, stream, &answer);
            }
        }
    }

    /// A connection, if it is still the one to that backend.
    pub(super) fn connection(&mut self, node: usize, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&node).filter(|connection| connection.id == id)
    }
}
