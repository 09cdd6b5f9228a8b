//! What a server has learned, out and in again, and where it stands. `asterrill-recovery` weighs what still holds.

use super::*;

const CALLERS: usize = 1000; // accounts that are handed out, those heard last first

impl Control {
    /// What was learned so far.
    pub fn learned(&self) -> Experience {
        let limit = self.accounts.buf_limit.max(1.0);
        let account = |(_, caller): &(Us, CallerId)| {
            self.accounts.of.get(caller).map(|a| (*caller, (a.buf_value / limit).clamp(0.0, 1.0)))
        };
        Experience {
            costs: self.costs.iter().map(|(i, c)| (MethodId(i), c.mean, c.n - 1.0)).collect(),
            target: Some(self.target.target),
            pace: Some(self.pace),
            failures: self.calls.failures,
            accounts: self.accounts.heard.iter().rev().take(CALLERS).filter_map(account).collect(),
            tenants: self
                .shares
                .rates
                .iter()
                .filter_map(|(i, _)| Some((i, self.shares.rooms.get(i)?.0)))
                .collect(),
            age: 0,
        }
    }

    /// Takes up what was learned before this start; what is not told stays as it is.
    pub fn recall(&mut self, now: Us, told: Experience) -> Outcome {
        self.after(now, |c| {
            for (method, mean, n) in told.costs {
                c.costs.alter(method.0, |cost| *cost = Cost { n: n + 1.0, mean });
            }
            c.target.set(c.now, told.target.unwrap_or(c.target.target));
            c.pace = told.pace.unwrap_or(c.pace);
            c.calls.failures = told.failures.min(FAILURES - 1);
            c.share_out();
            for (caller, share) in told.accounts.into_iter().take(CALLERS) {
                let account = c.accounts.recharge(c.now, caller);
                account.buf_value *= share;
                let last = account.last_seen;
                c.accounts.heard.insert((last, caller));
            }
            for (tenant, room) in told.tenants {
                let known = c.shares.rates.get(tenant).and(c.shares.rooms.get_mut(tenant));
                if let Some(left) = known {
                    *left = (room.min(TENANT_RPCS), c.now.saturating_sub(told.age));
                }
            }
        })
    }

    /// RPCs of this method can be read now.
    pub fn knows_method(&self, method: MethodId) -> bool {
        self.method(method).is_some()
    }
    /// This tenant has a share now.
    pub fn knows_tenant(&self, tenant: usize) -> bool {
        self.tenant(tenant).is_some()
    }
    /// A method, and a tenant's RPCs a second over the whole fleet, as they are in force.
    pub fn method(&self, method: MethodId) -> Option<&Method> {
        self.methods.get(method.0)
    }
    pub fn tenant(&self, tenant: usize) -> Option<f64> {
        self.shares.rates.get(tenant).copied()
    }

    pub fn standing(&self) -> Standing {
        let Target { start, ramp, cold_from, .. } = &self.target;
        let warm = *cold_from >= 1.0 || self.now.saturating_sub(*start) as f64 >= *ramp;
        let (shut, calls, at_call) = (self.calls.shut(self.now), self.calls.placed, self.at_call.len());
        let (pace, still, most_calls) = (self.pace, self.still(), self.calls.bound);
        Standing { pace, warm, shut, still, most_calls, calls, at_call }
    }
}
