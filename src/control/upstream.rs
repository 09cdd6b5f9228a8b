//! Upstream calls of running RPCs: waiting for permission, and what an ended call makes of its RPC.

use super::state::Control;
use crate::events::CallEnd;
use crate::ids::{RpcId, Us};
use crate::method::Idempotency;
use crate::rpc::{Rpc, Stage};
use crate::upstream_calls::MAX_ATTEMPTS;
use nanorand::Rng;

/// Mean costs of a method that are kept free after a call, to finish in time.
const FINISH_TIME: f64 = 1.5;

impl Control {
    /// An RPC comes off the cores until its call is made, or skipped while there is still time to finish.
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
        let time_to_finish = (mean_cost * FINISH_TIME) as Us + 2 * self.step;
        let give_up_at = rpc.last_useful.saturating_sub(time_to_finish).min(rpc.deadline).max(self.now);
        self.set_timer(id, give_up_at);
    }

    /// A call has ended: its RPC goes on, tries the call again, or does without it.
    pub(super) fn take_call_end(&mut self, id: RpcId, end: CallEnd) {
        let Some(rpc) = self.rpcs.get_mut(&id).filter(|rpc| rpc.stage == Stage::Calling) else { return };
        let repeatable = rpc.idempotency == Idempotency::Idempotent || end == CallEnd::Rejected;
        let may_retry =
            repeatable && (end == CallEnd::Ok || self.calls.take_retry(self.now, self.recovery.retry_ratio));
        rpc.call_attempts = if may_retry { rpc.call_attempts - 1 } else { 0 };
        self.calls.call_ended(self.now, id, end, self.random.generate::<f64>());
        if end == CallEnd::Ok {
            rpc.call_attempts = MAX_ATTEMPTS;
            self.enter_cores(id);
        } else {
            self.wait_to_call(id);
        }
    }

    /// The RPC can still earn something without its call.
    pub(super) fn can_skip_call(&self, rpc: &Rpc) -> bool {
        rpc.skip_value_ratio > 0.0 && self.now < rpc.last_useful
    }
}
