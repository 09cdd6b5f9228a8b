//! Reads whose result may serve others: open, or ended ok a short while ago.

use asterrill::{MethodId, RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Reads registered at a time; a read beyond this is run by itself.
const MAX_ENTRIES: usize = 1024;

/// What a read is about: reads with one key may share a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheKey {
    pub(crate) method: MethodId,
    /// The key that the request came with.
    pub(crate) key: u64,
}

struct Entry<Body> {
    key: CacheKey,
    expires_at: Us,
    /// Once its run has ended ok.
    result: Option<Body>,
}

/// The place of an entry in the order of expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Us,
    id: RpcId,
}

/// The registered reads, by id, by expiry and by key.
pub(crate) struct ResponseCache<Body> {
    entries: BTreeMap<RpcId, Entry<Body>>,
    by_expiry: BTreeSet<Expiry>,
    by_key: BTreeMap<CacheKey, RpcId>,
}

impl<Body> ResponseCache<Body> {
    pub(crate) fn new() -> ResponseCache<Body> {
        ResponseCache { entries: BTreeMap::new(), by_expiry: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// The read with this key that is open or ended ok a short while ago.
    pub(crate) fn original(&self, key: CacheKey, now: Us) -> Option<RpcId> {
        let id = self.by_key.get(&key)?;
        self.entries.get(id).filter(|entry| entry.expires_at > now).map(|_| *id)
    }

    /// Makes an open read the one that others of its key wait for, if there is capacity.
    pub(crate) fn register(&mut self, key: CacheKey, id: RpcId) {
        if self.entries.len() < MAX_ENTRIES {
            self.by_key.insert(key, id);
            self.entries.insert(id, Entry { key, expires_at: Us::MAX, result: None });
        }
    }

    /// Sets when a read stops to serve others.
    pub(crate) fn retain_until(&mut self, id: RpcId, expires_at: Us) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.by_expiry.remove(&Expiry { at: entry.expires_at, id });
            entry.expires_at = expires_at;
            self.by_expiry.insert(Expiry { at: expires_at, id });
        }
    }

    /// A read has ended: its result is cached, or it serves nobody.
    pub(crate) fn complete(&mut self, id: RpcId, expires_at: Us, result: impl FnOnce() -> Option<Body>) {
        self.retain_until(id, expires_at);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.result = result();
        if entry.result.is_none() {
            self.remove(id);
        }
    }

    /// The cached result of a read.
    pub(crate) fn result(&self, id: RpcId) -> Option<&Body> {
        self.entries.get(&id)?.result.as_ref()
    }

    /// The one place where an entry is removed from all indexes.
    pub(crate) fn remove(&mut self, id: RpcId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.by_expiry.remove(&Expiry { at: entry.expires_at, id });
            if self.by_key.get(&entry.key) == Some(&id) {
                self.by_key.remove(&entry.key);
            }
        }
    }

    /// Removes the reads that have ended; others may still wait for those that are open.
    pub(crate) fn remove_completed(&mut self) {
        let completed = self.entries.iter().filter(|(_, entry)| entry.result.is_some());
        let completed: Vec<RpcId> = completed.map(|(id, _)| *id).collect();
        for id in completed {
            self.remove(id);
        }
    }

    /// Removes what has expired.
    pub(crate) fn expire(&mut self, now: Us) {
        while let Some(expired) = self.by_expiry.first().copied().filter(|expiry| expiry.at <= now) {
            self.remove(expired.id);
        }
    }
}
