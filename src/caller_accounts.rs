//! Accounts of callers, which divide the serving time among callers when the server is full.
//!
//! The terms buf_value, buf_limit, buf_correction, mrr (minimum recharge rate), max_cost and real_cost are those of the
//! published design (`docs/design.md`). Amounts are nanoseconds of serving time.

use crate::ids::{Caller, CallerId, Us};
use crate::tuning::ACTIVITY_WINDOW;
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of buf_limit to mrr, as a fraction of the shortest latency target. A burst of that size is still served in
/// time.
const BUFFER_TARGET_FRACTION: f64 = 0.5;
/// Lower bound of buf_limit, in RPCs of the highest max_cost. With a lower limit, a caller that rarely sends could
/// never pay for such an RPC.
const MIN_BUFFERED_RPCS: f64 = 2.0;
/// Time without use after which an account is removed.
const ACCOUNT_LIFETIME: Us = 60 * ACTIVITY_WINDOW;

/// The account of one caller.
pub(crate) struct Account {
    /// The number that the caller stated last.
    stated: CallerId,
    pub(crate) buf_value: f64,
    buf_correction: f64,
    last_update: Us,
    pub(crate) last_seen: Us,
}

/// A deduction from an account for one RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    pub(crate) amount: f64,
    /// Ratio of buf_value to buf_limit after the deduction.
    pub(crate) relative_buffer: f64,
}

/// The accounts of the callers.
pub struct CallerAccounts {
    pub(crate) accounts: BTreeMap<CallerId, Account>,
    pub(crate) by_last_seen: BTreeSet<(Us, CallerId)>,
    /// Time in milliseconds in which mrr fills an empty account.
    pub(crate) buffer_span_ms: f64,
    /// Number of callers in the settings.
    pub(crate) expected_callers: f64,
    /// Number of accounts charged in the last second, at least 1.
    pub(crate) active: f64,
    /// Number of different callers that these accounts state to be, at least 1.
    pub(crate) active_callers: f64,
    pub(crate) mrr: f64,
    pub(crate) buf_limit: f64,
}

impl CallerAccounts {
    /// Creates an empty set of accounts. `shortest_target` is the shortest latency target of all methods, `callers`
    /// the number of callers in the settings.
    pub fn new(shortest_target: Us, callers: usize) -> CallerAccounts {
        let expected_callers = callers.max(1) as f64;
        CallerAccounts {
            accounts: BTreeMap::new(),
            by_last_seen: BTreeSet::new(),
            buffer_span_ms: shortest_target as f64 / 1e3 * BUFFER_TARGET_FRACTION,
            expected_callers,
            active: expected_callers,
            active_callers: expected_callers,
            mrr: 1e6,
            buf_limit: 0.0,
        }
    }

    /// Divides target_parallel_reqs among the active callers and removes unused accounts. `highest_max_cost` is the
    /// highest max_cost of all methods, in microseconds.
    pub(crate) fn redistribute(&mut self, now: Us, concurrency_target: f64, highest_max_cost: f64) {
        self.remove_unused(now);
        self.count_active(now);
        self.mrr = concurrency_target * 1e6 / self.active;
        self.buf_limit = (self.mrr * self.buffer_span_ms).max(highest_max_cost * 1e3 * MIN_BUFFERED_RPCS);
    }

    fn count_active(&mut self, now: Us) {
        let active_since = now.saturating_sub(ACTIVITY_WINDOW);
        let active = self.by_last_seen.range((active_since, CallerId(0))..);
        let stated = |(_, caller): &(Us, CallerId)| self.accounts.get(caller).map(|account| account.stated);
        let mut stated: Vec<CallerId> = active.filter_map(stated).collect();
        self.active = stated.len().max(1) as f64;
        stated.sort_unstable();
        stated.dedup();
        self.active_callers = stated.len().max(1) as f64;
    }

    fn remove_unused(&mut self, now: Us) {
        while let Some((last_seen, caller)) = self.by_last_seen.first().copied() {
            if last_seen + ACCOUNT_LIFETIME > now {
                return;
            }
            self.by_last_seen.pop_first();
            self.accounts.remove(&caller);
        }
    }

    /// Records that the caller sent an RPC, and returns its buf_value.
    pub(crate) fn record_seen(&mut self, now: Us, Caller { account: caller, stated }: Caller) -> f64 {
        let account = self.recharge(now, caller);
        account.stated = stated;
        let buf_value = account.buf_value;
        let previous_last_seen = std::mem::replace(&mut account.last_seen, now);
        self.by_last_seen.remove(&(previous_last_seen, caller));
        self.by_last_seen.insert((now, caller));
        buf_value
    }

    /// Recharges an account up to `now` and returns it. A new account starts full.
    pub(crate) fn recharge(&mut self, now: Us, caller: CallerId) -> &mut Account {
        let limit = self.buf_limit;
        let full = Account {
            stated: caller,
            buf_value: limit,
            buf_correction: 0.0,
            last_update: now,
            last_seen: now,
        };
        let account = self.accounts.entry(caller).or_insert(full);
        account.buf_value =
            (account.buf_value + self.mrr * (now - account.last_update) as f64 / 1e3).min(limit);
        account.last_update = now;
        account
    }

    /// Deducts max_cost, or buf_value if that is less.
    pub(crate) fn charge(&mut self, now: Us, caller: CallerId, max_cost: f64) -> Charge {
        let limit = self.buf_limit;
        let account = self.recharge(now, caller);
        let amount = max_cost.min(account.buf_value);
        account.buf_value -= amount;
        Charge { amount, relative_buffer: account.buf_value / limit }
    }

    /// Corrects an account after an RPC has ended, by the amount actually charged.
    ///
    /// As in the published design, the congestion penalty is applied first, and then the amount by which the real
    /// cost is less than the charge.
    pub(crate) fn correct(
        &mut self, now: Us, caller: CallerId, charged: f64, real_cost: f64, congestion_penalty: f64,
    ) {
        let limit = self.buf_limit;
        let account = self.recharge(now, caller);
        account.buf_correction =
            (account.buf_correction - congestion_penalty).min(0.0) + (charged - real_cost).max(0.0);
        account.buf_value = (account.buf_value + account.buf_correction.max(0.0)).min(limit);
        account.buf_correction = account.buf_correction.min(0.0);
    }
}
