//! Response cache: reads that are open or have recently ended ok, and whose result other RPCs may share.

use asterrill::{MethodId, RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of registered reads. Further reads are run without coalescing.
const MAX_ENTRIES: usize = 1024;

/// Key of a read; reads with the same key may share a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheKey {
    pub(crate) method: MethodId,
    /// Key given in the request.
    pub(crate) key: u64,
}

struct Entry<Body> {
    key: CacheKey,
    expires_at: Us,
    /// Result of the read; none until its run has ended ok.
    result: Option<Body>,
}

/// Index entry of a read, ordered by expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Us,
    id: RpcId,
}

/// Registered reads, indexed by id, expiry and key.
pub(crate) struct ResponseCache<Body> {
    entries: BTreeMap<RpcId, Entry<Body>>,
    by_expiry: BTreeSet<Expiry>,
    by_key: BTreeMap<CacheKey, RpcId>,
}

impl<Body> ResponseCache<Body> {
    pub(crate) fn new() -> ResponseCache<Body> {
        ResponseCache { entries: BTreeMap::new(), by_expiry: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// Returns the read with this key that is open or has a cached result.
    pub(crate) fn original(&self, key: CacheKey, now: Us) -> Option<RpcId> {
        let id = self.by_key.get(&key)?;
        self.entries.get(id).filter(|entry| entry.expires_at > now).map(|_| *id)
    }

    /// Reports whether a read with this id is registered.
    pub(crate) fn contains(&self, id: RpcId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Registers an open read as the one that later reads with the same key wait for, if there is capacity. A read that
    /// ended under the same id is removed.
    pub(crate) fn register(&mut self, key: CacheKey, id: RpcId) {
        self.remove(id);
        if self.entries.len() < MAX_ENTRIES {
            self.by_key.insert(key, id);
            self.entries.insert(id, Entry { key, expires_at: Us::MAX, result: None });
        }
    }

    /// Sets the time until which other reads may share the result of this one.
    pub(crate) fn retain_until(&mut self, id: RpcId, expires_at: Us) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.by_expiry.remove(&Expiry { at: entry.expires_at, id });
            entry.expires_at = expires_at;
            self.by_expiry.insert(Expiry { at: expires_at, id });
        }
    }

    /// Caches the result of a read that has ended, or removes the read if there is no result.
    pub(crate) fn complete(&mut self, id: RpcId, expires_at: Us, result: impl FnOnce() -> Option<Body>) {
        self.retain_until(id, expires_at);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.result = result();
        if entry.result.is_none() {
            self.remove(id);
        }
    }

    /// Returns the cached result of a read.
    pub(crate) fn result(&self, id: RpcId) -> Option<&Body> {
        self.entries.get(&id)?.result.as_ref()
    }

    /// Removes an entry from all indexes. Every removal goes through this function, so that the indexes stay
    /// consistent.
    pub(crate) fn remove(&mut self, id: RpcId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.by_expiry.remove(&Expiry { at: entry.expires_at, id });
            if self.by_key.get(&entry.key) == Some(&id) {
                self.by_key.remove(&entry.key);
            }
        }
    }

    /// Removes the reads that have ended. Open ones stay, because other RPCs may wait for them.
    pub(crate) fn remove_completed(&mut self) {
        let completed = self.entries.iter().filter(|(_, entry)| entry.result.is_some());
        let completed: Vec<RpcId> = completed.map(|(id, _)| *id).collect();
        for id in completed {
            self.remove(id);
        }
    }

    /// Removes expired entries.
    pub(crate) fn expire(&mut self, now: Us) {
        while let Some(expired) = self.by_expiry.first().copied().filter(|expiry| expiry.at <= now) {
            self.remove(expired.id);
        }
    }
}
