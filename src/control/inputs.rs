//! The inputs of the decision module: one method for each kind of event.

use super::state::Control;
use crate::cost_estimate::CostEstimate;
use crate::events::{Arrival, CallEnd, Gauges, RunEnd};
use crate::ids::{MethodId, RpcId, Us};
use crate::method::SettingsUpdate;
use crate::outcome::Outcome;
use crate::status::RecoveryLimits;
use crate::tuning::{SLOWDOWN_SAMPLES, TICKS_PER_WINDOW, TICK_INTERVAL};

impl Control {
    /// Returns the initial outcome: what to publish, and when to wake up first.
    pub fn start(&mut self) -> Outcome {
        self.handle(self.now, |_| ())
    }

    /// Handles an RPC that was read.
    pub fn rpc_read(&mut self, now: Us, arrival: Arrival, tenant: Option<usize>) -> Outcome {
        self.handle(now, |control| control.admit(arrival, tenant))
    }

    /// Handles the cancellation of an RPC by its caller, or the caller's disconnection.
    ///
    /// A queued RPC ends at once; a running one ends with `run_ended`.
    pub fn caller_cancelled(&mut self, now: Us, id: RpcId) -> Outcome {
        self.handle(now, |control| control.mark_answered(id))
    }

    /// Handles the end of a run, or the answer to a coalesced RPC.
    pub fn run_ended(&mut self, now: Us, id: RpcId, end: RunEnd) -> Outcome {
        self.handle(now, |control| control.finish(id, end))
    }

    /// Handles a run that needs the result of an upstream call to continue.
    pub fn call_needed(&mut self, now: Us, id: RpcId) -> Outcome {
        self.handle(now, |control| control.wait_to_call(id))
    }

    /// Handles the end of an upstream call.
    pub fn call_ended(&mut self, now: Us, id: RpcId, end: CallEnd) -> Outcome {
        self.handle(now, |control| control.handle_call_end(id, end))
    }

    /// Handles a run that may not have received the reply to its upstream call, and then still waits for it.
    pub fn reply_uncertain(&mut self, now: Us, id: RpcId) -> Outcome {
        self.handle(now, |control| control.abandon_reply(id))
    }

    /// Handles a shutdown notice that was received at `noticed_at`. The process will be killed at `kill_at`.
    pub fn drain(&mut self, now: Us, noticed_at: Us, kill_at: Us) -> Outcome {
        self.handle(now, |control| {
            let answers_due = kill_at.saturating_sub(2 * control.step);
            control.drain.begin(noticed_at, answers_due);
            control.cap_deadlines(answers_due);
            control.outcome.log.push("shutdown notice received; draining".into());
        })
    }

    /// Handles a requested timer that has fired.
    pub fn timer_fired(&mut self, now: Us, gauges: Gauges) -> Outcome {
        self.handle(now, |control| {
            if control.now >= control.next_wake {
                control.next_wake = Us::MAX;
            }
            if control.now >= control.next_tick {
                control.tick(gauges);
            }
        })
    }

    /// Stages settings, replacing what was staged for the same methods and tenants before. They have no effect until
    /// `commit`.
    ///
    /// A removed method keeps its index and settings for open RPCs, with criticality 0, and its learned cost in case
    /// it is added again. A tenant that is added again starts with a full allowance.
    pub fn stage(&mut self, updates: &[SettingsUpdate]) {
        for update in updates {
            match update {
                SettingsUpdate::Tenant(tenant, rate) => self.quotas.stage(*tenant, *rate),
                SettingsUpdate::Method(MethodId(index), method) => {
                    if self.costs.get(*index).is_none() {
                        self.costs.stage(*index, method.as_ref().map(CostEstimate::new));
                    }
                    self.methods.stage(*index, method.clone());
                }
            }
        }
    }

    /// Brings all staged settings into force at once, with the global settings of `globals` if given.
    ///
    /// The methods and tenants of `globals` are ignored. Accounts, learned costs, concurrency target, breaker,
    /// allowances of tenants, and the settings under which each open RPC was read are kept.
    pub fn commit(&mut self, now: Us, globals: Option<Control>) -> Outcome {
        self.handle(now, |control| {
            control.methods.commit();
            control.costs.commit();
            control.quotas.rates.commit();
            if let Some(globals) = &globals {
                control.reconfigure(globals);
            }
            control.redistribute_accounts();
        })
    }

    /// Sets the limits that apply during recovery.
    pub fn set_recovery_limits(&mut self, now: Us, limits: RecoveryLimits) -> Outcome {
        self.handle(now, |control| control.recovery = limits)
    }

    /// Sets the factor on this server's share of all quotas that the settings divide among servers.
    pub fn set_quota_fraction(&mut self, now: Us, fraction: f64) -> Outcome {
        self.handle(now, |control| {
            control.quotas.fraction = fraction;
            control.calls.quota_fraction = fraction;
        })
    }

    /// Advances the integrals to `now`, applies the input and the scheduling rules, and returns the outcome.
    pub(super) fn handle(&mut self, now: Us, input: impl FnOnce(&mut Control)) -> Outcome {
        let elapsed = now.saturating_sub(self.now) as f64;
        self.cores.advance(self.concurrency.target, elapsed * 1e3);
        self.calls.advance(now, elapsed);
        self.now = now.max(self.now);
        input(self);
        self.run_rules();
        self.publish();
        self.schedule_wake();
        std::mem::take(&mut self.outcome)
    }

    /// Requests a wakeup for the next timer or tick, unless an earlier one is already requested.
    fn schedule_wake(&mut self) {
        let next_timer = self.timers.first().map_or(self.next_tick, |(at, _)| self.next_tick.min(*at));
        let next = next_timer.max(self.now + 1);
        if next < self.next_wake {
            self.next_wake = next;
            self.outcome.wake_after = Some(next - self.now);
        }
    }

    /// Makes the periodic adjustments and expires retained keys.
    fn tick(&mut self, gauges: Gauges) {
        self.next_tick = self.now + TICK_INTERVAL;
        self.keys.expire(self.now);
        self.concurrency.adjust(self.now, gauges, self.cores.running as f64, self.slowdown);
        self.redistribute_accounts();
        self.outcome.close_idle_after = gauges.connections.and_then(|open| {
            self.feedback.adjust_idle_timeout(open, self.accounts.active_callers, self.concurrency.cores)
        });
        // Without runs nothing can show that the server has recovered, so the slowdown decays towards 1.
        if self.cores.running == 0 {
            self.slowdown += (1.0 - self.slowdown) / SLOWDOWN_SAMPLES / TICKS_PER_WINDOW as f64;
        }
    }

    /// Applies the global settings of another instance.
    fn reconfigure(&mut self, globals: &Control) {
        self.concurrency.reconfigure(&globals.concurrency);
        self.calls.reconfigure(&globals.calls);
        self.keys.reconfigure(&globals.keys);
        self.memory.reconfigure(&globals.memory);
        self.drain.grace = globals.drain.grace;
        self.feedback.reconfigure(&globals.feedback);
        self.quotas.reconfigure(&globals.quotas);
        self.accounts.buffer_span_ms = globals.accounts.buffer_span_ms;
        self.step = globals.step;
        self.stop_mode = globals.stop_mode;
    }
}
