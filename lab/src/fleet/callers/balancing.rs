//! Choice of the backend for an attempt.

use super::caller::Caller;
use super::connection::{Connection, ConnectionId};
use crate::sidecar::MAX_STREAMS;
use rand::seq::IteratorRandom;
use rand::Rng;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

/// Number of random candidates, of which the one with fewer attempts in flight is chosen.
const RANDOM_CHOICES: usize = 2;

impl Caller {
    /// Returns the delay with which this caller sees the list: between one and two seconds.
    fn list_delay(&self) -> Duration {
        Duration::from_millis(1_000 + (self.number as u64 * 137) % 1_000)
    }

    /// Reports whether a backend may be called, and its connection has capacity for another attempt.
    fn may_call(&self, node: usize, now: Instant) -> bool {
        let paused =
            !self.ignores_credit_and_pauses && self.paused_until.get(&node).is_some_and(|until| *until > now);
        let unreachable = self.unreachable_until.get(&node).is_some_and(|until| *until > now);
        let has_capacity = self.connections.get(&node).is_none_or(|connection| {
            let credit =
                connection.credit.filter(|_| !self.ignores_credit_and_pauses).unwrap_or(MAX_STREAMS as f64);
            let in_flight = connection.in_flight.len();
            in_flight < MAX_STREAMS && (in_flight as f64) < credit.max(0.0).ceil()
        });
        !paused && !unreachable && has_capacity
    }

    /// Chooses a listed backend and returns its index, with an open connection that has capacity for another attempt.
    pub(super) fn choose_backend(&mut self) -> Option<usize> {
        let now = Instant::now();
        let listed = self.shared.name_service.listed_backends(self.list_delay());
        let listed =
            listed.iter().filter_map(|name| self.shared.backend_addresses.by_name.get(name).copied());
        let candidates: Vec<(usize, SocketAddr)> =
            listed.filter(|(node, _)| self.may_call(*node, now)).collect();
        let choices = candidates.iter().copied().choose_multiple(&mut self.rng, RANDOM_CHOICES);
        let in_flight = |(node, _): &(usize, SocketAddr)| {
            self.connections.get(node).map_or(0, |connection| connection.in_flight.len())
        };
        let (node, address) = choices.into_iter().min_by_key(in_flight)?;
        if self.connections.get(&node).is_some_and(|connection| connection.draining) {
            let draining = self.connections.remove(&node);
            draining.into_iter().for_each(|connection| drop(connection.to.shutdown(Shutdown::Write)));
        }
        if !self.connections.contains_key(&node) && self.connect(node, address).is_none() {
            let pause = Duration::from_millis(self.rng.random_range(100..300));
            self.unreachable_until.insert(node, now + pause);
            return None;
        }
        Some(node)
    }

    fn connect(&mut self, node: usize, address: SocketAddr) -> Option<()> {
        let connection = Connection::open(self.connections_made + 1, node, address, &self.event_sender)?;
        self.connections_made += 1;
        self.connections.insert(node, connection);
        Some(())
    }

    /// Handles a broken connection. The attempts in flight on it may have run.
    pub(super) fn handle_broken_connection(&mut self, node: usize, id: ConnectionId) {
        if self.connection(node, id).is_none() {
            return;
        }
        let Some(broken) = self.connections.remove(&node) else { return };
        let pause = Duration::from_millis(self.rng.random_range(20..100));
        self.unreachable_until.insert(node, Instant::now() + pause);
        for attempt in broken.in_flight.into_values() {
            self.retry(attempt.rpc, true);
        }
    }
}
