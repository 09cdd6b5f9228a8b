//! Retention times and memory use of idempotency keys and cache keys.

use crate::ids::{RpcId, Us};
use crate::method::{Idempotency, Method};
use std::collections::BTreeMap;

/// Retained keys with their expiry and memory use.
pub struct IdempotencyKeys {
    /// Memory of one entry, in kB.
    pub(crate) entry_kb: f64,
    /// Time for which a read's answer may be used for equal reads; 0 for never.
    freshness: Us,
    expiry: BTreeMap<RpcId, Us>,
}

impl IdempotencyKeys {
    /// Creates an empty set. `entry_kb` is the memory of one entry in kB; `freshness` is the time for which a read's
    /// answer may be used for equal reads, 0 for never.
    pub fn new(entry_kb: f64, freshness: Us) -> IdempotencyKeys {
        IdempotencyKeys { entry_kb, freshness, expiry: BTreeMap::new() }
    }

    /// Returns how long the key of an RPC is to be retained; 0 for not at all. `serving_time` is in microseconds.
    pub(crate) fn retention(
        &self, method: &Method, cacheable: bool, unread_for: Us, serving_time: f64, step: Us,
    ) -> Us {
        match method.idempotency {
            Idempotency::Keyed => method.idempotency_window.saturating_sub(unread_for) + step,
            Idempotency::Idempotent if cacheable && self.freshness > 0 => serving_time as Us + self.freshness,
            _ => 0,
        }
    }

    pub(crate) fn retain(&mut self, id: RpcId, until: Us) {
        self.expiry.insert(id, until);
    }

    /// Removes the key of an RPC and reports whether it was retained.
    pub(crate) fn release(&mut self, id: RpcId) -> bool {
        self.expiry.remove(&id).is_some()
    }

    pub(crate) fn expire(&mut self, now: Us) {
        self.expiry.retain(|_, until| *until > now);
    }

    /// Returns the memory of all entries, in kB.
    pub(crate) fn used_kb(&self) -> f64 {
        self.expiry.len() as f64 * self.entry_kb
    }

    pub(crate) fn reconfigure(&mut self, other: &IdempotencyKeys) {
        (self.entry_kb, self.freshness) = (other.entry_kb, other.freshness);
    }
}
