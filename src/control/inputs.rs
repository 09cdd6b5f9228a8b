//! The inputs: one method for each thing that happens to a server.

use super::state::Control;
use crate::cost_estimate::CostEstimate;
use crate::events::{Arrival, CallEnd, Gauges, RunEnd};
use crate::ids::{MethodId, RpcId, Us};
use crate::method::SettingsUpdate;
use crate::outcome::Outcome;
use crate::status::RecoveryLimits;
use crate::tuning::{SLOWDOWN_MEMORY, TICKS_PER_WINDOW, TICK_INTERVAL};

impl Control {
    /// The start: what to publish, and when to wake first.
    pub fn start(&mut self) -> Outcome {
        self.handle(self.now, |_| ())
    }

    /// An RPC was read.
    pub fn rpc_read(&mut self, now: Us, arrival: Arrival, tenant: Option<usize>) -> Outcome {
        self.handle(now, |control| control.admit(arrival, tenant))
    }

    /// The caller of this RPC has cancelled it or left. A queued one is over; a running one ends with `run_ended`.
    pub fn caller_cancelled(&mut self, now: Us, id: RpcId) -> Outcome {
        self.handle(now, |control| control.settle(id))
    }

    /// A run has ended, or a coalesced RPC was answered.
    pub fn run_ended(&mut self, now: Us, id: RpcId, end: RunEnd) -> Outcome {
        self.handle(now, |control| control.finish(id, end))
    }

    /// A run can't go on without an upstream call.
    pub fn call_needed(&mut self, now: Us, id: RpcId) -> Outcome {
        self.handle(now, |control| control.wait_to_call(id))
    }

    /// An upstream call has ended.
    pub fn call_ended(&mut self, now: Us, id: RpcId, end: CallEnd) -> Outcome {
        self.handle(now, |control| control.take_call_end(id, end))
    }

    /// The notice to shut down came at `noticed`: the process is killed at `kill`.
    pub fn drain(&mut self, now: Us, noticed: Us, kill: Us) -> Outcome {
        self.handle(now, |control| {
            let answers_due = kill.saturating_sub(2 * control.step);
            control.drain.begin(noticed, answers_due);
            control.bring_deadlines_forward(answers_due);
            control.outcome.log.push("notice to leave".into());
        })
    }

    /// A timer asked for has fired.
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

    /// Stages settings beside those in force, in place of what was staged for the same methods and tenants before:
    /// nothing of them shows until `commit`. A method that is removed keeps its index for open RPCs, with
    /// criticality 0, and its learned cost is there when it comes again; a tenant then starts anew.
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

    /// All that was staged is in force from now on, at once, with the global settings of `globals`, of whose methods
    /// and tenants nothing is taken. Accounts, learned costs, concurrency target, breaker, allowances of tenants, and
    /// the settings under which each RPC was read go on.
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

    /// Limits of recovery, from now on.
    pub fn set_recovery_limits(&mut self, now: Us, limits: RecoveryLimits) -> Outcome {
        self.handle(now, |control| control.recovery = limits)
    }

    /// This server's part, from now on, of whatever the settings divide among servers, as a factor on what they
    /// give it.
    pub fn set_quota_fraction(&mut self, now: Us, fraction: f64) -> Outcome {
        self.handle(now, |control| {
            control.quotas.fraction = fraction;
            control.calls.quota_fraction = fraction;
        })
    }

    /// Brings the integrals up to now, takes the input in, lets the rules act and returns what is to be done.
    pub(super) fn handle(&mut self, now: Us, input: impl FnOnce(&mut Control)) -> Outcome {
        let elapsed = now.saturating_sub(self.now) as f64;
        self.cores.advance(self.concurrency.target, elapsed * 1e3);
        self.calls.advance(now, elapsed);
        self.now = now.max(self.now);
        input(self);
        self.run_rules();
        self.publish();
        self.ask_for_wake();
        std::mem::take(&mut self.outcome)
    }

    fn ask_for_wake(&mut self) {
        let next_timer = self.timers.first().map_or(self.next_tick, |(at, _)| self.next_tick.min(*at));
        let next = next_timer.max(self.now + 1);
        if next < self.next_wake {
            self.next_wake = next;
            self.outcome.wake_after = Some(next - self.now);
        }
    }

    /// The periodic adjustments.
    fn tick(&mut self, gauges: Gauges) {
        self.next_tick = self.now + TICK_INTERVAL;
        self.keys.expire(self.now);
        self.concurrency.adjust(self.now, gauges, self.cores.running as f64, self.slowdown);
        self.redistribute_accounts();
        self.outcome.close_idle_after = gauges.connections.and_then(|open| {
            self.feedback.adjust_idle_timeout(open, self.accounts.active, self.concurrency.cores)
        });
        // With nothing running, nothing shows a recovery: the slowdown is forgiven step by step.
        if self.cores.running == 0 {
            self.slowdown += (1.0 - self.slowdown) / SLOWDOWN_MEMORY / TICKS_PER_WINDOW as f64;
        }
    }

    /// Takes over the global settings of another instance.
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
