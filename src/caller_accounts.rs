//! Accounts of callers: who may have how much serving time when the server is full. The words buf_value, buf_limit,
//! buf_correction, mrr (minimum recharge rate), max_cost and real_cost are those of the source (`docs/design.md`).
//! Amounts are nanoseconds of serving time.

use crate::ids::{CallerId, Us};
use crate::tuning::ACTIVITY_WINDOW;
use std::collections::{BTreeMap, BTreeSet};

/// buf_limit over mrr, in shortest latency targets: a burst of that size is still served in time.
const BUFFER_SPAN: f64 = 0.5;
/// buf_limit in RPCs of the highest cost at least; with less, a quiet caller could never afford one.
const MIN_BUFFERED_RPCS: f64 = 2.0;
/// Accounts not used for this long, in microseconds, are dropped.
const ACCOUNT_LIFETIME: Us = 60 * ACTIVITY_WINDOW;

/// The account of one caller.
pub(crate) struct Account {
    pub(crate) buf_value: f64,
    buf_correction: f64,
    last_update: Us,
    pub(crate) last_seen: Us,
}

/// What was taken from an account for one RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    pub(crate) amount: f64,
    /// buf_value over buf_limit after the deduction.
    pub(crate) relative_buffer: f64,
}

/// The accounts of the callers.
pub struct CallerAccounts {
    pub(crate) accounts: BTreeMap<CallerId, Account>,
    pub(crate) by_last_seen: BTreeSet<(Us, CallerId)>,
    /// Milliseconds in which mrr fills an empty account.
    pub(crate) buffer_span_ms: f64,
    /// Callers that the settings name.
    pub(crate) expected_callers: f64,
    /// Callers seen in the last second, at least 1.
    pub(crate) active: f64,
    pub(crate) mrr: f64,
    pub(crate) buf_limit: f64,
}

impl CallerAccounts {
    /// `shortest_target` is the shortest latency target of all methods, `callers` the number of callers that the
    /// settings name.
    pub fn new(shortest_target: Us, callers: usize) -> CallerAccounts {
        let expected_callers = callers.max(1) as f64;
        CallerAccounts {
            accounts: BTreeMap::new(),
            by_last_seen: BTreeSet::new(),
            buffer_span_ms: shortest_target as f64 / 1e3 * BUFFER_SPAN,
            expected_callers,
            active: expected_callers,
            mrr: 1e6,
            buf_limit: 0.0,
        }
    }

    /// Divides target_parallel_reqs among the active callers and drops accounts long unused. `highest_cost` is the
    /// highest max_cost of all methods, in microseconds.
    pub(crate) fn redistribute(&mut self, now: Us, concurrency_target: f64, highest_cost: f64) {
        self.drop_unused(now);
        let active_since = now.saturating_sub(ACTIVITY_WINDOW);
        self.active = self.by_last_seen.range((active_since, CallerId(0))..).count().max(1) as f64;
        self.mrr = concurrency_target * 1e6 / self.active;
        self.buf_limit = (self.mrr * self.buffer_span_ms).max(highest_cost * 1e3 * MIN_BUFFERED_RPCS);
    }

    fn drop_unused(&mut self, now: Us) {
        while let Some((last_seen, caller)) = self.by_last_seen.first().copied() {
            if last_seen + ACCOUNT_LIFETIME > now {
                return;
            }
            self.by_last_seen.pop_first();
            self.accounts.remove(&caller);
        }
    }

    /// The caller sent an RPC. Returns its buf_value.
    pub(crate) fn record_seen(&mut self, now: Us, caller: CallerId) -> f64 {
        let account = self.recharge(now, caller);
        let buf_value = account.buf_value;
        let seen_before = std::mem::replace(&mut account.last_seen, now);
        self.by_last_seen.remove(&(seen_before, caller));
        self.by_last_seen.insert((now, caller));
        buf_value
    }

    /// Brings an account up to now. One that is new here is full.
    pub(crate) fn recharge(&mut self, now: Us, caller: CallerId) -> &mut Account {
        let limit = self.buf_limit;
        let full = Account { buf_value: limit, buf_correction: 0.0, last_update: now, last_seen: now };
        let account = self.accounts.entry(caller).or_insert(full);
        account.buf_value =
            (account.buf_value + self.mrr * (now - account.last_update) as f64 / 1e3).min(limit);
        account.last_update = now;
        account
    }

    /// Deducts max_cost, or what there is of it.
    pub(crate) fn charge(&mut self, now: Us, caller: CallerId, max_cost: f64) -> Charge {
        let limit = self.buf_limit;
        let account = self.recharge(now, caller);
        let amount = max_cost.min(account.buf_value);
        account.buf_value -= amount;
        Charge { amount, relative_buffer: account.buf_value / limit }
    }

    /// The source's correction, in its order, on what was really charged: first the congestion penalty, then what
    /// the RPC cost less than it was charged.
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
