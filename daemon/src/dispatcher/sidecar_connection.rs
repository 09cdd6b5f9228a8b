//! What is recorded of one sidecar connection.

use asterrill::Us;
use asterrill_net::Outbox;

/// Microseconds in which a new connection may be about to send its first frame.
const NEW_CONNECTION_TIME_US: Us = 100_000;
/// Microseconds of idleness after which a connection may be closed to free its slot.
const IDLE_TIME_WHEN_SCARCE_US: Us = 1_000_000;

/// A sidecar's connection.
pub(super) struct SidecarConnectionState {
    /// What is to be written to it.
    pub(super) out: Outbox,
    /// When it was accepted.
    pub(super) opened_at: Us,
    /// A complete frame has come on it.
    pub(super) has_received_frame: bool,
    /// Since when a frame has arrived in part.
    pub(super) partial_since: Option<Us>,
    /// When the sidecar was asked to close it.
    pub(super) goaway_sent_at: Option<Us>,
    /// It is closed to free its slot for another.
    pub(super) evicted: bool,
}

/// Of how much use a connection is while it is idle; the least useful are closed first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleClass {
    /// It has sent nothing, though it had time to.
    Silent,
    /// No run was ever made for it.
    Unverified,
    /// It may be about to send its first frame.
    New,
    /// It belongs to a sidecar that the agent knows, whose next RPC may be on its way.
    Verified,
}

impl SidecarConnectionState {
    /// One that was accepted now.
    pub(super) fn new(out: Outbox, now: Us) -> SidecarConnectionState {
        SidecarConnectionState {
            out,
            opened_at: now,
            has_received_frame: false,
            partial_since: None,
            goaway_sent_at: None,
            evicted: false,
        }
    }

    /// Of how much use it is. `verified`: a run was made for an RPC of this connection.
    pub(super) fn idle_class(&self, verified: bool, now: Us) -> IdleClass {
        match (self.has_received_frame, verified) {
            (false, _) if self.opened_at + NEW_CONNECTION_TIME_US < now => IdleClass::Silent,
            (true, false) => IdleClass::Unverified,
            (false, _) => IdleClass::New,
            (true, true) => IdleClass::Verified,
        }
    }

    /// Whether it has been idle for long enough to be closed when connections are scarce.
    pub(super) fn is_idle_when_scarce(&self, now: Us) -> bool {
        let limit = if self.has_received_frame { IDLE_TIME_WHEN_SCARCE_US } else { NEW_CONNECTION_TIME_US };
        self.last_used() + limit < now
    }

    /// When it last carried something, or was opened.
    pub(super) fn last_used(&self) -> Us {
        self.out.last_used().max(self.opened_at)
    }
}
