//! Final answers, and the release of an RPC whose requester no longer awaits one.

use crate::engine::{Deferred, Engine};
use crate::outputs::{AnsweredRpc, Outputs};
use crate::rpc::RpcState;
use asterrill::{FinalAnswer, RpcId};

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Sends the final answer of an RPC; does nothing if the RPC does not await one.
    pub(crate) fn answer(&mut self, id: RpcId, answer: FinalAnswer<'_>, out: &mut dyn Outputs<ReplyTo>) {
        let Some(rpc) = self.rpcs.get(id).filter(|rpc| rpc.awaits_answer()) else { return };
        let reply_to = rpc.reply_to;
        let answered = AnsweredRpc {
            method: rpc.request.method,
            latency: self.now.saturating_sub(rpc.arrived_at),
            upstream_failed: rpc.upstream_failed,
        };
        let count = match answer {
            FinalAnswer::Ok(_) => &mut self.stats.ok,
            FinalAnswer::Rejected { .. } => &mut self.stats.rejected,
            FinalAnswer::Aborted => &mut self.stats.aborted,
        };
        *count += 1;
        out.answer(reply_to, answer, self.credit, Some(answered));
        self.rpcs.remove_unanswered(reply_to);
        self.release_rpc(id, out);
    }

    /// Releases an RPC that no longer awaits an answer. An RPC that is not running is closed; a running one is closed
    /// when its run ends.
    pub(crate) fn release_rpc(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        let now = self.now;
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        rpc.answered_at = rpc.answered_at.or(Some(now));
        match rpc.state {
            RpcState::Queued => {
                self.close(id, out);
                self.response_cache.remove(id);
                self.idempotency.remove(id);
                let followers = self.rpcs.followers(id);
                self.deferred.extend(followers.into_iter().map(Deferred::Resubmit));
            }
            RpcState::Coalesced => self.close(id, out),
            RpcState::Calling(call) => {
                rpc.state = RpcState::NeedsCall;
                self.abandon_call(id, call, false, out);
                self.stop_waiting_run(id, out);
            }
            RpcState::NeedsCall => self.stop_waiting_run(id, out),
            RpcState::Running(_) => {}
        }
    }

    /// Stops the run of an RPC that is over. It waits for an upstream call that is not made any more, and would wait for
    /// good.
    fn stop_waiting_run(&self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        let must_stop = self.rpcs.get(id).is_some_and(|rpc| rpc.request.stop_when_over);
        if must_stop && self.control.can_stop_runs() {
            out.stop(id);
        }
    }
}
