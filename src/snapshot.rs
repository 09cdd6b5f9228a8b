//! What a server has learned, out and in again, and where it stands. `asterrill-recovery` weighs what still holds.

use super::*;

const CALLERS: usize = 1000; // accounts that are handed out, those heard last first

impl Control {
    /// What was learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let limit = self.accounts.buf_limit.max(1.0);
        let account = |(_, caller): &(Us, CallerId)| {
            self.accounts.of.get(caller).map(|a| {
                let ratio = (a.buf_value / limit).clamp(0.0, 1.0);
                LearnedBalance { caller: *caller, ratio }
            })
        };
        LearnedState {
            costs: self
                .costs
                .iter()
                .map(|(i, c)| LearnedCost { method: MethodId(i), mean: c.mean, runs: c.n - 1.0 })
                .collect(),
            concurrency_target: Some(self.target.target),
            slowdown: Some(self.pace),
            call_failures: self.calls.failures,
            accounts: self.accounts.heard.iter().rev().take(CALLERS).filter_map(account).collect(),
            tenants: self
                .shares
                .rates
                .iter()
                .filter_map(|(i, _)| Some(LearnedAllowance { tenant: i, rpcs: self.shares.rooms.get(i)?.0 }))
                .collect(),
            age: 0,
        }
    }

    /// Takes up what was learned before this start; what is not told stays as it is.
    pub fn restore(&mut self, now: Us, told: LearnedState) -> Outcome {
        self.after(now, |c| {
            for LearnedCost { method, mean, runs } in told.costs {
                c.costs.alter(method.0, |cost| *cost = Cost { n: runs + 1.0, mean });
            }
            c.target.set(c.now, told.concurrency_target.unwrap_or(c.target.target));
            c.pace = told.slowdown.unwrap_or(c.pace);
            c.calls.failures = told.call_failures.min(FAILURES - 1);
            c.share_out();
            for LearnedBalance { caller, ratio } in told.accounts.into_iter().take(CALLERS) {
                let account = c.accounts.recharge(c.now, caller);
                account.buf_value *= ratio;
                let last = account.last_seen;
                c.accounts.heard.insert((last, caller));
            }
            for LearnedAllowance { tenant, rpcs } in told.tenants {
                let known = c.shares.rates.get(tenant).and(c.shares.rooms.get_mut(tenant));
                if let Some(left) = known {
                    *left = (rpcs.min(TENANT_RPCS), c.now.saturating_sub(told.age));
                }
            }
        })
    }

    /// RPCs of this method can be read now.
    pub fn has_method(&self, method: MethodId) -> bool {
        self.method(method).is_some()
    }
    /// This tenant has a share now.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        self.tenant(tenant).is_some()
    }
    /// A method, and a tenant's RPCs a second over the whole fleet, as they are in force.
    pub fn method(&self, method: MethodId) -> Option<&Method> {
        self.methods.get(method.0)
    }
    pub fn tenant(&self, tenant: usize) -> Option<f64> {
        self.shares.rates.get(tenant).copied()
    }

    pub fn status(&self) -> Status {
        let ConcurrencyLimit { start, ramp, cold_from, .. } = &self.target;
        let warm = *cold_from >= 1.0 || self.now.saturating_sub(*start) as f64 >= *ramp;
        Status {
            slowdown: self.pace,
            warm,
            breaker_open: self.calls.shut(self.now),
            stalled: self.still(),
            call_limit: self.calls.bound,
            calls_in_flight: self.calls.placed,
            waiting_to_call: self.at_call.len(),
        }
    }
}
