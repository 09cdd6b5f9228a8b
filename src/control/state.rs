//! The state of one server's decisions.

use crate::admission_queue::{AdmissionQueue, QueueKey};
use crate::caller_accounts::CallerAccounts;
use crate::caller_feedback::CallerFeedback;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::core_usage::CoreUsage;
use crate::cost_estimate::CostEstimate;
use crate::drain::Drain;
use crate::idempotency_keys::IdempotencyKeys;
use crate::ids::{RpcId, Us};
use crate::memory_budget::MemoryBudget;
use crate::method::{Method, StopMode};
use crate::outcome::Outcome;
use crate::ranked_table::RankedTable;
use crate::rpc::Rpc;
use crate::status::RecoveryLimits;
use crate::tenant_quotas::TenantQuotas;
use crate::tuning::{COST_SPREAD, STALL_FACTOR};
use crate::upstream_calls::UpstreamCalls;
use nanorand::WyRand;
use std::collections::{BTreeMap, BTreeSet};

/// What a [`Control`] is made of.
pub struct ControlParts {
    /// The least time between two inputs; answers are given two of them before they are due.
    pub step: Us,
    /// What cancelling a running RPC does.
    pub stop_mode: StopMode,
    /// All methods, by [`crate::MethodId`].
    pub methods: Vec<Method>,
    /// Accounts of callers.
    pub accounts: CallerAccounts,
    /// How many RPCs run at a time.
    pub concurrency: ConcurrencyLimit,
    /// Upstream calls.
    pub calls: UpstreamCalls,
    /// Retained idempotency and cache keys.
    pub keys: IdempotencyKeys,
    /// Memory.
    pub memory: MemoryBudget,
    /// Graceful shutdown.
    pub drain: Drain,
    /// What is published to callers.
    pub feedback: CallerFeedback,
    /// Quotas of tenants.
    pub quotas: TenantQuotas,
}

/// One server's decisions.
pub struct Control {
    pub(super) now: Us,
    pub(super) random: WyRand,
    pub(super) step: Us,
    pub(super) stop_mode: StopMode,
    /// Ranked by criticality.
    pub(super) methods: RankedTable<Method>,
    /// Ranked by mean cost.
    pub(super) costs: RankedTable<CostEstimate>,
    pub(crate) accounts: CallerAccounts,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) queue: AdmissionQueue,
    pub(crate) calls: UpstreamCalls,
    pub(super) keys: IdempotencyKeys,
    pub(super) memory: MemoryBudget,
    pub(super) drain: Drain,
    pub(crate) feedback: CallerFeedback,
    pub(crate) quotas: TenantQuotas,
    pub(super) recovery: RecoveryLimits,
    /// Open RPCs.
    pub(super) rpcs: BTreeMap<RpcId, Rpc>,
    /// One timer for each open RPC that is owed an answer.
    pub(super) timers: BTreeSet<(Us, RpcId)>,
    /// RPCs that wait for permission to make their upstream call, and are owed an answer.
    pub(super) waiting_to_call: BTreeSet<QueueKey>,
    pub(super) cores: CoreUsage,
    /// Recent serving times over the learned costs; 1 for a server at its usual speed.
    pub(super) slowdown: f64,
    /// When the next periodic adjustment is due.
    pub(super) next_tick: Us,
    /// The earliest wake that was asked for and has not come; `Us::MAX` for none.
    pub(super) next_wake: Us,
    /// Arrivals so far.
    pub(super) sequence: u64,
    /// What is handed back after the current input.
    pub(super) outcome: Outcome,
}

impl Control {
    /// Makes the decision state of a server that starts now. `seed` seeds all random draws.
    pub fn new(now: Us, seed: u64, parts: ControlParts) -> Control {
        let costs = parts.methods.iter().map(CostEstimate::new).collect();
        let mut control = Control {
            now,
            random: WyRand::new_seed(seed),
            step: parts.step,
            stop_mode: parts.stop_mode,
            methods: RankedTable::new(parts.methods, |method| method.criticality),
            costs: RankedTable::new(costs, |cost| cost.mean),
            accounts: parts.accounts,
            concurrency: parts.concurrency,
            queue: AdmissionQueue::default(),
            calls: parts.calls,
            keys: parts.keys,
            memory: parts.memory,
            drain: parts.drain,
            feedback: parts.feedback,
            quotas: parts.quotas,
            recovery: RecoveryLimits::NONE,
            rpcs: BTreeMap::new(),
            timers: BTreeSet::new(),
            waiting_to_call: BTreeSet::new(),
            cores: CoreUsage::default(),
            slowdown: 1.0,
            next_tick: now,
            next_wake: Us::MAX,
            sequence: 0,
            outcome: Outcome::default(),
        };
        control.redistribute_accounts();
        control
    }

    /// The highest max_cost of all methods, in microseconds.
    pub(super) fn highest_cost(&self) -> f64 {
        self.costs.greatest(0.0) * COST_SPREAD
    }

    pub(super) fn redistribute_accounts(&mut self) {
        let highest_cost = self.highest_cost();
        self.accounts.redistribute(self.now, self.concurrency.target, highest_cost);
    }

    /// Guards against work that stops finishing (hang, pause, dead disk): nothing comes on or off the cores.
    /// Harm: a rare run of several times its cost with no other beside it.
    pub(super) fn is_stalled(&self) -> bool {
        let stalled_after = STALL_FACTOR * self.highest_cost();
        self.cores.running > 0 && (self.now - self.cores.last_change) as f64 > stalled_after
    }
}
