//! The state of one open RPC.

use crate::outputs::UpstreamLinkId;
use crate::request::{Command, IncomingRpc};
use asterrill::{RpcId, Us};

/// An RPC from the moment it was taken in until no answer is due and nothing of it runs.
pub(crate) struct OpenRpc<ReplyTo, Body> {
    pub(crate) reply_to: ReplyTo,
    pub(crate) request: IncomingRpc,
    /// When it arrived, in microseconds.
    pub(crate) arrived_at: Us,
    /// Whether its final answer is still to be given.
    pub(crate) awaits_answer: bool,
    /// The RPC that it repeats, or whose result it may share.
    pub(crate) original: Option<RpcId>,
    pub(crate) state: RpcState,
    /// The body of the RPC until its run started, then of its upstream call, then the reply to that.
    pub(crate) body: Option<Body>,
    /// The link of its last upstream call.
    pub(crate) last_link: Option<UpstreamLinkId>,
    /// Whether an upstream call of it has failed or timed out.
    pub(crate) upstream_failed: bool,
}

impl<ReplyTo, Body: AsRef<[u8]>> OpenRpc<ReplyTo, Body> {
    /// The bytes of the body; none of them if there was no buffer for it.
    pub(crate) fn body_bytes(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], Body::as_ref)
    }

    /// The last command that its executor was sent, while its run goes on.
    pub(crate) fn last_command(&self) -> Option<Command<'_>> {
        let RpcState::Running(sent) = self.state else { return None };
        Some(match sent {
            SentCommand::Launch => Command::Launch { method: self.request.method, body: self.body_bytes() },
            SentCommand::Resume => Command::Resume { reply: self.body_bytes() },
            SentCommand::Skip => Command::Skip,
        })
    }
}

/// Where an open RPC stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RpcState {
    /// Not started.
    Queued,
    /// Waits for the result of its original.
    Coalesced,
    /// With the executor, which was sent this command last.
    Running(SentCommand),
    /// Its run waits for a decision about an upstream call.
    NeedsCall,
    /// Its run waits for the reply to an upstream call.
    Calling(PendingCall),
}

/// A command that the executor of a run was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SentCommand {
    Launch,
    Resume,
    Skip,
}

/// An upstream call that is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingCall {
    /// The link that it was sent on; none if it could not be sent and its end is deferred.
    pub(crate) link: Option<UpstreamLinkId>,
    /// Until when its reply is waited for, in microseconds.
    pub(crate) expires_at: Us,
}
