//! Export and restoration of learned values, and the server's status. `asterrill-recovery` decides which values of a
//! snapshot are restored.

use super::state::Control;
use crate::cost_estimate::CostEstimate;
use crate::ids::{CallerId, MethodId, RpcId, Us};
use crate::learned_state::{LearnedAllowance, LearnedBalance, LearnedCost, LearnedState};
use crate::method::{Idempotency, Method, StopMode};
use crate::outcome::Outcome;
use crate::status::Status;
use crate::tenant_quotas::{Allowance, MAX_ALLOWANCE_RPCS};
use crate::upstream_calls::BREAKER_FAILURE_THRESHOLD;

/// Maximum number of accounts that are exported and restored, the most recently seen first.
const MAX_SNAPSHOT_CALLERS: usize = 1000;

impl Control {
    /// Returns the values learned so far.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            costs: self.learned_costs(),
            concurrency_target: Some(self.concurrency.target),
            slowdown: Some(self.slowdown),
            call_failures: self.calls.failures,
            accounts: self.learned_balances(),
            tenants: self.learned_allowances(),
            age: 0,
        }
    }

    fn learned_costs(&self) -> Vec<LearnedCost> {
        let learned = |(index, cost): (usize, &CostEstimate)| {
            // The initial estimate counts as a sample, but is not a run.
            LearnedCost { method: MethodId(index), mean: cost.mean, runs: cost.samples - 1.0 }
        };
        self.costs.iter().map(learned).collect()
    }

    fn learned_balances(&self) -> Vec<LearnedBalance> {
        let limit = self.accounts.buf_limit.max(1.0);
        let balance = |(_, caller): &(Us, CallerId)| {
            let account = self.accounts.accounts.get(caller)?;
            Some(LearnedBalance { caller: *caller, ratio: (account.buf_value / limit).clamp(0.0, 1.0) })
        };
        self.accounts.by_last_seen.iter().rev().take(MAX_SNAPSHOT_CALLERS).filter_map(balance).collect()
    }

    fn learned_allowances(&self) -> Vec<LearnedAllowance> {
        let allowance = |(tenant, _): (usize, &f64)| {
            Some(LearnedAllowance { tenant, rpcs: self.quotas.allowances.get(tenant)?.rpcs })
        };
        self.quotas.rates.iter().filter_map(allowance).collect()
    }

    /// Restores values that were learned before a restart. Absent values are left unchanged.
    pub fn restore(&mut self, now: Us, learned: LearnedState) -> Outcome {
        self.handle(now, |control| {
            for LearnedCost { method, mean, runs } in learned.costs {
                control.costs.update(method.0, |cost| *cost = CostEstimate { samples: runs + 1.0, mean });
            }
            let target = learned.concurrency_target.unwrap_or(control.concurrency.target);
            control.concurrency.set_target(control.now, target);
            control.slowdown = learned.slowdown.unwrap_or(control.slowdown);
            control.calls.failures = learned.call_failures.min(BREAKER_FAILURE_THRESHOLD - 1);
            control.redistribute_accounts();
            control.restore_balances(learned.accounts);
            control.restore_allowances(learned.tenants, learned.age);
        })
    }

    fn restore_balances(&mut self, balances: Vec<LearnedBalance>) {
        for LearnedBalance { caller, ratio } in balances.into_iter().take(MAX_SNAPSHOT_CALLERS) {
            let account = self.accounts.recharge(self.now, caller);
            account.buf_value *= ratio;
            let last_seen = account.last_seen;
            self.accounts.by_last_seen.insert((last_seen, caller));
        }
    }

    fn restore_allowances(&mut self, allowances: Vec<LearnedAllowance>, age: Us) {
        let updated_at = self.now.saturating_sub(age);
        for LearnedAllowance { tenant, rpcs } in allowances {
            if self.quotas.rates.get(tenant).is_none() {
                continue;
            }
            if let Some(allowance) = self.quotas.allowances.get_mut(tenant) {
                *allowance = Allowance { rpcs: rpcs.min(MAX_ALLOWANCE_RPCS), updated_at };
            }
        }
    }

    /// Reports whether a method is in force.
    pub fn has_method(&self, method: MethodId) -> bool {
        self.method(method).is_some()
    }

    /// Returns the idempotency window in force for a method, in microseconds; 0 if its RPCs carry no idempotency key.
    pub fn idempotency_window(&self, method: MethodId) -> Us {
        let keyed = self.method(method).filter(|method| method.idempotency == Idempotency::Keyed);
        keyed.map_or(0, |method| method.idempotency_window)
    }

    /// Reports whether a tenant has a quota in force.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        self.tenant_rate(tenant).is_some()
    }

    /// Reports whether a run can be stopped, by the settings.
    pub fn can_stop_runs(&self) -> bool {
        self.stop_mode != StopMode::Off
    }

    /// Reports whether an open RPC may be run more than once, by the settings in force when it was read.
    pub fn is_idempotent(&self, id: RpcId) -> bool {
        self.rpcs.get(&id).is_some_and(|rpc| rpc.idempotency == Idempotency::Idempotent)
    }

    /// Returns the settings of a method that are in force.
    pub fn method(&self, method: MethodId) -> Option<&Method> {
        self.methods.get(method.0)
    }

    /// Returns the quota of a tenant that is in force, in RPCs per second over the whole fleet.
    pub fn tenant_rate(&self, tenant: usize) -> Option<f64> {
        self.quotas.rates.get(tenant).copied()
    }

    /// Returns the learned mean serving time of a method in microseconds; 0 for an unknown method.
    pub fn mean_cost(&self, method: MethodId) -> f64 {
        self.costs.get(method.0).map_or(0.0, |cost| cost.mean)
    }

    /// Returns the memory reserved by queued and running RPCs, in kB.
    pub fn memory_used_kb(&self) -> f64 {
        self.memory.used_kb
    }

    /// Returns the status of the server.
    pub fn status(&self) -> Status {
        Status {
            slowdown: self.slowdown,
            warm: self.concurrency.is_warm(self.now),
            breaker_open: self.calls.breaker_open(self.now),
            stalled: self.is_stalled(),
            call_limit: self.calls.limit,
            calls_in_flight: self.calls.in_flight,
            waiting_to_call: self.waiting_to_call.len(),
        }
    }
}
