//! The decision state of one server.

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

/// The components and settings of a [`Control`].
pub struct ControlParts {
    /// Minimum time between two inputs. Answers are given two steps before they are due.
    pub step: Us,
    /// The effect of cancelling a running RPC.
    pub stop_mode: StopMode,
    /// All methods, by [`crate::MethodId`].
    pub methods: Vec<Method>,
    /// Accounts of callers.
    pub accounts: CallerAccounts,
    /// The limit on RPCs that run at a time.
    pub concurrency: ConcurrencyLimit,
    /// Upstream calls, their limit and their circuit breaker.
    pub calls: UpstreamCalls,
    /// Retained idempotency and cache keys.
    pub keys: IdempotencyKeys,
    /// The memory budget.
    pub memory: MemoryBudget,
    /// The drain before a shutdown.
    pub drain: Drain,
    /// Feedback that is published to callers.
    pub feedback: CallerFeedback,
    /// Quotas of tenants.
    pub quotas: TenantQuotas,
}

/// The decision module of one server.
pub struct Control {
    pub(super) now: Us,
    pub(super) random: WyRand,
    pub(super) step: Us,
    pub(super) stop_mode: StopMode,
    /// All methods, ranked by criticality.
    pub(super) methods: RankedTable<Method>,
    /// Costs by method, ranked by mean cost.
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
    /// The timer of each open RPC that is not answered yet.
    pub(super) timers: BTreeSet<(Us, RpcId)>,
    /// Unanswered RPCs that wait for permission to make their upstream call.
    pub(super) waiting_to_call: BTreeSet<QueueKey>,
    pub(super) cores: CoreUsage,
    /// Ratio of recent serving times to the learned costs; 1 for a server at its usual speed.
    pub(super) slowdown: f64,
    /// Time of the next periodic adjustment.
    pub(super) next_tick: Us,
    /// The earliest requested wakeup that has not fired yet; `Us::MAX` for none.
    pub(super) next_wake: Us,
    /// Number of arrivals so far.
    pub(super) sequence: u64,
    /// The outcome that the current input returns.
    pub(super) outcome: Outcome,
}

impl Control {
    /// Creates the decision module of a server that starts at `now`. `seed` seeds its random number generator.
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

    /// Returns the highest max_cost of all methods, in microseconds.
    pub(super) fn highest_max_cost(&self) -> f64 {
        self.costs.max_rank(0.0) * COST_SPREAD
    }

    pub(super) fn redistribute_accounts(&mut self) {
        let highest_max_cost = self.highest_max_cost();
        self.accounts.redistribute(self.now, self.concurrency.target, highest_max_cost);
    }

    /// Reports whether the server is stalled: RPCs are running, but none has entered or left the cores for
    /// too long.
    ///
    /// This guards against runs that stop finishing because of a hang, a pause or a failed disk. The drawback is that
    /// an RPC that runs alone for several times its cost, which is rare, is taken for a stall.
    pub(super) fn is_stalled(&self) -> bool {
        let stall_timeout = STALL_FACTOR * self.highest_max_cost();
        self.cores.running > 0 && (self.now - self.cores.last_change) as f64 > stall_timeout
    }
}
