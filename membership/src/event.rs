//! Events that a member reports to its caller.

use crate::member::StatusReason;
use crate::member_name::MemberName;
use crate::view::{View, ViewEvidence};
use asterrill::Us;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of queued events; beyond it the oldest are dropped.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Change in this member's state or in what it knows of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined, or is alive again.
    Alive {
        /// Name of the member.
        name: MemberName,
        /// Address at which the member is reached.
        addr: SocketAddr,
        /// Generation of the member's process.
        generation: u64,
    },
    /// A member is suspected because of this member's own probes or of gossip.
    Suspect {
        /// Name of the member.
        name: MemberName,
        /// Reason for the suspicion.
        reason: StatusReason,
    },
    /// A member was declared dead.
    Dead {
        /// Name of the member.
        name: MemberName,
    },
    /// A member announced that it leaves.
    Left {
        /// Name of the member.
        name: MemberName,
    },
    /// A member died and returned so often that it does not count for the view.
    Flapping {
        /// Name of the member.
        name: MemberName,
    },
    /// A flapping member is stable and counts for the view again.
    Stable {
        /// Name of the member.
        name: MemberName,
    },
    /// Another process uses this member's name. The one that started later remains a member.
    DuplicateName {
        /// Address of the other process.
        addr: SocketAddr,
        /// True if the other process started later, so that this one ignores all further input.
        displaced: bool,
    },
    /// The other members had declared this one dead, and it rejoined with the next incarnation.
    Rejoined,
    /// This process was paused or had no CPU time.
    Paused {
        /// Duration of the pause in microseconds.
        duration: Us,
    },
    /// The view has changed.
    ViewChanged {
        /// New view.
        view: View,
        /// Evidence for the new view.
        evidence: ViewEvidence,
    },
    /// This member's leased fraction of the divided limits has changed.
    QuotaChanged {
        /// New fraction in thousandths, 0 to 1000.
        per_mille: u32,
    },
}

/// Bounded queue of events that the caller has not taken yet.
#[derive(Default)]
pub(crate) struct EventQueue(VecDeque<Event>);

impl EventQueue {
    pub(crate) fn push(&mut self, event: Event) {
        if self.0.len() >= MAX_QUEUED_EVENTS {
            self.0.pop_front();
        }
        self.0.push_back(event);
    }

    pub(crate) fn take(&mut self) -> Vec<Event> {
        self.0.drain(..).collect()
    }
}
