//! Timers: timeouts of upstream calls, expiry of retained results, and wakeups of the decision module with fresh
//! gauges.

use crate::engine::{Engine, GaugeSample};
use crate::outputs::Outputs;
use asterrill::{Gauges, Us};

/// Time before a wakeup at which its gauges are requested.
const GAUGE_LEAD_TIME_US: Us = 5_000;
/// Age beyond which gauges are not passed to the decision module.
const MAX_GAUGE_AGE_US: Us = 50_000;

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Enables requests for gauges, which are available from now on.
    pub fn enable_gauges(&mut self) {
        self.gauges_available = true;
    }

    /// Stores the gauges that were requested.
    pub fn gauges_sampled(&mut self, now: Us, gauges: Gauges) {
        let sampled_at = self.advance_to(now);
        self.gauges = Some(GaugeSample { sampled_at, gauges });
    }

    /// Returns the time at which [`Engine::tick`] must be called next, in microseconds.
    pub fn next_timer(&self) -> Option<Us> {
        let must_request_gauges = self.gauges_available && !self.gauges_requested;
        let lead_time = if must_request_gauges { GAUGE_LEAD_TIME_US } else { 0 };
        let wakeup = self.wakeups.first().map(|at| at.saturating_sub(lead_time));
        let call = self.call_timeouts.first().map(|timeout| timeout.at);
        let drain = self.drain.map(|drain| drain.deadline).filter(|deadline| *deadline > self.now);
        [wakeup, call, drain].into_iter().flatten().min()
    }

    /// Advances the time to `now`, handles expired timers and wakes the decision module if a wakeup is due.
    pub fn tick(&mut self, now: Us, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        while let Some(timeout) = self.call_timeouts.first().copied().filter(|timeout| timeout.at <= self.now)
        {
            self.call_timed_out(timeout, out);
        }
        self.response_cache.expire(self.now);
        let control = &self.control;
        self.idempotency.expire(self.now, |method| control.idempotency_window(method));
        let Some(wakeup) = self.wakeups.first().copied() else { return };
        if self.gauges_available && !self.gauges_requested && wakeup <= self.now + GAUGE_LEAD_TIME_US {
            self.gauges_requested = true;
            out.request_gauges();
        }
        if wakeup <= self.now {
            self.wake(out);
        }
    }

    /// Wakes the decision module once for all wakeups that are due.
    fn wake(&mut self, out: &mut dyn Outputs<ReplyTo>) {
        self.wakeups = self.wakeups.split_off(&(self.now + 1));
        self.gauges_requested = false;
        let fresh = self.gauges.take().filter(|sample| sample.sampled_at + MAX_GAUGE_AGE_US > self.now);
        self.stats.wakeups += 1;
        self.stats.wakeups_without_gauges += u64::from(fresh.is_none());
        let gauges = fresh.map(|sample| sample.gauges).unwrap_or_default();
        let outcome = self.control.timer_fired(self.now, gauges);
        self.apply(outcome, out);
    }

    pub(crate) fn schedule_wakeup(&mut self, at: Us) {
        self.gauges_requested &= self.wakeups.first().is_some_and(|first| *first <= at);
        self.wakeups.insert(at);
    }
}
