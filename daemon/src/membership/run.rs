//! Coroutines of the membership service: one receives datagrams, one runs the periodic tick and sends datagrams.

use super::shared::MembershipService;
use crate::dispatcher::Dispatcher;
use crate::store::{OnDurable, Store};
use asterrill::Us;
use asterrill_membership::{AllowedChanges, Event, PersistedState, RolePolicy, Transmit};
use asterrill_net::{monotonic_now, now, spawn, wait_until, DatagramSocket};
use std::collections::VecDeque;
use std::sync::Arc;

/// Interval between checks whether the persisted state has changed, in microseconds.
const PERSIST_INTERVAL_US: Us = 10_000_000;
/// Maximum number of queued datagrams. Beyond it the oldest are dropped, which the protocol treats like network loss.
const MAX_OUTGOING_DATAGRAMS: usize = 4_096;
/// Minimum wait between two ticks, in microseconds.
const MIN_WAIT_US: Us = 1_000;
/// Number of times that a quota is renewed during its lease.
const RENEWALS_PER_LEASE: Us = 4;

/// Output of one tick.
struct TickOutput {
    outgoing: VecDeque<Transmit>,
    events: Vec<Event>,
    next_wakeup: Us,
    role: RolePolicy,
    left: bool,
}

/// State saved last, and the time of the next check for changes.
struct Persistence {
    next_check: Us,
    saved: PersistedState,
}

impl MembershipService {
    /// Starts the coroutines of the service.
    ///
    /// # Errors
    /// The socket can't be shared, or a coroutine can't be started.
    pub fn start(
        self: &Arc<MembershipService>, socket: DatagramSocket, dispatcher: &Arc<Dispatcher>,
        store: Option<Store>,
    ) -> std::io::Result<()> {
        let (service, receiver) = (self.clone(), socket.try_clone()?);
        spawn("members", move || {
            receiver.receive(|from, bytes| {
                service.lock().membership.handle_datagram(monotonic_now(), from, bytes);
                service.wakeup.notify();
            });
        })?;
        let (service, dispatcher) = (self.clone(), dispatcher.clone());
        let on_durable = self.on_durable();
        spawn("members' clock", move || service.run(&socket, &dispatcher, store, &on_durable))
    }

    /// Returns the callback that the store thread calls when a voter's write is durable.
    fn on_durable(self: &Arc<MembershipService>) -> Arc<OnDurable> {
        let service = self.clone();
        Arc::new(move |number| {
            service.durable_writes.lock().unwrap_or_else(|e| e.into_inner()).push(number);
            service.wakeup.notify();
        })
    }

    /// Runs the periodic tick and sends datagrams, until this backend has left the cluster.
    fn run(
        &self, socket: &DatagramSocket, dispatcher: &Dispatcher, store: Option<Store>,
        on_durable: &Arc<OnDurable>,
    ) {
        self.wakeup.register();
        let mut persistence = Persistence { next_check: monotonic_now(), saved: PersistedState::default() };
        loop {
            let started = monotonic_now();
            let output = self.tick(started, dispatcher, store.as_ref(), on_durable);
            // A smaller quota is set in the core before any datagram that announces it is sent. The quota is leased,
            // so that it has expired when a process resumes after a pause or is late.
            let changes_allowed = output.role.allowed_changes == AllowedChanges::Any;
            dispatcher.renew_quota_lease(started.saturating_add(self.quota_lease), changes_allowed);
            let quota = output.role.quota_factor;
            dispatcher.with(|core, outbound, now| core.set_quota_fraction(now, quota, outbound));
            for Transmit { destination, contents } in output.outgoing {
                socket.send(destination, &contents);
            }
            self.log_events(output.events);
            if let Some(store) = store.as_ref().filter(|_| started >= persistence.next_check) {
                self.persist(store, &mut persistence, started);
            }
            if output.left {
                return;
            }
            // The wait is a fraction of the quota's lease, so that the lease is renewed well before it expires.
            let until_wakeup = output.next_wakeup.saturating_sub(monotonic_now());
            let wait = until_wakeup.min(self.quota_lease / RENEWALS_PER_LEASE);
            wait_until(now() + wait.max(MIN_WAIT_US));
        }
    }

    /// Advances membership and consensus to the time `at`, under the lock.
    fn tick(
        &self, at: Us, dispatcher: &Dispatcher, store: Option<&Store>, on_durable: &Arc<OnDurable>,
    ) -> TickOutput {
        let mut state = self.lock();
        if state.membership.next_wakeup() <= at {
            state.membership.tick(at);
        }
        let consensus = state.run_consensus(at, &self.durable_writes);
        if let Some(store) = store.filter(|_| !consensus.writes.is_empty()) {
            store.save_consensus(consensus.writes, on_durable);
        }
        if let Some(policy) = consensus.policy {
            dispatcher.set_apply_policy(policy);
        }
        let datagrams = state.membership.take_datagrams();
        state.outgoing.extend(datagrams);
        let excess = state.outgoing.len().saturating_sub(MAX_OUTGOING_DATAGRAMS);
        state.outgoing.drain(..excess);
        TickOutput {
            outgoing: std::mem::take(&mut state.outgoing),
            events: state.membership.take_events(),
            next_wakeup: state.membership.next_wakeup().min(consensus.next_tick),
            role: state.role(self.expected_members),
            left: state.left,
        }
    }

    /// Saves the state that a restart needs, if it has changed.
    fn persist(&self, store: &Store, persistence: &mut Persistence, at: Us) {
        persistence.next_check = at + PERSIST_INTERVAL_US;
        let mut state = self.lock().membership.persisted_state(0);
        state.addresses.sort_unstable();
        if state != persistence.saved {
            store.save_members(PersistedState { written_at: now(), ..state.clone() }.to_text());
            persistence.saved = state;
        }
    }
}
