//! Tokened RPCs by their tokens: which try has run, or is about to, and what its run made.
//!
//! A try is recorded once the module keeps its key, and stays known for as long as a repeat may come, reckoned from the
//! arrival of the try that ran, and a little longer, as a repeat that arrived in time may be read late. What is known
//! is never dropped early: at the bound new tokened RPCs are not taken. Only results may be, the oldest first; whoever
//! repeats an RPC whose result is gone is aborted, never run.

use asterrill::{RpcId, Us};
use std::collections::{BTreeMap, BTreeSet};

const MOST: usize = 16_384; // tries known at a time, some 200 bytes each without their results
const EDGE: Us = 100_000; // beyond the window: clocks round to milliseconds, and limits have slack

/// The idempotency key of a tokened RPC, by which a repeat is known: the same for all tries of one RPC, and for nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(pub [u8; 16]);

struct Entry {
    id: RpcId,
    until: Us,
    /// Once its run is over: when it is forgotten.
    ends: Option<Us>,
    result: Option<Box<[u8]>>,
}

/// The table of them, by token, by id, and by when each may be forgotten.
pub(crate) struct IdempotencyKeys {
    of: BTreeMap<IdempotencyKey, Entry>,
    by_id: BTreeMap<RpcId, IdempotencyKey>,
    /// Those whose runs are over.
    ends: BTreeSet<(Us, IdempotencyKey)>,
    bytes: usize, // of results
    most: usize,  // the same, at the most
    linger: Us,
}

impl IdempotencyKeys {
    /// `most`: bytes of results; `linger`: how long after its arrival an RPC may still be read.
    pub(crate) fn new(most: usize, linger: Us) -> IdempotencyKeys {
        let (of, by_id, ends) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        IdempotencyKeys { of, by_id, ends, bytes: 0, most, linger }
    }
    /// From now on, for what is known already and what comes.
    pub(crate) fn bounds(&mut self, most: usize, linger: Us) {
        self.most = most;
        self.linger = self.linger.max(linger);
    }

    /// The try that an RPC with this token repeats, which arrived then.
    pub(crate) fn prior(&self, token: IdempotencyKey, arrived: Us) -> Option<RpcId> {
        self.of
            .get(&token)
            .filter(|entry| entry.ends.is_none() || arrived < entry.until)
            .map(|entry| entry.id)
    }
    /// There is no room for another.
    pub(crate) fn full(&self) -> bool {
        self.of.len() >= MOST
    }

    /// The try that repeats wait for from now on: it is about to run, and may come again until then.
    pub(crate) fn record(&mut self, token: IdempotencyKey, id: RpcId, until: Us) {
        self.remove(token);
        self.by_id.insert(id, token);
        self.of.insert(token, Entry { id, until: until + EDGE, ends: None, result: None });
    }

    /// The run of a try is over, for good or ill. Hands back how many results had to go for this one.
    pub(crate) fn ended(&mut self, id: RpcId, result: Option<&[u8]>) -> u64 {
        let Some(token) = self.by_id.get(&id) else { return 0 };
        let Some(entry) = self.of.get_mut(token) else { return 0 };
        let at = entry.until + self.linger;
        entry.ends = Some(at);
        self.ends.insert((at, *token));
        let Some(result) = result.filter(|result| result.len() <= self.most) else { return 0 };
        entry.result = Some(result.into());
        self.bytes += result.len();
        let mut dropped = 0;
        for (_, oldest) in &self.ends {
            if self.bytes <= self.most {
                break;
            }
            if let Some(gone) = self.of.get_mut(oldest).and_then(|entry| entry.result.take()) {
                self.bytes -= gone.len();
                dropped += 1;
            }
        }
        dropped
    }

    /// What the run of a try made, while that is known.
    pub(crate) fn result(&self, id: RpcId) -> Option<&[u8]> {
        self.of.get(self.by_id.get(&id)?)?.result.as_deref()
    }

    /// A try that never ran: it is as if it had not come.
    pub(crate) fn forget(&mut self, id: RpcId) {
        if let Some(token) = self.by_id.get(&id).copied() {
            self.remove(token);
        }
    }

    pub(crate) fn forget_until(&mut self, now: Us) {
        while let Some((_, token)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(token);
        }
    }

    /// The one place where what is known is given back.
    fn remove(&mut self, token: IdempotencyKey) {
        let Some(entry) = self.of.remove(&token) else { return };
        self.by_id.remove(&entry.id);
        if let Some(at) = entry.ends {
            self.ends.remove(&(at, token));
        }
        self.bytes -= entry.result.map_or(0, |result| result.len());
    }
}
