//! Inputs from the executor about runs, and the answers to coalesced RPCs when a run ends.

use crate::engine::Engine;
use crate::outputs::Outputs;
use crate::rpc::{RpcState, SentCommand};
use asterrill::{FinalAnswer, RpcId, RunEnd, Us};

/// Time after which an answer has reached its requester and the executor treats the RPC as over.
const ANSWER_DELIVERY_US: Us = 500_000;

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Ends a run, with `result` if it was ok.
    pub fn run_ended(
        &mut self, now: Us, id: RpcId, end: RunEnd, result: &[u8], out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.advance_to(now);
        let Some(rpc) = self.rpcs.get(id) else {
            self.stats.stale_events += 1;
            return;
        };
        let state = rpc.state;
        if matches!(end, RunEnd::Ok | RunEnd::Aborted) {
            out.run_completed(rpc.reply_to);
        }
        self.count_run_end(end);
        if end == RunEnd::NotStarted {
            self.recent_runs.remove(id);
        }
        if let RpcState::Calling(call) = state {
            self.abandon_call(id, call, false, out);
        }
        let result = Some(result).filter(|_| end == RunEnd::Ok);
        self.answer(id, result.map_or(FinalAnswer::Aborted, FinalAnswer::Ok), out);
        self.close(id, out);
        let expires_at = self.now + self.result_ttl;
        self.response_cache.complete(id, expires_at, || result.and_then(&self.copy_body));
        self.stats.results_evicted += self.idempotency.complete(id, result);
        let outcome = self.control.run_ended(self.now, id, end);
        self.apply(outcome, out);
        for follower in self.rpcs.followers(id) {
            self.finish_coalesced(follower, result, out);
        }
    }

    fn count_run_end(&mut self, end: RunEnd) {
        let count = match end {
            RunEnd::Ok => &mut self.stats.runs_ok,
            RunEnd::Aborted => &mut self.stats.runs_aborted,
            RunEnd::Stopped => &mut self.stats.runs_stopped,
            RunEnd::NotStarted => &mut self.stats.runs_not_started,
        };
        *count += 1;
    }

    /// Ends a run that the executor could not start. Returns the requester, or none if the last command sent for
    /// this RPC was not its launch.
    pub fn launch_failed(&mut self, now: Us, id: RpcId, out: &mut dyn Outputs<ReplyTo>) -> Option<ReplyTo> {
        let rpc = self.rpcs.get(id).filter(|rpc| rpc.state == RpcState::Running(SentCommand::Launch))?;
        let reply_to = rpc.reply_to;
        self.run_ended(now, id, RunEnd::NotStarted, &[], out);
        Some(reply_to)
    }

    /// Reports whether an RPC may be launched again although it is not known whether its executor has received the first
    /// launch: its method is idempotent, or the RPC has been over for so long that the executor starts nothing for it.
    pub fn may_launch_again(&self, id: RpcId) -> bool {
        let is_over = |answered_at: Us| answered_at + ANSWER_DELIVERY_US <= self.now;
        let rpc = self.rpcs.get(id);
        self.control.is_idempotent(id) || rpc.and_then(|rpc| rpc.answered_at).is_some_and(is_over)
    }

    /// Handles a run that may still wait for the reply with which it was resumed: it continues without the reply or is
    /// stopped, as the decision module decides.
    pub fn reply_uncertain(&mut self, now: Us, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        if self.rpcs.state(id) == Some(RpcState::Running(SentCommand::Resume)) {
            let outcome = self.control.reply_uncertain(self.now, id);
            self.apply(outcome, out);
        }
    }

    /// Answers a coalesced RPC with the result of its original; aborts it if there is none.
    pub(crate) fn finish_coalesced(
        &mut self, id: RpcId, result: Option<&[u8]>, out: &mut dyn Outputs<ReplyTo>,
    ) {
        self.answer(id, result.map_or(FinalAnswer::Aborted, FinalAnswer::Ok), out);
        self.close(id, out);
        let end = if result.is_some() { RunEnd::Ok } else { RunEnd::Aborted };
        let outcome = self.control.run_ended(self.now, id, end);
        self.apply(outcome, out);
    }

    /// Removes an RPC from the table.
    pub(crate) fn close(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        if self.rpcs.remove(id) {
            out.closed(id);
        }
    }
}
