//! What a member reports to the program around it.

use crate::member::StatusReason;
use crate::member_name::MemberName;
use crate::view::{View, ViewEvidence};
use asterrill::Us;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Events that wait to be taken; beyond it the oldest are dropped.
const MAX_QUEUED_EVENTS: usize = 1024;

/// A change in this member's picture of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined, or is alive again.
    Alive {
        /// Who it is.
        name: MemberName,
        /// Where it is reached.
        addr: SocketAddr,
        /// Which of its process starts it is.
        generation: u64,
    },
    /// A member is suspected, by this member's own probes or by gossip.
    Suspect {
        /// Who it is.
        name: MemberName,
        /// Why.
        reason: StatusReason,
    },
    /// A member was declared dead.
    Dead {
        /// Who it is.
        name: MemberName,
    },
    /// A member announced that it leaves.
    Left {
        /// Who it is.
        name: MemberName,
    },
    /// A member dies and comes back so often that it does not count for the view.
    Flapping {
        /// Who it is.
        name: MemberName,
    },
    /// A member that flapped is stable and counts again.
    Stable {
        /// Who it is.
        name: MemberName,
    },
    /// Another process uses this member's name. The later start stays.
    DuplicateName {
        /// Where the other process is reached.
        addr: SocketAddr,
        /// The other one is the later start: this process takes no further part.
        displaced: bool,
    },
    /// The others had declared this member dead; it rejoined with the next incarnation.
    Rejoined,
    /// This process was paused or starved of CPU time.
    Paused {
        /// For how long, in microseconds.
        duration: Us,
    },
    /// The view has changed.
    ViewChanged {
        /// The new view.
        view: View,
        /// On what it rests.
        evidence: ViewEvidence,
    },
    /// This member's leased fraction of the divided limits has changed.
    QuotaChanged {
        /// The new fraction in thousandths, 0 to 1000.
        per_mille: u32,
    },
}

/// Events that wait to be taken.
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
