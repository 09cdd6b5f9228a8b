//! Table of idempotency keys: the attempt that has run or is about to run for each key, and its result.
//!
//! An attempt is recorded once the decision module retains its key. The record is kept for as long as a retry may
//! arrive, counted from the arrival of the attempt that ran, and for the lifetime of an RPC beyond that, because a
//! retry that arrived in time may be read late. No record is dropped early: when the table is full, RPCs with new keys
//! are rejected. Only results may be evicted, the oldest first; a retry of an RPC whose result was evicted is aborted
//! and never run.
//!
//! A change of the settings may raise the idempotency window of a method. The window in force then also holds for
//! attempts that ran before the change, whether or not their records had expired. For this, the arrivals of expired
//! attempts are kept while the table has room, and a retry within the raised window is aborted. Once some of them had to
//! be forgotten, so is every RPC whose window reaches back to their arrival.

use crate::expired_attempts::ExpiredAttempts;
use asterrill::{MethodId, RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of recorded keys, with those of expired attempts. Each takes about 200 bytes without its result.
const MAX_KEYS: usize = 16_384;
/// Margin added to the time in which a retry may arrive, because clocks round to milliseconds.
const CLOCK_MARGIN_US: Us = 100_000;

/// Key that identifies an RPC across all of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub [u8; 16]);

/// What is known about an earlier attempt of an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlierAttempt {
    /// No earlier attempt has run within the window.
    None,
    /// This attempt has run or is about to run.
    Recorded(RpcId),
    /// An earlier attempt has run or may have run, and its record has expired.
    Expired,
}

/// Attempt that is about to run.
pub(crate) struct Attempt {
    pub(crate) id: RpcId,
    pub(crate) method: MethodId,
    /// Time of arrival, in microseconds.
    pub(crate) arrived_at: Us,
    /// Time until which a retry may arrive under the settings of the attempt, in microseconds.
    pub(crate) retries_until: Us,
}

/// Attempt recorded for a key.
struct Entry {
    attempt: Attempt,
    /// Arrival of an expired attempt with the same key that ran before, if there was one.
    superseded_arrival: Option<Us>,
    /// Time at which the record expires, in microseconds; none until the run has ended.
    expires_at: Option<Us>,
    result: Option<Box<[u8]>>,
}

/// Index entry of an ended attempt, ordered by expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Us,
    key: IdempotencyKey,
}

/// Recorded attempts, indexed by key, id and expiry.
pub(crate) struct IdempotencyTable {
    entries: BTreeMap<IdempotencyKey, Entry>,
    by_id: BTreeMap<RpcId, IdempotencyKey>,
    /// Attempts whose run has ended.
    by_expiry: BTreeSet<Expiry>,
    expired: ExpiredAttempts,
    result_bytes: usize,
    max_result_bytes: usize,
    max_rpc_lifetime: Us,
}

impl IdempotencyTable {
    /// Creates an empty table that retains at most `max_result_bytes` of results. `max_rpc_lifetime` is the longest
    /// time between the arrival of an RPC and its being read.
    pub(crate) fn new(max_result_bytes: usize, max_rpc_lifetime: Us) -> IdempotencyTable {
        IdempotencyTable {
            entries: BTreeMap::new(),
            by_id: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            expired: ExpiredAttempts::default(),
            result_bytes: 0,
            max_result_bytes,
            max_rpc_lifetime,
        }
    }

    /// Changes the limits for existing and future records. The lifetime never becomes shorter.
    pub(crate) fn set_limits(&mut self, max_result_bytes: usize, max_rpc_lifetime: Us) {
        self.max_result_bytes = max_result_bytes;
        self.max_rpc_lifetime = self.max_rpc_lifetime.max(max_rpc_lifetime);
    }

    /// Returns what is known about an earlier attempt with this key for an RPC that arrived at `arrived_at`. `window` is
    /// the idempotency window in force for its method, in microseconds.
    pub(crate) fn earlier_attempt(&self, key: IdempotencyKey, arrived_at: Us, window: Us) -> EarlierAttempt {
        if let Some(entry) = self.entries.get(&key) {
            if entry.expires_at.is_none() || arrived_at < entry.attempt.retries_until_under(window) {
                return EarlierAttempt::Recorded(entry.attempt.id);
            }
        }
        if self.expired.may_be_repeated_by(key, arrived_at, window + CLOCK_MARGIN_US) {
            return EarlierAttempt::Expired;
        }
        EarlierAttempt::None
    }

