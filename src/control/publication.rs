//! What is published after each input: health, the number for callers, and the closing of connections.

use super::state::Control;
use crate::caller_feedback::FeedbackMode;
use crate::tuning::TICK_INTERVAL;

/// What a caller of a busy server may send above its part, where that is an RPC or more: demand varies by chance.
const SPARE_PART: f64 = 0.5;

impl Control {
    pub(super) fn publish(&mut self) {
        // Guards against arrivals outrunning the reading: what callers send is cut as the time unread grows.
        let backlog = self.feedback.read_backlog(self.now);
        let stalled = self.is_stalled();
        self.publish_health(stalled);
        // While draining it takes what comes within the grace: those who stay may not have capacity for all at once.
        let closing = self.now >= self.drain.grace_ends.saturating_sub(TICK_INTERVAL);
        if closing && self.drain.take_close_connections() {
            self.outcome.close_idle_after = Some(0);
        }
        let serving = !closing && !stalled;
        let accept_ratio = self.accept_ratio(backlog, serving);
        let credit = self.credit(backlog, serving);
        let value = match self.feedback.mode {
            FeedbackMode::Off => return,
            FeedbackMode::Threshold => 1.0 - accept_ratio,
            FeedbackMode::AcceptProbability => accept_ratio,
            FeedbackMode::Credit => credit,
        };
        if let Some(value) = self.feedback.update_published(value) {
            self.outcome.credit = Some(value);
        }
    }

    /// Health is off for a drain or a stall only: a slow server that left would push the others over.
    fn publish_health(&mut self, stalled: bool) {
        let healthy = !self.drain.is_draining() && !stalled;
        if let Some(healthy) = self.feedback.update_health(healthy) {
            self.outcome.healthy = Some(healthy);
            self.outcome.log.extend(stalled.then(|| "health off: work stopped finishing".into()));
        }
    }

    /// The fraction of demand that fits, 0 to 1; never above the speed of a cold server.
    fn accept_ratio(&self, backlog: f64, serving: bool) -> f64 {
        let target = self.concurrency.target;
        let ratio = target / (target + self.queue.len() as f64) / backlog * f64::from(u8::from(serving));
        ratio.min(self.concurrency.speed(self.now))
    }

    /// RPCs that each caller may have outstanding here.
    fn credit(&mut self, backlog: f64, serving: bool) -> f64 {
        let target = self.concurrency.target;
        let part = (target + self.calls.occupancy(self.now)) / self.accounts.active;
        let idle = (self.cores.running as f64) < target && self.queue.is_empty() && backlog <= 1.0;
        if !serving {
            0.0
        } else if idle {
            self.concurrency.max_parallel_reqs(self.now).min(self.cold_credit())
        } else {
            (part * (1.0 + SPARE_PART * part.min(1.0)) / backlog).min(self.cold_credit())
        }
    }

    /// Guards a cold server against the sum of what all callers send, those not met yet included: what they may have
    /// outstanding together is what it survives now. Harm: callers that are few use a part of that. Infinite for a
    /// warm server.
    fn cold_credit(&self) -> f64 {
        if self.concurrency.speed(self.now) >= 1.0 {
            return f64::INFINITY;
        }
        let callers = self.accounts.expected_callers.max(self.accounts.active);
        self.concurrency.survivable(self.now) / callers
    }
}
