//! State shared by the coroutines of the service and the threads of the control socket.

use crate::change::Reply;
use asterrill::Us;
use asterrill_consensus::Node;
use asterrill_membership::{role_policy, Membership, RolePolicy, Transmit};
use asterrill_net::Notify;
use slog::Logger;
use std::collections::{BTreeMap, VecDeque};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, MutexGuard};

/// State behind the lock.
pub(super) struct MembershipState {
    /// State machine of the membership protocol.
    pub(super) membership: Membership,
    /// Datagrams to send.
    pub(super) outgoing: VecDeque<Transmit>,
    /// Whether this backend has left the cluster.
    pub(super) left: bool,
    /// Raft node, if agreement on lists is configured.
    pub(super) consensus: Option<Node>,
    /// Channels that wait for the outcome of a proposal, by its number.
    pub(super) proposers: BTreeMap<u64, SyncSender<Reply>>,
    /// Number of events that were counted instead of logged.
    pub(super) unlogged_events: u64,
}

/// Membership of this backend, and the lists that the backends agree on.
pub struct MembershipService {
    /// State of the service. The lock is held briefly and never during a wait.
    pub(super) state: Mutex<MembershipState>,
    /// Notification of work that is due before the next wakeup.
    pub(super) wakeup: Notify,
    /// Numbers of the voter's writes that are durable but not yet reported to the raft node.
    pub(super) durable_writes: Arc<Mutex<Vec<u64>>>,
    /// Number of members among which the settings divide the shared limits.
    pub(super) expected_members: usize,
    /// Duration for which a quota is valid after its last renewal, in microseconds.
    pub(super) quota_lease: Us,
    /// Logger.
    pub(super) log: Logger,
}

impl MembershipService {
    pub(super) fn lock(&self) -> MutexGuard<'_, MembershipState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl MembershipState {
    /// Returns the policy of this backend in the current view.
    pub(super) fn role(&self, expected_members: usize) -> RolePolicy {
        let membership = &self.membership;
        let fraction = membership.quota_fraction();
        role_policy(membership.view(), fraction, expected_members, membership.agreed_size())
    }
}
