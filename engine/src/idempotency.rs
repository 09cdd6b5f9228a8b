//! RPCs by their idempotency keys: which attempt has run, or is about to, and with which result.
//!
//! An attempt is recorded once the decision module retains its key. It stays recorded for as long as a repeat may come,
//! counted from the arrival of the attempt that ran, and a little longer, as a repeat that arrived in time may be read
//! late. No record is dropped early: when the table is full, RPCs with new keys are rejected. Only results may be
//! evicted, the oldest first; the repeat of an RPC whose result is gone is aborted and never run.

use asterrill::{RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Keys recorded at a time, some 200 bytes each without their results.
const MAX_KEYS: usize = 16_384;
/// Added to the time in which a repeat may come, in microseconds: clocks round to milliseconds.
const CLOCK_MARGIN: Us = 100_000;

/// What all attempts of one RPC have in common, and no other RPC has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub [u8; 16]);

/// The attempt that is recorded for a key.
struct Entry {
    id: RpcId,
    /// Until when a repeat may arrive, in microseconds.
    repeats_until: Us,
    /// Once its run has ended: when the record expires, in microseconds.
    expires_at: Option<Us>,
    result: Option<Box<[u8]>>,
}

/// The place of an ended attempt in the order of expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Us,
    key: IdempotencyKey,
}

/// The recorded attempts, by key, by id and by expiry.
pub(crate) struct IdempotencyTable {
    entries: BTreeMap<IdempotencyKey, Entry>,
    by_id: BTreeMap<RpcId, IdempotencyKey>,
    /// Attempts whose runs have ended.
    by_expiry: BTreeSet<Expiry>,
    result_bytes: usize,
    max_result_bytes: usize,
    max_rpc_lifetime: Us,
}

impl IdempotencyTable {
    /// Retains at most `max_result_bytes` of results. An RPC may still be read `max_rpc_lifetime` after its arrival.
    pub(crate) fn new(max_result_bytes: usize, max_rpc_lifetime: Us) -> IdempotencyTable {
        IdempotencyTable {
            entries: BTreeMap::new(),
            by_id: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            result_bytes: 0,
            max_result_bytes,
            max_rpc_lifetime,
        }
    }

    /// Changes the limits, for what is recorded already and what comes. The lifetime never becomes shorter.
    pub(crate) fn set_limits(&mut self, max_result_bytes: usize, max_rpc_lifetime: Us) {
        self.max_result_bytes = max_result_bytes;
        self.max_rpc_lifetime = self.max_rpc_lifetime.max(max_rpc_lifetime);
    }

    /// The attempt that an RPC with this key repeats, if it arrived in time.
    pub(crate) fn original(&self, key: IdempotencyKey, arrived_at: Us) -> Option<RpcId> {
        let entry = self.entries.get(&key)?;
        let in_time = entry.expires_at.is_none() || arrived_at < entry.repeats_until;
        in_time.then_some(entry.id)
    }

    /// Whether no further key can be recorded.
    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= MAX_KEYS
    }

    /// Records the attempt that repeats wait for from now on: it is about to run, and repeats may arrive until then.
    pub(crate) fn record(&mut self, key: IdempotencyKey, id: RpcId, repeats_until: Us) {
        self.remove_key(key);
        let repeats_until = repeats_until + CLOCK_MARGIN;
        self.by_id.insert(id, key);
        self.entries.insert(key, Entry { id, repeats_until, expires_at: None, result: None });
    }

    /// The run of an attempt has ended, with a result if it was ok. Returns how many results were evicted for it.
    pub(crate) fn complete(&mut self, id: RpcId, result: Option<&[u8]>) -> u64 {
        let Some(key) = self.by_id.get(&id).copied() else { return 0 };
        let Some(entry) = self.entries.get_mut(&key) else { return 0 };
        let at = entry.repeats_until + self.max_rpc_lifetime;
        entry.expires_at = Some(at);
        self.by_expiry.insert(Expiry { at, key });
        let Some(result) = result.filter(|result| result.len() <= self.max_result_bytes) else { return 0 };
        entry.result = Some(result.into());
        self.result_bytes += result.len();
        self.evict_results()
    }

    /// Drops the oldest results until the rest fits. Returns how many were dropped.
    fn evict_results(&mut self) -> u64 {
        let mut evicted = 0;
        for oldest in &self.by_expiry {
            if self.result_bytes <= self.max_result_bytes {
                break;
            }
            if let Some(result) = self.entries.get_mut(&oldest.key).and_then(|entry| entry.result.take()) {
                self.result_bytes -= result.len();
                evicted += 1;
            }
        }
        evicted
    }

    /// The result of an attempt's run, while it is retained.
    pub(crate) fn result(&self, id: RpcId) -> Option<&[u8]> {
        self.entries.get(self.by_id.get(&id)?)?.result.as_deref()
    }

    /// Removes an attempt that never ran: it is as if it had not come.
    pub(crate) fn remove(&mut self, id: RpcId) {
        if let Some(key) = self.by_id.get(&id).copied() {
            self.remove_key(key);
        }
    }

    /// Removes what has expired.
    pub(crate) fn expire(&mut self, now: Us) {
        while let Some(expired) = self.by_expiry.first().copied().filter(|expiry| expiry.at <= now) {
            self.remove_key(expired.key);
        }
    }

    /// The one place where a record is removed from all indexes.
    fn remove_key(&mut self, key: IdempotencyKey) {
        let Some(entry) = self.entries.remove(&key) else { return };
        self.by_id.remove(&entry.id);
        if let Some(at) = entry.expires_at {
            self.by_expiry.remove(&Expiry { at, key });
        }
        self.result_bytes -= entry.result.map_or(0, |result| result.len());
    }
}
