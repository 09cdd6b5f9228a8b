//! The ends of RPCs: answers, rejections, ends of runs, and removal of RPCs that never ran.

use super::state::Control;
use crate::cost_estimate::CostEstimate;
use crate::events::RunEnd;
use crate::ids::{MethodId, RpcId, Us};
use crate::method::StopMode;
use crate::outcome::{Answer, Reply};
use crate::rpc::Stage;
use crate::tuning::{COST_SPREAD, SLOWDOWN_SAMPLES, STALL_FACTOR};
use nanorand::Rng;

/// Constant factor of congestion_penalty.
const PENALTY_FACTOR: f64 = 0.25;

impl Control {
    /// Marks an RPC as answered, or as not to be answered any more. A queued or coalesced RPC ends; a running one
    /// is cancelled, or left to finish if runs can't be cancelled; a call in flight is abandoned.
    pub(super) fn mark_answered(&mut self, id: RpcId) {
        let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| !rpc.answered) else { return };
        rpc.answered = true;
        self.timers.remove(&(rpc.timer, id));
        self.waiting_to_call.remove(&rpc.key);
        match rpc.stage {
            Stage::Queued | Stage::Coalesced => self.discard(id),
            Stage::Running if self.stop_mode != StopMode::Off => self.outcome.cancellations.push(id),
            Stage::Calling => {
                rpc.stage = Stage::WaitingToCall;
                self.calls.record_call_abandoned(self.now, id, self.random.generate::<f64>());
            }
            Stage::Running | Stage::WaitingToCall => {}
        }
    }

    /// Removes an RPC that never ran, and returns its charge to the caller's account.
    fn discard(&mut self, id: RpcId) {
        let Some(rpc) = self.rpcs.remove(&id) else { return };
        self.timers.remove(&(rpc.timer, id));
        self.queue.remove(rpc.key, rpc.work);
        self.memory.used_kb -= rpc.reserved_kb;
        if rpc.charged > 0.0 {
            self.accounts.correct(self.now, rpc.caller, rpc.charged, 0.0, 0.0);
        }
        if self.keys.release(id) {
            self.outcome.released_keys.push(id);
        }
    }

    /// Rejects an RPC.
    ///
    /// `wait` is the time in microseconds until a similar RPC could be admitted. The retry-after is capped, because
    /// clients that wait for long miss their latency target.
    pub(super) fn reject(&mut self, id: RpcId, terminal: bool, wait: f64) {
        // Jitter keeps callers that were rejected together from retrying together. The drawback is that some wait
        // longer.
        let jitter = if self.recovery.retry_after_jitter > 0.0 {
            self.recovery.retry_after_jitter * self.random.generate::<f64>()
        } else {
            0.0
        };
        let retry_after = (wait.min(self.feedback.max_mean_unread_us) * (1.0 + jitter)) as Us;
        let retry_after = retry_after.min(self.feedback.max_retry_after);
        self.outcome.answers.push(Reply { id, answer: Answer::Rejected { terminal, retry_after } });
        self.mark_answered(id);
    }

    /// Ends a run, or the wait of a coalesced RPC.
    pub(super) fn finish(&mut self, id: RpcId, end: RunEnd) {
        if let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| rpc.stage == Stage::Running) {
            self.cores.leave(rpc, self.now);
        }
        self.mark_answered(id);
        let Some(rpc) = self.rpcs.remove(&id) else { return };
        self.memory.used_kb -= rpc.reserved_kb;
        // An aborted run keeps its full charge, so that quick failures don't refill the account.
        let real_cost = if end == RunEnd::Aborted { rpc.charged } else { rpc.run.served * 1e3 };
        let congestion_penalty = rpc.run.congestion * PENALTY_FACTOR;
        self.accounts.correct(self.now, rpc.caller, rpc.charged, real_cost, congestion_penalty);
        self.update_estimates(rpc.method, rpc.run.served, end);
    }

    /// Updates slowdown and cost with a run whose serving time was `served` microseconds.
    ///
    /// A cancelled run would have taken at least as long, so it may only raise the slowdown. The serving times of a
    /// slow server are not learned as costs.
    fn update_estimates(&mut self, method: MethodId, served: f64, end: RunEnd) {
        let Some(CostEstimate { samples, mean }) = self.costs.get(method.0) else { return };
        let few_samples = *samples < SLOWDOWN_SAMPLES;
        let ratio = (served / mean).min(2.0 * STALL_FACTOR);
        if end == RunEnd::Ok || ratio > self.slowdown {
            self.slowdown += (ratio - self.slowdown) / SLOWDOWN_SAMPLES;
        }
        if end == RunEnd::Ok && (self.slowdown < COST_SPREAD || few_samples) {
            self.costs.update(method.0, |cost| cost.learn(served));
        }
    }
}
