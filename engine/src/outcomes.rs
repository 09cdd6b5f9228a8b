//! Execution of the decision module's decisions, list by list in the order of the fields of an [`Outcome`].

use crate::engine::{Deferred, Engine};
use crate::idempotency::Attempt;
use crate::outputs::Outputs;
use crate::rpc::{RpcState, SentCommand};
use asterrill::{CallEnd, CallRequest, KeyRetention, Outcome, Reply, RpcId, RunEnd, Us};

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Carries out an outcome, then its deferred follow-up actions.
    pub(crate) fn apply(&mut self, outcome: Outcome, out: &mut dyn Outputs<ReplyTo>) {
        for Reply { id, answer } in outcome.answers {
            self.answer(id, answer.into(), out);
        }
        for id in outcome.cancellations {
            if self.rpcs.contains(id) {
                out.stop(id);
            }
        }
        for KeyRetention { id, duration } in outcome.retained_keys {
            self.retain_key(id, self.now + duration);
        }
        for id in outcome.released_keys {
            self.response_cache.remove(id);
            self.idempotency.remove(id);
        }
        for id in outcome.coalesced {
            self.coalesce(id);
        }
        for id in outcome.starts {
            self.launch(id, out);
        }
        for CallRequest { id, timeout } in outcome.calls {
            self.send_call(id, timeout, out);
        }
        for id in outcome.skipped_calls {
            self.skip_call(id, out);
        }
        self.credit = outcome.credit.or(self.credit);
        if let Some(healthy) = outcome.healthy {
            out.set_health(healthy);
        }
        if let Some(idle_time) = outcome.close_idle_after {
            out.close_idle(idle_time);
        }
        if let Some(delay) = outcome.wake_after {
            self.schedule_wakeup(self.now + delay);
        }
        for line in outcome.log {
            out.log(&line);
        }
        self.run_deferred(out);
    }

    /// Answers retries and duplicates of this RPC with its result until `until`.
    fn retain_key(&mut self, id: RpcId, until: Us) {
        self.response_cache.retain_until(id, until);
        let Some(rpc) = self.rpcs.get(id) else { return };
        let Some(key) = rpc.request.idempotency_key else { return };
        let (method, arrived_at) = (rpc.request.method, rpc.arrived_at);
        self.idempotency.record(key, Attempt { id, method, arrived_at, retries_until: until });
    }

    /// Makes an RPC wait for its original, which is open or has ended recently.
    fn coalesce(&mut self, id: RpcId) {
        let Some(original) = self.rpcs.get(id).and_then(|rpc| rpc.original) else { return };
        self.stats.coalesced += 1;
        if !self.rpcs.contains(original) {
            self.deferred.push_back(Deferred::FinishCoalesced(id));
        }
        self.rpcs.coalesce(id, original);
    }

    fn launch(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        let idempotent = self.control.is_idempotent(id);
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        rpc.state = RpcState::Running(SentCommand::Launch);
        self.recent_runs.insert(id, idempotent);
        self.stats.runs += 1;
        out.launch(rpc.reply_to, id, rpc.request.method, rpc.body_bytes());
    }

    /// Carries out deferred actions. Returns at once in a nested call, because the outcomes of deferred actions may
    /// defer more; the outermost call carries those out without recursion.
    fn run_deferred(&mut self, out: &mut dyn Outputs<ReplyTo>) {
        if std::mem::replace(&mut self.running_deferred, true) {
            return;
        }
        while let Some(deferred) = self.deferred.pop_front() {
            match deferred {
                Deferred::RejectCall(id) => {
                    if let Some(RpcState::Calling(_)) = self.rpcs.state(id) {
                        self.finish_call(id, CallEnd::Rejected, &[], out);
                    }
                }
                Deferred::FinishCoalesced(id) => {
                    let result = self.retained_result(id);
                    self.finish_coalesced(id, result.as_ref().map(Body::as_ref), out);
                }
                Deferred::Resubmit(id) => self.resubmit(id, out),
            }
        }
        self.running_deferred = false;
    }

    /// Returns a copy of the retained result of a coalesced RPC's original.
    fn retained_result(&self, id: RpcId) -> Option<Body> {
        let original = self.rpcs.get(id)?.original?;
        let cached = self.response_cache.result(original).map(Body::as_ref);
        let result = cached.or_else(|| self.idempotency.result(original))?;
        (self.copy_body)(result)
    }

    /// Submits a coalesced RPC again because its original never ran. It is treated as a new RPC that others may be
    /// coalesced with.
    fn resubmit(&mut self, id: RpcId, out: &mut dyn Outputs<ReplyTo>) {
        if !self.rpcs.uncoalesce(id) {
            return;
        }
        let outcome = self.control.run_ended(self.now, id, RunEnd::NotStarted);
        self.apply(outcome, out);
        self.submit(id, out);
    }
}
