//! How RPCs end: answered, rejected, finished or never run.

use super::state::Control;
use crate::cost_estimate::CostEstimate;
use crate::events::RunEnd;
use crate::ids::{MethodId, RpcId, Us};
use crate::method::StopMode;
use crate::outcome::{Answer, Reply};
use crate::rpc::Stage;
use crate::tuning::{COST_SPREAD, SLOWDOWN_MEMORY, STALL_FACTOR};
use nanorand::Rng;

/// The constant factor of congestion_penalty.
const PENALTY_FACTOR: f64 = 0.25;

impl Control {
    /// A final answer was given, or none is owed. A queued RPC is over; a running one is cancelled or left to end.
    pub(super) fn settle(&mut self, id: RpcId) {
        let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| !rpc.answered) else { return };
        rpc.answered = true;
        self.timers.remove(&(rpc.timer, id));
        self.waiting_to_call.remove(&rpc.key);
        match rpc.stage {
            Stage::Queued | Stage::Coalesced => self.discard(id),
            Stage::Running if self.stop_mode != StopMode::Off => self.outcome.cancellations.push(id),
            Stage::Calling => {
                rpc.stage = Stage::WaitingToCall;
                self.calls.call_abandoned(self.now, id, self.random.generate::<f64>());
            }
            Stage::Running | Stage::WaitingToCall => {}
        }
    }

    /// An RPC that never ran leaves: its account gets back what was charged.
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

    /// Rejects an RPC. `wait`: microseconds from now until an RPC like it could be admitted. It is cut, since
    /// waiting for long costs clients their latency target.
    pub(super) fn reject(&mut self, id: RpcId, terminal: bool, wait: f64) {
        // Guards against callers that were rejected together and retry together. Harm: some wait longer.
        let jitter = if self.recovery.retry_after_jitter > 0.0 {
            self.recovery.retry_after_jitter * self.random.generate::<f64>()
        } else {
            0.0
        };
        let retry_after = (wait.min(self.feedback.unread_limit) * (1.0 + jitter)) as Us;
        let retry_after = retry_after.min(self.feedback.max_retry_after);
        self.outcome.answers.push(Reply { id, answer: Answer::Rejected { terminal, retry_after } });
        self.settle(id);
    }

    /// A run, or the wait of a coalesced RPC, has ended.
    pub(super) fn finish(&mut self, id: RpcId, end: RunEnd) {
        if let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| rpc.stage == Stage::Running) {
            self.cores.leave(rpc, self.now);
        }
        self.settle(id);
        let Some(rpc) = self.rpcs.remove(&id) else { return };
        self.memory.used_kb -= rpc.reserved_kb;
        // A quick failure spent what it was admitted for: it must not refill the account.
        let real_cost = if end == RunEnd::Aborted { rpc.charged } else { rpc.run.served * 1e3 };
        let congestion_penalty = rpc.run.congestion * PENALTY_FACTOR;
        self.accounts.correct(self.now, rpc.caller, rpc.charged, real_cost, congestion_penalty);
        self.learn(rpc.method, rpc.run.served, end);
    }

    /// Learns from a run that was on the cores for so many microseconds. One that was cancelled would have taken at
    /// least as long; what a slow server takes is not learned as the cost.
    fn learn(&mut self, method: MethodId, served: f64, end: RunEnd) {
        let Some(CostEstimate { samples, mean }) = self.costs.get(method.0) else { return };
        let few_samples = *samples < SLOWDOWN_MEMORY;
        let ratio = (served / mean).min(2.0 * STALL_FACTOR);
        if end == RunEnd::Ok || ratio > self.slowdown {
            self.slowdown += (ratio - self.slowdown) / SLOWDOWN_MEMORY;
        }
        if end == RunEnd::Ok && (self.slowdown < COST_SPREAD || few_samples) {
            self.costs.update(method.0, |cost| cost.learn(served));
        }
    }
}
