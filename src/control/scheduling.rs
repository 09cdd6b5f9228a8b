//! The scheduler's rules: what is overdue ends, calls are made, queued RPCs start.

use super::state::Control;
use crate::admission_queue::QueueKey;
use crate::ids::{RpcId, Us};
use crate::outcome::{Answer, CallRequest, Reply};
use crate::rpc::Stage;
use crate::upstream_calls::MAX_ATTEMPTS;

/// Part of a run that a call in flight counts for: it returns to cores that other RPCs took.
const CALL_WEIGHT: f64 = 0.5;

/// A rule acts once, if it can, and says whether it did.
type Rule = fn(&mut Control) -> bool;

/// Tried in this order after every input until none acts.
const RULES: &[Rule] = &[Control::expire_overdue, Control::place_call, Control::start_run];

impl Control {
    pub(super) fn run_rules(&mut self) {
        while RULES.iter().any(|rule| rule(self)) {}
    }

    /// Sets when an RPC is looked at next.
    pub(super) fn set_timer(&mut self, id: RpcId, at: Us) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            self.timers.remove(&(rpc.timer, id));
            rpc.timer = at;
            self.timers.insert((at, id));
        }
    }

    /// An RPC comes on the cores; its timer is its deadline.
    pub(super) fn enter_cores(&mut self, id: RpcId) {
        if let Some(rpc) = self.rpcs.get_mut(&id) {
            self.cores.enter(rpc, self.now);
            let deadline = rpc.deadline;
            self.set_timer(id, deadline);
        }
    }

    /// All that is owed an answer must have it by this moment.
    pub(super) fn bring_deadlines_forward(&mut self, latest: Us) {
        for (id, rpc) in self.rpcs.iter_mut().filter(|(_, rpc)| !rpc.answered) {
            self.timers.remove(&(rpc.timer, *id));
            rpc.deadline = rpc.deadline.min(latest);
            rpc.last_useful = rpc.last_useful.min(latest);
            rpc.timer = rpc.timer.min(latest);
            self.timers.insert((rpc.timer, *id));
        }
    }

    /// An RPC whose timer has fired is answered: a queued one, which can't be ok in time any more, is rejected. One
    /// that waits for a call that can be skipped goes on without it.
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
                self.settle(id);
            }
        }
        true
    }

    /// A call is made within the limit; it is skipped, or its RPC given up, once it has no prospect.
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
        let (deadline, first_attempt) = (rpc.deadline, rpc.call_attempts == MAX_ATTEMPTS);
        self.waiting_to_call.remove(&key);
        self.calls.call_placed(self.now, key.id, first_attempt);
        self.outcome.calls.push(CallRequest { id: key.id, timeout });
        self.set_timer(key.id, deadline);
        true
    }

    /// The first in the queue starts while fewer than max_parallel_reqs run and its memory fits.
    fn start_run(&mut self) -> bool {
        let Some(key) = self.queue.first() else { return false };
        let Some(rpc) = self.rpcs.get_mut(&key.id) else { return false };
        let extra_kb = self.memory.extra_to_run(rpc.size_kb);
        // All that waits for a call may come back at once: together they stay under the crowd survived.
        let calls = self.calls.in_flight as f64;
        let survivable = self.concurrency.survivable(self.now).max(1.0);
        let survivable = survivable - calls - self.waiting_to_call.len() as f64;
        let max_parallel_reqs = self.concurrency.max_parallel_reqs(self.now);
        let limit = (max_parallel_reqs - CALL_WEIGHT * calls).min(survivable);
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
