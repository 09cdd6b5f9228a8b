//! The table of open RPCs: by id, by who waits for their answers, and by the RPC whose result they wait for.

use crate::rpc::{OpenRpc, RpcState};
use asterrill::RpcId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeBounds;

/// An RPC that waits for the result of another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Coalescing {
    original: RpcId,
    follower: RpcId,
}

/// All open RPCs and their indexes.
pub(crate) struct RpcTable<ReplyTo, Body> {
    open: BTreeMap<RpcId, OpenRpc<ReplyTo, Body>>,
    unanswered: BTreeMap<ReplyTo, RpcId>,
    coalesced: BTreeSet<Coalescing>,
}

impl<ReplyTo: Copy + Ord, Body> RpcTable<ReplyTo, Body> {
    pub(crate) fn new() -> RpcTable<ReplyTo, Body> {
        RpcTable { open: BTreeMap::new(), unanswered: BTreeMap::new(), coalesced: BTreeSet::new() }
    }

    /// Adds an RPC whose answer is due.
    pub(crate) fn insert(&mut self, rpc: OpenRpc<ReplyTo, Body>) {
        self.unanswered.insert(rpc.reply_to, rpc.request.id);
        self.open.insert(rpc.request.id, rpc);
    }

    /// The one place where an RPC leaves the table; false if it was not in it.
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

    /// Open RPCs.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// All open RPCs, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenRpc<ReplyTo, Body>> {
        self.open.values()
    }

    /// The RPC whose answer is due to this requester.
    pub(crate) fn unanswered(&self, reply_to: ReplyTo) -> Option<RpcId> {
        self.unanswered.get(&reply_to).copied()
    }

    /// No answer is due to this requester any more; returns the RPC that it was due for.
    pub(crate) fn remove_unanswered(&mut self, reply_to: ReplyTo) -> Option<RpcId> {
        self.unanswered.remove(&reply_to)
    }

    /// Answers due.
    pub(crate) fn unanswered_count(&self) -> usize {
        self.unanswered.len()
    }

    /// The requesters in a range to whom an answer is due.
    pub(crate) fn unanswered_in(&self, range: impl RangeBounds<ReplyTo>) -> impl Iterator<Item = &ReplyTo> {
        self.unanswered.range(range).map(|(reply_to, _)| reply_to)
    }

    /// Lets an RPC wait for the result of its original.
    pub(crate) fn coalesce(&mut self, follower: RpcId, original: RpcId) {
        self.coalesced.insert(Coalescing { original, follower });
        if let Some(rpc) = self.open.get_mut(&follower) {
            rpc.state = RpcState::Coalesced;
        }
    }

    /// Queues an RPC that waited for its original; false if it did not wait.
    pub(crate) fn uncoalesce(&mut self, follower: RpcId) -> bool {
        let rpc = self.open.get_mut(&follower).filter(|rpc| rpc.state == RpcState::Coalesced);
        let Some(rpc) = rpc else { return false };
        rpc.state = RpcState::Queued;
        let original = rpc.original.unwrap_or(follower);
        self.coalesced.remove(&Coalescing { original, follower });
        true
    }

    /// The RPCs that wait for the result of this one.
    pub(crate) fn followers(&self, original: RpcId) -> Vec<RpcId> {
        let first = Coalescing { original, follower: RpcId::MIN };
        let last = Coalescing { original, follower: RpcId::MAX };
        self.coalesced.range(first..=last).map(|coalescing| coalescing.follower).collect()
    }
}
