//! Upstream calls of running RPCs: waiting for permission, and handling the end of a call.

use super::state::Control;
use crate::events::CallEnd;
use crate::ids::{RpcId, Us};
use crate::method::{Idempotency, StopMode};
use crate::rpc::{Rpc, Stage};
use crate::upstream_calls::MAX_CALL_ATTEMPTS;
use nanorand::Rng;

/// Time that is reserved to finish an RPC after its call, as a multiple of its method's mean cost.
const FINISH_TIME_FACTOR: f64 = 1.5;

impl Control {
    /// Takes an RPC off the cores until its upstream call is made, or skipped while there is still time to finish the
    /// RPC without it.
    pub(super) fn wait_to_call(&mut self, id: RpcId) {
        let on_call_path = |rpc: &&mut Rpc| matches!(rpc.stage, Stage::Running | Stage::Calling);
        let Some(rpc) = self.rpcs.get_mut(&id).filter(on_call_path) else { return };
        if rpc.stage == Stage::Running {
            self.cores.leave(rpc, self.now);
        }
        rpc.stage = Stage::WaitingToCall;
        if rpc.answered {
            return;
        }
        self.waiting_to_call.insert(rpc.key);
        let mean_cost = self.costs.get(rpc.method.0).map_or(0.0, |cost| cost.mean);
        let time_to_finish = (mean_cost * FINISH_TIME_FACTOR) as Us + 2 * self.step;
        let timer = rpc.useful_until.saturating_sub(time_to_finish).min(rpc.deadline).max(self.now);
        self.set_timer(id, timer);
    }

    /// Handles the end of a call: its RPC resumes, retries the call, or skips it.
    pub(super) fn handle_call_end(&mut self, id: RpcId, end: CallEnd) {
        let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| rpc.stage == Stage::Calling) else { return };
        let repeatable = rpc.idempotency == Idempotency::Idempotent || end == CallEnd::Rejected;
        let may_retry =
            repeatable && (end == CallEnd::Ok || self.calls.take_retry(self.now, self.recovery.retry_ratio));
        rpc.call_attempts = if may_retry { rpc.call_attempts - 1 } else { 0 };
        self.calls.record_call_end(self.now, id, end, self.random.generate::<f64>());
        if end == CallEnd::Ok {
            rpc.call_attempts = MAX_CALL_ATTEMPTS;
            self.enter_cores(id);
        } else {
            self.wait_to_call(id);
        }
    }

    /// Lets a run continue without a reply that it may not have received, or cancels the run if its call can't be skipped.
    /// The skip has no effect on a run that has received the reply.
    pub(super) fn abandon_reply(&mut self, id: RpcId) {
        let Some(rpc) = self.rpcs.get(&id).filter(|rpc| rpc.stage == Stage::Running && !rpc.answered) else {
            return;
        };
        if rpc.skip_value_ratio > 0.0 {
            self.outcome.skipped_calls.push(id);
        } else if self.stop_mode != StopMode::Off {
            self.outcome.cancellations.push(id);
        }
    }

    /// Reports whether a successful answer to the RPC without its call can still earn any value.
    pub(super) fn can_skip_call(&self, rpc: &Rpc) -> bool {
        rpc.skip_value_ratio > 0.0 && self.now < rpc.useful_until
    }
}
