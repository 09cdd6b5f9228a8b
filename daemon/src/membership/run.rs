//! The coroutines: one reads datagrams, one lets time pass and sends.

use super::shared::MembershipService;
use crate::dispatcher::Dispatcher;
use crate::store::{OnDurable, Store};
use asterrill::Us;
use asterrill_membership::{AllowedChanges, Event, PersistedState, RolePolicy, Transmit};
use asterrill_net::{monotonic_now, now, spawn, wait_until, DatagramSocket};
use std::collections::VecDeque;
use std::sync::Arc;

/// Microseconds between two looks at whether the state to persist has changed.
const PERSIST_INTERVAL: Us = 10_000_000;
/// Datagrams that wait to be sent; beyond it the oldest are lost, as on the way.
const MAX_OUTGOING: usize = 4_096;
/// The shortest wait between two turns, in microseconds.
const MIN_WAIT: Us = 1_000;
/// A quota is looked at this many times while its lease lasts.
const LOOKS_PER_LEASE: Us = 4;

/// What a turn has brought.
struct Turn {
    outgoing: VecDeque<Transmit>,
    events: Vec<Event>,
    next_wakeup: Us,
    role: RolePolicy,
    left: bool,
}

/// The state on disk, and when it is looked at next.
struct Persistence {
    next_look: Us,
    stored: PersistedState,
}

impl MembershipService {
    /// Starts the coroutines.
    pub fn start(
        self: &Arc<MembershipService>, socket: DatagramSocket, dispatcher: &Arc<Dispatcher>,
        store: Option<Store>,
    ) -> std::io::Result<()> {
        let (service, receiver) = (self.clone(), socket.try_clone()?);
        spawn("members", move || {
            receiver.receive(|from, bytes| {
                service.lock().membership.handle_datagram(monotonic_now(), from, bytes);
                service.clock.notify();
            });
        })?;
        let (service, dispatcher) = (self.clone(), dispatcher.clone());
        let on_durable = self.on_durable();
        spawn("members' clock", move || service.run(&socket, &dispatcher, store, &on_durable))
    }

    /// What the store thread calls when a voter's write is durable.
    fn on_durable(self: &Arc<MembershipService>) -> Arc<OnDurable> {
        let service = self.clone();
        Arc::new(move |number| {
            service.durable_writes.lock().unwrap_or_else(|e| e.into_inner()).push(number);
            service.clock.notify();
        })
    }

    /// Lets time pass and sends, until this backend has left.
    fn run(
        &self, socket: &DatagramSocket, dispatcher: &Dispatcher, store: Option<Store>,
        on_durable: &Arc<OnDurable>,
    ) {
        self.clock.register();
        let mut persistence = Persistence { next_look: monotonic_now(), stored: PersistedState::default() };
        loop {
            let started = monotonic_now();
            let turn = self.take_turn(started, dispatcher, store.as_ref(), on_durable);
            // The core learns of a smaller quota before anybody else learns anything. It is leased: a process that was
            // paused, or does not come to look, has none when it wakes.
            let changes_allowed = turn.role.allowed_changes == AllowedChanges::Any;
            dispatcher.renew_quota_lease(started.saturating_add(self.quota_lease), changes_allowed);
            let quota = turn.role.quota_factor;
            dispatcher.with(|core, outbound, now| core.set_quota_fraction(now, quota, outbound));
            for Transmit { destination, contents } in turn.outgoing {
                socket.send(destination, &contents);
            }
            self.log_events(turn.events);
            if let Some(store) = store.as_ref().filter(|_| started >= persistence.next_look) {
                self.persist(store, &mut persistence, started);
            }
            if turn.left {
                return;
            }
            // Never later than a quota is leased for, by a wide margin.
            let until_wakeup = turn.next_wakeup.saturating_sub(monotonic_now());
            let wait = until_wakeup.min(self.quota_lease / LOOKS_PER_LEASE);
            wait_until(now() + wait.max(MIN_WAIT));
        }
    }

    /// One turn under the lock: time passes for membership and consensus.
    fn take_turn(
        &self, at: Us, dispatcher: &Dispatcher, store: Option<&Store>, on_durable: &Arc<OnDurable>,
    ) -> Turn {
        let mut locked = self.lock();
        if locked.membership.next_wakeup() <= at {
            locked.membership.tick(at);
        }
        let consensus = locked.run_consensus(at, &self.durable_writes);
        if let Some(store) = store.filter(|_| !consensus.writes.is_empty()) {
            store.save_consensus(consensus.writes, on_durable);
        }
        if let Some(policy) = consensus.policy {
            dispatcher.set_apply_policy(policy);
        }
        let datagrams = locked.membership.take_datagrams();
        locked.outgoing.extend(datagrams);
        let excess = locked.outgoing.len().saturating_sub(MAX_OUTGOING);
        locked.outgoing.drain(..excess);
        Turn {
            outgoing: std::mem::take(&mut locked.outgoing),
            events: locked.membership.take_events(),
            next_wakeup: locked.membership.next_wakeup().min(consensus.next_tick),
            role: locked.role(self.expected_members),
            left: locked.left,
        }
    }

    /// Stores what a restart needs, if it has changed.
    fn persist(&self, store: &Store, persistence: &mut Persistence, at: Us) {
        persistence.next_look = at + PERSIST_INTERVAL;
        let mut state = self.lock().membership.persisted_state(0);
        state.addresses.sort_unstable();
        if state != persistence.stored {
            store.save_members(PersistedState { written_at: now(), ..state.clone() }.to_text());
            persistence.stored = state;
        }
    }
}
