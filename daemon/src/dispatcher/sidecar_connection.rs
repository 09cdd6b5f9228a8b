//! State of a sidecar connection, and its usefulness while it is idle.

use super::partial_message::PartialMessage;
use asterrill::Us;
use asterrill_net::Outbox;

/// Time within which a new connection is expected to send its first frame, in microseconds.
const NEW_CONNECTION_TIME_US: Us = 100_000;
/// Idle time after which a connection may be closed when free slots are scarce, in microseconds.
const IDLE_TIME_WHEN_SCARCE_US: Us = 1_000_000;

/// State of a sidecar connection.
pub(super) struct SidecarConnectionState {
    /// The bytes to be written to it.
    pub(super) out: Outbox,
    /// The time at which it was accepted.
    pub(super) opened_at: Us,
    /// Whether a complete frame has been received on it.
    pub(super) has_received_frame: bool,
    /// The part of a frame that has been received.
    pub(super) partial: PartialMessage,
    /// The time at which the sidecar was asked to close it.
    pub(super) goaway_sent_at: Option<Us>,
    /// Whether it is being closed to free its slot for another connection.
    pub(super) evicted: bool,
}

/// Usefulness of an idle connection, in ascending order; the least useful are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleClass {
    /// No frame was received, although there was time to send one.
    Silent,
    /// Frames were received, but no run was completed for any of its RPCs.
    Unverified,
    /// It was opened recently, and its first frame may be in transit.
    New,
    /// It belongs to a sidecar that the agent knows, whose next RPC may be in transit.
    Verified,
}

impl SidecarConnectionState {
    /// Creates the state of a connection accepted at `now`.
    pub(super) fn new(out: Outbox, now: Us) -> SidecarConnectionState {
        SidecarConnectionState {
            out,
            opened_at: now,
            has_received_frame: false,
            partial: PartialMessage::default(),
            goaway_sent_at: None,
            evicted: false,
        }
    }

    /// Returns its usefulness. `verified` tells whether a run was completed for an RPC of this connection.
    pub(super) fn idle_class(&self, verified: bool, now: Us) -> IdleClass {
        match (self.has_received_frame, verified) {
            (false, _) if self.opened_at + NEW_CONNECTION_TIME_US < now => IdleClass::Silent,
            (true, false) => IdleClass::Unverified,
            (false, _) => IdleClass::New,
            (true, true) => IdleClass::Verified,
        }
    }

    /// Reports whether it has been idle for long enough to be closed when free slots are scarce.
    pub(super) fn is_idle_when_scarce(&self, now: Us) -> bool {
        let limit = if self.has_received_frame { IDLE_TIME_WHEN_SCARCE_US } else { NEW_CONNECTION_TIME_US };
        self.last_used() + limit < now
    }

    /// Returns the time at which it last carried data, or was opened.
    pub(super) fn last_used(&self) -> Us {
        self.out.last_used().max(self.opened_at)
    }
}
