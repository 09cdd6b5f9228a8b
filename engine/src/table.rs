//! Table of open RPCs, indexed by id, by requester, and by the RPC whose result they wait for.

use crate::rpc::{OpenRpc, RpcState};
use asterrill::RpcId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeBounds;

/// Index entry of an RPC that waits for the result of another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Coalescing {
    original: RpcId,
    follower: RpcId,
}

/// Open RPCs and their indexes.
pub(crate) struct RpcTable<ReplyTo, Body> {
    open: BTreeMap<RpcId, OpenRpc<ReplyTo, Body>>,
    unanswered: BTreeMap<ReplyTo, RpcId>,
    coalesced: BTreeSet<Coalescing>,
}

impl<ReplyTo: Copy + Ord, Body> RpcTable<ReplyTo, Body> {
    pub(crate) fn new() -> RpcTable<ReplyTo, Body> {
        RpcTable { open: BTreeMap::new(), unanswered: BTreeMap::new(), coalesced: BTreeSet::new() }
    }

    /// Adds an RPC that awaits its answer.
    pub(crate) fn insert(&mut self, rpc: OpenRpc<ReplyTo, Body>) {
        self.unanswered.insert(rpc.reply_to, rpc.request.id);
        self.open.insert(rpc.request.id, rpc);
    }

    /// Removes an RPC from the table and its indexes. Returns false if it was not in the table. No other function
    /// removes an RPC, so that the indexes stay consistent.
    pub(crate) fn remove(&mut self, id: RpcId) -> bool {
        let Some(rpc) = self.open.remove(&id) else { return false };
        self.coalesced.remove(&Coalescing { original: rpc.original.unwrap_or(id), follower: id });
        true
    }

    pub(crate) fn contains(&self, id: RpcId) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RpcId) -> Option<&OpenRpc<ReplyTo, Body>> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RpcId) -> Option<&mut OpenRpc<ReplyTo, Body>> {
        self.open.get_mut(&id)
    }

    pub(crate) fn state(&self, id: RpcId) -> Option<RpcState> {
        self.open.get(&id).map(|rpc| rpc.state)
    }

    /// Returns the number of open RPCs.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Iterates over all open RPCs in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenRpc<ReplyTo, Body>> {
        self.open.values()
    }

    /// Returns the RPC whose answer this requester awaits.
    pub(crate) fn unanswered(&self, reply_to: ReplyTo) -> Option<RpcId> {
        self.unanswered.get(&reply_to).copied()
    }

    /// Removes the requester from those that await an answer. Returns the RPC that it waited for.
    pub(crate) fn remove_unanswered(&mut self, reply_to: ReplyTo) -> Option<RpcId> {
        self.unanswered.remove(&reply_to)
    }

    /// Returns the number of requesters that await an answer.
    pub(crate) fn unanswered_count(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the requesters in a range that await an answer.
    pub(crate) fn unanswered_in(&self, range: impl RangeBounds<ReplyTo>) -> impl Iterator<Item = &ReplyTo> {
        self.unanswered.range(range).map(|(reply_to, _)| reply_to)
    }

    /// Makes an RPC wait for the result of its original.
    pub(crate) fn coalesce(&mut self, follower: RpcId, original: RpcId) {
        self.coalesced.insert(Coalescing { original, follower });
        if let Some(rpc) = self.open.get_mut(&follower) {
            rpc.state = RpcState::Coalesced;
        }
    }

    /// Returns a coalesced RPC to the queue. Returns false if it was not coalesced.
    pub(crate) fn uncoalesce(&mut self, follower: RpcId) -> bool {
        let rpc = self.open.get_mut(&follower).filter(|rpc| rpc.state == RpcState::Coalesced);
        let Some(rpc) = rpc else { return false };
        rpc.state = RpcState::Queued;
        let original = rpc.original.unwrap_or(follower);
        self.coalesced.remove(&Coalescing { original, follower });
        true
    }

    /// Returns the RPCs that wait for the result of this one.
    pub(crate) fn followers(&self, original: RpcId) -> Vec<RpcId> {
        let first = Coalescing { original, follower: RpcId::MIN };
        let last = Coalescing { original, follower: RpcId::MAX };
        self.coalesced.range(first..=last).map(|coalescing| coalescing.follower).collect()
    }
}
