//! The scheduling rules: overdue RPCs end, upstream calls are made, queued RPCs start.

use super::state::Control;
use crate::admission_queue::QueueKey;
use crate::ids::{RpcId, Us};
use crate::outcome::{Answer, CallRequest, Reply};
use crate::rpc::Stage;
use crate::upstream_calls::MAX_CALL_ATTEMPTS;

/// Number of running RPCs that a call in flight counts as, since its RPC returns to cores that others occupy by then.
const CALL_IN_FLIGHT_WEIGHT: f64 = 0.5;

/// A scheduling rule: it acts once, if it can, and reports whether it did.
type Rule = fn(&mut Control) -> bool;

/// Rules in the order in which they are tried after every input, until none of them acts.
const RULES: &[Rule] = &[Control::expire_overdue, Control::place_call, Control::start_run];

impl Control {
    /// Applies the rules until none of them acts.
    pub(super) fn run_rules(&mut self) {
        while RULES.iter().any(|rule| rule(self)) {}
    }

    /// Sets the timer of an RPC.
    pub(super) fn set_timer(&mut self, id: RpcId, at: Us) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            self.timers.remove(&(rpc.timer, id));
            rpc.timer = at;
            self.timers.insert((at, id));
        }
    }

    /// Starts or resumes an RPC on the cores, and sets its timer to its deadline.
    pub(super) fn enter_cores(&mut self, id: RpcId) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            self.cores.enter(rpc, self.now);
            let deadline = rpc.deadline;
            self.set_timer(id, deadline);
        }
    }

    /// Moves the deadlines of all unanswered RPCs to `latest` or earlier.
    pub(super) fn cap_deadlines(&mut self, latest: Us) {
        for (id, rpc) in self.rpcs.iter_mut().filter(|(_, rpc)| !rpc.answered) {
            self.timers.remove(&(rpc.timer, *id));
            rpc.deadline = rpc.deadline.min(latest);
            rpc.useful_until = rpc.useful_until.min(latest);
            rpc.timer = rpc.timer.min(latest);
            self.timers.insert((rpc.timer, *id));
        }
    }

    /// Handles one RPC whose timer has expired.
    ///
    /// A queued RPC can't finish in time any more, so it is rejected. An RPC that waits for a call that can be skipped
    /// resumes without the call. Any other RPC is aborted.
    fn expire_overdue(&mut self) -> bool {
        let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) else {
            return false;
        };
        match self.rpcs.get(&id) {
            Some(rpc) if rpc.stage == Stage::Queued => self.reject(id, true, 0.0),
            Some(rpc) if rpc.stage == Stage::WaitingToCall && self.can_skip_call(rpc) => {
                self.waiting_to_call.remove(&rpc.key);
                self.outcome.skipped_calls.push(id);
                self.enter_cores(id);
            }
            _ => {
                self.outcome.answers.push(Reply { id, answer: Answer::Aborted });
                self.mark_answered(id);
            }
        }
        true
    }

    /// Makes one upstream call within the limit. A call that can't be made any more is skipped, or its RPC aborted.
    fn place_call(&mut self) -> bool {
        let breaker_open = self.calls.breaker_open(self.now);
        let capacity = !breaker_open && self.calls.has_capacity(self.now, self.recovery.calls_in_flight);
        let actionable = |key: &&QueueKey| {
            self.rpcs.get(&key.id).is_some_and(|rpc| {
                capacity || rpc.call_attempts == 0 || breaker_open && self.can_skip_call(rpc)
            })
        };
        let Some(key) = self.waiting_to_call.iter().find(actionable).copied() else { return false };
        let Some(rpc) = self.rpcs.get_mut(&key.id) else { return false };
        let timeout = rpc.timer.saturating_sub(self.now);
        if !capacity || rpc.call_attempts == 0 || timeout == 0 {
            self.set_timer(key.id, self.now);
            return self.expire_overdue();
        }
        rpc.stage = Stage::Calling;
        let (deadline, first_attempt) = (rpc.deadline, rpc.call_attempts == MAX_CALL_ATTEMPTS);
        self.waiting_to_call.remove(&key);
        self.calls.record_call_placed(self.now, key.id, first_attempt);
        self.outcome.calls.push(CallRequest { id: key.id, timeout });
        self.set_timer(key.id, deadline);
        true
    }

    /// Starts the first queued RPC, if fewer than max_parallel_reqs run and its memory fits.
    fn start_run(&mut self) -> bool {
        let Some(key) = self.queue.first() else { return false };
        let Some(rpc) = self.rpcs.get_mut(&key.id) else { return false };
        let extra_kb = self.memory.extra_to_run(rpc.size_kb);
        // All RPCs that wait for a call may resume at once. Together with the running RPCs they must stay within what
        // the server sustains.
        let calls = self.calls.in_flight as f64;
        let sustainable_rpcs = self.concurrency.sustainable_rpcs(self.now).max(1.0);
        let sustainable_rpcs = sustainable_rpcs - calls - self.waiting_to_call.len() as f64;
        let max_parallel_reqs = self.concurrency.max_parallel_reqs(self.now);
        let limit = (max_parallel_reqs - CALL_IN_FLIGHT_WEIGHT * calls).min(sustainable_rpcs);
        if self.cores.running as f64 + 1.0 > limit || !self.memory.fits(self.keys.used_kb(), extra_kb) {
            return false;
        }
        self.memory.used_kb += extra_kb;
        rpc.reserved_kb += extra_kb;
        self.queue.remove(key, rpc.work);
        self.enter_cores(key.id);
        self.outcome.starts.push(key.id);
        true
    }
}