    /// Reports whether an attempt with this id is recorded.
    pub(crate) fn contains(&self, id: RpcId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Reports whether no further key can be recorded.
    pub(crate) fn is_full(&self) -> bool {
        self.entries.len() >= MAX_KEYS
    }

    /// Records an attempt that is about to run. Retries that arrive until its `retries_until` wait for it.
    pub(crate) fn record(&mut self, key: IdempotencyKey, mut attempt: Attempt) {
        let superseded_arrival = self.remove_key(key).or_else(|| self.expired.remove(key));
        attempt.retries_until += CLOCK_MARGIN_US;
        self.by_id.insert(attempt.id, key);
        self.entries.insert(key, Entry { attempt, superseded_arrival, expires_at: None, result: None });
        self.limit_expired();
    }

    /// Records the end of an attempt's run, with a result if it was ok. Returns the number of results that were evicted
    /// to make room.
    pub(crate) fn complete(&mut self, id: RpcId, result: Option<&[u8]>) -> u64 {
        let Some(key) = self.by_id.get(&id).copied() else { return 0 };
        let Some(entry) = self.entries.get_mut(&key) else { return 0 };
        let at = entry.attempt.retries_until + self.max_rpc_lifetime;
        entry.expires_at = Some(at);
        self.by_expiry.insert(Expiry { at, key });
        let Some(result) = result.filter(|result| result.len() <= self.max_result_bytes) else { return 0 };
        entry.result = Some(result.into());
        self.result_bytes += result.len();
        self.evict_results()
    }

    /// Evicts the oldest results until the rest fits. Returns the number of evicted results.
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

    /// Returns the result of an attempt's run, while it is retained.
    pub(crate) fn result(&self, id: RpcId) -> Option<&[u8]> {
        self.entries.get(self.by_id.get(&id)?)?.result.as_deref()
    }

    /// Removes an attempt that never ran, so that a retry counts as a new RPC.
    pub(crate) fn remove(&mut self, id: RpcId) {
        let Some(key) = self.by_id.get(&id).copied() else { return };
        let superseded_arrival = self.entries.get(&key).and_then(|entry| entry.superseded_arrival);
        self.remove_key(key);
        if let Some(arrived_at) = superseded_arrival {
            self.expired.insert(key, arrived_at);
        }
    }

    /// Expires the records whose retries have all been read. `window` returns the idempotency window in force for a
    /// method; a record is kept until that window is over as well.
    pub(crate) fn expire(&mut self, now: Us, window: impl Fn(MethodId) -> Us) {
        while let Some(due) = self.by_expiry.first().copied().filter(|expiry| expiry.at <= now) {
            let Some(entry) = self.entries.get_mut(&due.key) else { return };
            let window = window(entry.attempt.method);
            let at = entry.attempt.retries_until_under(window) + self.max_rpc_lifetime;
            if at > now {
                entry.expires_at = Some(at);
                self.by_expiry.remove(&due);
                self.by_expiry.insert(Expiry { at, key: due.key });
            } else if let Some(arrived_at) = self.remove_key(due.key) {
                self.expired.insert(due.key, arrived_at);
            }
        }
    }

    /// Forgets the oldest expired attempts until the rest fits into the table.
    fn limit_expired(&mut self) {
        self.expired.truncate(MAX_KEYS.saturating_sub(self.entries.len()));
    }

    /// Removes a record from all indexes, and returns the arrival of its attempt. Every removal goes through this
    /// function, so that the indexes stay consistent.
    fn remove_key(&mut self, key: IdempotencyKey) -> Option<Us> {
        let entry = self.entries.remove(&key)?;
        self.by_id.remove(&entry.attempt.id);
        if let Some(at) = entry.expires_at {
            self.by_expiry.remove(&Expiry { at, key });
        }
        self.result_bytes -= entry.result.map_or(0, |result| result.len());
        Some(entry.attempt.arrived_at)
    }
}

impl Attempt {
    /// Returns the time until which a retry may arrive if the idempotency window in force is `window`. It is never
    /// earlier than under the settings of the attempt.
    fn retries_until_under(&self, window: Us) -> Us {
        self.retries_until.max(self.arrived_at + window + CLOCK_MARGIN_US)
    }
}
