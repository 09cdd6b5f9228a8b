//! Upstream calls: a run requests one, the decision module allows or skips it, and each ends exactly once.

use crate::engine::{CallTimeout, Deferred, Engine};
use crate::outputs::{Outputs, UpstreamLinkId};
use crate::rpc::{PendingCall, RpcState, SentCommand};
use asterrill::{CallEnd, RpcId, Us};

/// Time for which the engine still waits for a reply after the timeout of its call.
const REPLY_GRACE_US: Us = 30_000;

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Requests an upstream call with this body for a run, which waits for it. `body` is none if it is too long to be
    /// forwarded. Returns false if this RPC is not running.
    pub fn call_needed(
        &mut self, now: Us, id: RpcId, body: Option<&[u8]>, out: &mut dyn Outputs<ReplyTo>,
    ) -> bool {
        self.advance_to(now);
        let running = self.rpcs.get_mut(id).filter(|rpc| matches!(rpc.state, RpcState::Running(_)));
        let Some(rpc) = running else {
            self.stats.stale_events += 1;
            return false;
        };
        rpc.state = RpcState::NeedsCall;
        rpc.body = body.and_then(&self.copy_body);
        let outcome = self.control.call_needed(self.now, id);
        self.apply(outcome, out);
        true
    }

    /// Sends an upstream call that the decision module has allowed.
    pub(crate) fn send_call(&mut self, id: RpcId, timeout: Us, out: &mut dyn Outputs<ReplyTo>) {
        let waiting = self.rpcs.get_mut(id).filter(|rpc| rpc.state == RpcState::NeedsCall);
        let Some(rpc) = waiting else { return };
        self.stats.calls += 1;
        let expires_at = self.now + timeout + REPLY_GRACE_US;
        let body = rpc.body.as_ref().map(Body::as_ref);
        let used = &mut rpc.used_connections;
        let link = body.and_then(|body| out.send_call(used, id, timeout, body));
        rpc.state = RpcState::Calling(PendingCall { link, expires_at });
        if link.is_some() {
            self.call_timeouts.insert(CallTimeout { at: expires_at, id });
        } else {
            self.deferred.push_back(Deferred::RejectCall(id));
        }
    }

    /// Lets a run continue without the upstream call that it waits for, or whose reply it may not have received.
    pub(crate) fn skip_call(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        let may_wait = |state| matches!(state, RpcState::NeedsCall | RpcState::Running(SentCommand::Resume));
        let waiting = self.rpcs.get_mut(id).filter(|rpc| may_wait(rpc.state));
        let Some(rpc) = waiting else { return };
        rpc.state = RpcState::Running(SentCommand::Skip);
        self.stats.calls_skipped += 1;
        out.skip(id);
    }

    /// Ends a call on this link, with its reply or with another result. If this RPC has no pending call on the link,
    /// the event is counted as a late reply.
    pub fn call_ended(
        &mut self, now: Us, link: UpstreamLinkId, id: RpcId, end: CallEnd, reply: &[u8],
        out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.advance_to(now);
        match self.rpcs.state(id) {
            Some(RpcState::Calling(call)) if call.link == Some(link) => {
                self.call_timeouts.remove(&CallTimeout { at: call.expires_at, id });
                out.call_finished(link, false);
                self.finish_call(id, end, reply, out);
            }
            _ => self.stats.late_replies += 1,
        }
    }

    /// Ends all calls on an upstream link that was lost, with the result `end`.
    pub fn upstream_link_ended(
        &mut self, now: Us, link: UpstreamLinkId, end: CallEnd, out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.advance_to(now);
        let is_on_link =
            |state| matches!(state, RpcState::Calling(PendingCall { link: Some(on), .. }) if on == link);
        let on_link = self.rpcs.iter().filter(|rpc| is_on_link(rpc.state));
        let ids: Vec<RpcId> = on_link.map(|rpc| rpc.request.id).collect();
        for id in ids {
            self.call_ended(now, link, id, end, &[], out);
        }
    }

    /// Ends a call whose reply did not arrive in time.
    pub(crate) fn call_timed_out(&mut self, timeout: CallTimeout, out: &mut dyn Outputs<ReplyTo>) {
        self.call_timeouts.remove(&timeout);
        if let Some(RpcState::Calling(call)) = self.rpcs.state(timeout.id) {
            self.abandon_call(timeout.id, call, true, out);
            self.finish_call(timeout.id, CallEnd::TimedOut, &[], out);
        }
    }

    /// Cancels a call that no run waits for. `late` is true if its reply did not arrive in time.
    pub(crate) fn abandon_call(
        &mut self, id: RpcId, call: PendingCall, late: bool, out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.call_timeouts.remove(&CallTimeout { at: call.expires_at, id });
        if let Some(link) = call.link {
            out.cancel_call(link, id);
            out.call_finished(link, late);
        }
    }

    /// Resumes the run with the reply to its call, or asks the decision module how to proceed if there is no reply.
    pub(crate) fn finish_call(
        &mut self, id: RpcId, end: CallEnd, reply: &[u8], out: &mut dyn Outputs<ReplyTo>,
    ) {
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        let mut end = end;
        rpc.state = RpcState::NeedsCall;
        if end == CallEnd::Ok {
            match (self.copy_body)(reply) {
                Some(body) => {
                    rpc.state = RpcState::Running(SentCommand::Resume);
                    rpc.body = Some(body);
                    out.resume(id, reply);
                }
                None => end = CallEnd::Aborted,
            }
        }
        rpc.upstream_failed |= matches!(end, CallEnd::Aborted | CallEnd::TimedOut);
        self.count_call_end(end);
        let outcome = self.control.call_ended(self.now, id, end);
        self.apply(outcome, out);
    }

    fn count_call_end(&mut self, end: CallEnd) {
        let count = match end {
            CallEnd::Ok => &mut self.stats.calls_ok,
            CallEnd::Rejected => &mut self.stats.calls_rejected,
            CallEnd::Aborted => &mut self.stats.calls_aborted,
            CallEnd::TimedOut => &mut self.stats.calls_timed_out,
        };
        *count += 1;
    }
}
