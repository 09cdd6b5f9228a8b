//! Arrivals of attempts whose records have expired, for windows that a change of the settings raises later.

use crate::idempotency::IdempotencyKey;
use asterrill::Us;
use std::collections::{BTreeMap, BTreeSet};

/// Index entry of an expired attempt, ordered by its arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ByArrival {
    arrived_at: Us,
    key: IdempotencyKey,
}

/// Expired attempts by their keys. The oldest are forgotten first.
#[derive(Default)]
pub(crate) struct ExpiredAttempts {
    arrivals: BTreeMap<IdempotencyKey, Us>,
    by_arrival: BTreeSet<ByArrival>,
    /// Latest arrival among the forgotten attempts, in microseconds.
    last_forgotten: Option<Us>,
}

impl ExpiredAttempts {
    /// Adds an attempt that arrived at `arrived_at`, unless a later one with the same key is known.
    pub(crate) fn insert(&mut self, key: IdempotencyKey, arrived_at: Us) {
        let latest = self.remove(key).map_or(arrived_at, |earlier| earlier.max(arrived_at));
        self.arrivals.insert(key, latest);
        self.by_arrival.insert(ByArrival { arrived_at: latest, key });
    }

    /// Removes the attempt with this key and returns its arrival.
    pub(crate) fn remove(&mut self, key: IdempotencyKey) -> Option<Us> {
        let arrived_at = self.arrivals.remove(&key)?;
        self.by_arrival.remove(&ByArrival { arrived_at, key });
        Some(arrived_at)
    }

    /// Forgets the oldest attempts until at most `max` remain.
    pub(crate) fn truncate(&mut self, max: usize) {
        while self.by_arrival.len() > max {
            let Some(ByArrival { arrived_at, key }) = self.by_arrival.pop_first() else { return };
            self.arrivals.remove(&key);
            self.last_forgotten = self.last_forgotten.max(Some(arrived_at));
        }
    }

    /// Reports whether an RPC with this key that arrived at `arrived_at` repeats an attempt that arrived less than
    /// `window` before it, or may repeat a forgotten one.
    pub(crate) fn may_be_repeated_by(&self, key: IdempotencyKey, arrived_at: Us, window: Us) -> bool {
        let latest = self.arrivals.get(&key).copied().max(self.last_forgotten);
        latest.is_some_and(|earlier| arrived_at < earlier + window)
    }
}
