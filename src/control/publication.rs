//! The feedback that is published after each input: health status, the value for callers, and the closing of
//! connections.

use super::state::Control;
use crate::caller_feedback::FeedbackMode;
use crate::tuning::TICK_INTERVAL;

/// Fraction by which a caller of a busy server may exceed its share of credit, as demand varies at random.
///
/// It applies in full to shares of one RPC or more, and in proportion to smaller ones.
const SPARE_CREDIT_FRACTION: f64 = 0.5;

impl Control {
    /// Adds the values to publish to the outcome, as far as they have changed.
    pub(super) fn publish(&mut self) {
        // The backlog reduces what callers may send as the time unread grows, so that arrivals don't outrun reading.
        let backlog = self.feedback.read_backlog(self.now);
        let stalled = self.is_stalled();
        self.publish_health(stalled);
        // A draining server serves arrivals within the grace period, since the remaining servers may not have capacity
        // for all of them at once.
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

    /// Publishes the health status: unhealthy during a drain or a stall only. If a slow server left, its load would
    /// overload the others.
    fn publish_health(&mut self, stalled: bool) {
        let healthy = !self.drain.is_draining() && !stalled;
        if let Some(healthy) = self.feedback.update_health(healthy) {
            self.outcome.healthy = Some(healthy);
            self.outcome
                .log
                .extend(stalled.then(|| "runs have stopped finishing; reporting unhealthy".into()));
        }
    }

    /// Returns the fraction of demand that the server can accept, 0 to 1. It is capped by the speed of a cold server.
    fn accept_ratio(&self, backlog: f64, serving: bool) -> f64 {
        let target = self.concurrency.target;
        let ratio = target / (target + self.queue.len() as f64) / backlog * f64::from(u8::from(serving));
        ratio.min(self.concurrency.speed(self.now))
    }

    /// Returns the number of RPCs that each caller may have outstanding at this server.
    fn credit(&mut self, backlog: f64, serving: bool) -> f64 {
        let target = self.concurrency.target;
        let share = (target + self.calls.occupancy(self.now)) / self.accounts.active_callers;
        let idle = (self.cores.running as f64) < target && self.queue.is_empty() && backlog <= 1.0;
        if !serving {
            0.0
        } else if idle {
            self.concurrency.max_parallel_reqs(self.now).min(self.cold_credit())
        } else {
            (share * (1.0 + SPARE_CREDIT_FRACTION * share.min(1.0)) / backlog).min(self.cold_credit())
        }
    }

    /// Returns the maximum credit per caller of a cold server; infinite for a warm server.
    ///
    /// This guards a cold server against the sum of what all callers send, including callers that it has not seen yet:
    /// together they may have as many RPCs outstanding as the server sustains at present. The drawback is that few
    /// active callers use only a part of that.
    fn cold_credit(&self) -> f64 {
        if self.concurrency.speed(self.now) >= 1.0 {
            return f64::INFINITY;
        }
        let callers = self.accounts.expected_callers.max(self.accounts.active_callers);
        self.concurrency.sustainable_rpcs(self.now) / callers
    }
}
