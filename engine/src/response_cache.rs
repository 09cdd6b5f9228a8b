//! Reads that may serve others: open, or ended ok a short while ago with their result.

use asterrill::{MethodId, RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

/// Results kept at a time; a read beyond it is run by itself.
const MOST: usize = 1024;

/// What a read is about: reads of one key may share a result.
pub(crate) type Key = (MethodId, u64);

struct Entry<B> {
    key: Key,
    until: Us,
    result: Option<B>,
}

/// The table of them, by id, by moment and by key.
pub(crate) struct Kept<B> {
    of: BTreeMap<RpcId, Entry<B>>,
    until: BTreeSet<(Us, RpcId)>,
    by_key: BTreeMap<Key, RpcId>,
}

impl<B> Kept<B> {
    pub(crate) fn new() -> Kept<B> {
        Kept { of: BTreeMap::new(), until: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// The read with this key that is open, or ended ok not long ago.
    pub(crate) fn prior(&self, key: Key, now: Us) -> Option<RpcId> {
        let id = self.by_key.get(&key)?;
        self.of.get(id).filter(|kept| kept.until > now).map(|_| *id)
    }

    /// From now on this read is the one that others may wait for, if there is room.
    pub(crate) fn offer(&mut self, key: Key, id: RpcId) {
        if self.of.len() < MOST {
            self.by_key.insert(key, id);
            self.of.insert(id, Entry { key, until: Us::MAX, result: None });
        }
    }

    pub(crate) fn keep_until(&mut self, id: RpcId, until: Us) {
        if let Some(kept) = self.of.get_mut(&id) {
            self.until.remove(&(kept.until, id));
            kept.until = until;
            self.until.insert((until, id));
        }
    }

    /// A read has ended: its result is kept, or it serves nobody.
    pub(crate) fn ended(&mut self, id: RpcId, until: Us, result: impl FnOnce() -> Option<B>) {
        self.keep_until(id, until);
        let Some(kept) = self.of.get_mut(&id) else { return };
        kept.result = result();
        if kept.result.is_none() {
            self.forget(id);
        }
    }

    pub(crate) fn result(&self, id: RpcId) -> Option<&B> {
        self.of.get(&id)?.result.as_ref()
    }

    /// The one place where what is kept is given back.
    pub(crate) fn forget(&mut self, id: RpcId) {
        if let Some(kept) = self.of.remove(&id) {
            self.until.remove(&(kept.until, id));
            if self.by_key.get(&kept.key) == Some(&id) {
                self.by_key.remove(&kept.key);
            }
        }
    }

    /// Forgets what has ended; what goes on may still be waited for.
    pub(crate) fn forget_ended(&mut self) {
        let ended = self.of.iter().filter(|(_, kept)| kept.result.is_some());
        let ended: Vec<RpcId> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.forget(id));
    }

    pub(crate) fn forget_until(&mut self, now: Us) {
        while let Some((_, id)) = self.until.first().copied().filter(|(until, _)| *until <= now) {
            self.forget(id);
        }
    }
}
