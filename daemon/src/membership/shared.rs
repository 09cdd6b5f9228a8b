//! What the coroutines and the operators' threads share.

use crate::change::Reply;
use asterrill::Us;
use asterrill_consensus::Node;
use asterrill_membership::{role_policy, Membership, RolePolicy, Transmit};
use asterrill_net::Notify;
use slog::Logger;
use std::collections::{BTreeMap, VecDeque};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard};

/// What is behind the lock.
pub(super) struct MembershipState {
    /// The state machine of the membership protocol.
    pub(super) membership: Membership,
    /// Datagrams to send.
    pub(super) outgoing: VecDeque<Transmit>,
    /// This backend has left.
    pub(super) left: bool,
    /// The raft node, where lists are agreed on.
    pub(super) consensus: Option<Node>,
    /// Who waits for the outcome of a proposal, by its number.
    pub(super) proposers: BTreeMap<u64, SyncSender<Reply>>,
    /// Events that were not logged one by one.
    pub(super) unlogged_events: u64,
}

/// The membership of this backend and the lists that the backends agree on.
pub struct MembershipService {
    /// Locked for a moment only, never over a wait.
    pub(super) locked: Mutex<MembershipState>,
    /// Notified when there is something to do before the next wakeup.
    pub(super) wakeup: Notify,
    /// Numbers of a voter's writes that are durable, for the raft node.
    pub(super) durable_writes: Arc<Mutex<Vec<u64>>>,
    /// By how many members the settings divide what is shared.
    pub(super) expected_members: usize,
    /// A quota holds for so many microseconds after it was looked at last.
    pub(super) quota_lease: Us,
    /// The log.
    pub(super) log: Logger,
}

impl MembershipService {
    pub(super) fn lock(&self) -> MutexGuard<'_, MembershipState> {
        self.locked.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl MembershipState {
    /// What this backend may do in the present view.
    pub(super) fn role(&self, expected_members: usize) -> RolePolicy {
        let membership = &self.membership;
        let fraction = membership.quota_fraction();
        role_policy(membership.view(), fraction, expected_members, membership.agreed_size())
    }
}
