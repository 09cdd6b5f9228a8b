//! State of one open RPC.

use crate::outputs::{UpstreamConnectionId, UpstreamLinkId};
use crate::request::{Command, IncomingRpc};
use asterrill::{RpcId, Us};

/// RPC from its acceptance until it neither awaits an answer nor runs.
pub(crate) struct OpenRpc<ReplyTo, Body> {
    pub(crate) reply_to: ReplyTo,
    pub(crate) request: IncomingRpc,
    /// Time of arrival, in microseconds.
    pub(crate) arrived_at: Us,
    /// Time since which its final answer is no longer due, in microseconds.
    pub(crate) answered_at: Option<Us>,
    /// RPC that it is a retry of, or whose result it may share.
    pub(crate) original: Option<RpcId>,
    pub(crate) state: RpcState,
    /// Body of the RPC at first, later that of its last upstream call, then the reply to that call.
    pub(crate) body: Option<Body>,
    /// Open connections of its upstream calls so far. A second copy of a reply may still arrive on each.
    pub(crate) used_connections: Vec<UpstreamConnectionId>,
    /// Whether one of its upstream calls has failed or timed out.
    pub(crate) upstream_failed: bool,
}

impl<ReplyTo, Body: AsRef<[u8]>> OpenRpc<ReplyTo, Body> {
    /// Returns the bytes of the body, which are empty if there was no buffer for it.
    pub(crate) fn body_bytes(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], Body::as_ref)
    }

    /// Reports whether its final answer is still due.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.answered_at.is_none()
    }

    /// Returns the last command sent to its executor while its run is in progress.
    pub(crate) fn last_command(&self) -> Option<Command<'_>> {
        let RpcState::Running(sent) = self.state else { return None };
        Some(match sent {
            SentCommand::Launch => Command::Launch { method: self.request.method, body: self.body_bytes() },
            SentCommand::Resume => Command::Resume { reply: self.body_bytes() },
            SentCommand::Skip => Command::Skip,
        })
    }
}

/// Stage of an open RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RpcState {
    /// Waiting to be started.
    Queued,
    /// Waiting for the result of its original.
    Coalesced,
    /// Running at the executor, which was sent this command last.
    Running(SentCommand),
    /// Launched, and waiting for a decision about an upstream call.
    NeedsCall,
    /// Launched, and waiting for the reply to an upstream call.
    Calling(PendingCall),
}

/// Last command sent to the executor of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentCommand {
    Launch,
    Resume,
    Skip,
}

/// Upstream call whose reply a run waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingCall {
    /// Link that the call was sent on; none if it could not be sent and its end is deferred.
    pub(crate) link: Option<UpstreamLinkId>,
    /// Time until which the engine waits for the reply, in microseconds.
    pub(crate) expires_at: Us,
}
