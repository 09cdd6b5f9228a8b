//! State, constructor and accessors of the engine. The inputs are implemented in the modules `settings`, `intake`,
//! `runs`, `calls`, `drain` and `timers`, their effects in `answers` and `outcomes`.

use crate::config::{CopyBody, EngineConfig, RetentionLimits};
use crate::idempotency::IdempotencyTable;
use crate::recent_runs::RecentRuns;
use crate::request::Command;
use crate::response_cache::ResponseCache;
use crate::rpc::RpcState;
use crate::stats::EngineStats;
use crate::table::RpcTable;
use asterrill::{Control, Gauges, LearnedState, MethodId, RpcId, StagedTable, Status, Us};
use std::collections::{BTreeSet, VecDeque};
use std::ops::RangeBounds;

/// Time at which the engine stops waiting for the reply to an upstream call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallTimeout {
    pub(crate) at: Us,
    pub(crate) id: RpcId,
}

/// Gauges with the time at which they were sampled.
pub(crate) struct GaugeSample {
    pub(crate) sampled_at: Us,
    pub(crate) gauges: Gauges,
}

/// Graceful shutdown in progress.
#[derive(Clone, Copy)]
pub(crate) struct Drain {
    pub(crate) started_at: Us,
    /// Time by which every RPC must have been answered, in microseconds.
    pub(crate) deadline: Us,
}

/// Follow-up action of an outcome. It is reported to the decision module only after the whole outcome was applied, so
/// that events are processed in order.
pub(crate) enum Deferred {
    /// Ends an upstream call that could not be sent as rejected.
    RejectCall(RpcId),
    /// Answers a coalesced RPC whose original has already ended.
    FinishCoalesced(RpcId),
    /// Submits a coalesced RPC again because its original never ran.
    Resubmit(RpcId),
}

/// Table of open RPCs around the decision module; see the crate documentation. `ReplyTo` identifies the destination of
/// an answer, `Body` is the type that stores the bytes of a body.
pub struct Engine<ReplyTo, Body> {
    pub(crate) control: Control,
    /// Whether each method may be coalesced, indexed by method id.
    pub(crate) coalescible_methods: StagedTable<bool>,
    /// Lifetime of a cached result, in microseconds; 0 disables the response cache.
    pub(crate) result_ttl: Us,
    pub(crate) copy_body: CopyBody<Body>,
    pub(crate) now: Us,
    pub(crate) rpcs: RpcTable<ReplyTo, Body>,
    pub(crate) response_cache: ResponseCache<Body>,
    pub(crate) idempotency: IdempotencyTable,
    pub(crate) recent_runs: RecentRuns,
    /// Times at which the decision module asked to be woken.
    pub(crate) wakeups: BTreeSet<Us>,
    pub(crate) gauges_available: bool,
    /// Whether the gauges for the earliest wakeup have been requested.
    pub(crate) gauges_requested: bool,
    pub(crate) gauges: Option<GaugeSample>,
    pub(crate) call_timeouts: BTreeSet<CallTimeout>,
    /// Credit published to callers.
    pub(crate) credit: Option<f64>,
    pub(crate) drain: Option<Drain>,
    pub(crate) deferred: VecDeque<Deferred>,
    pub(crate) running_deferred: bool,
    /// Counters since the start.
    pub stats: EngineStats,
}

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Creates an engine without open RPCs that owns the decision module. `copy_body` copies the bodies that the engine
    /// retains.
    pub fn new(now: Us, control: Control, config: EngineConfig, copy_body: CopyBody<Body>) -> Self {
        let RetentionLimits { result_ttl, idempotency_result_bytes, max_rpc_lifetime } = config.limits;
        Engine {
            control,
            coalescible_methods: StagedTable::new(config.coalescible_methods),
            result_ttl,
            copy_body,
            now,
            rpcs: RpcTable::new(),
            response_cache: ResponseCache::new(),
            idempotency: IdempotencyTable::new(idempotency_result_bytes, max_rpc_lifetime),
            recent_runs: RecentRuns::new(),
            wakeups: BTreeSet::new(),
            gauges_available: false,
            gauges_requested: false,
            gauges: None,
            call_timeouts: BTreeSet::new(),
            credit: None,
            drain: None,
            deferred: VecDeque::new(),
            running_deferred: false,
            stats: EngineStats::default(),
        }
    }

    /// Advances the engine's time and returns it. The time stays unchanged if the clock was set back.
    pub fn advance_to(&mut self, now: Us) -> Us {
        self.now = self.now.max(now);
        self.now
    }

    /// Reports whether RPCs of this method are currently accepted.
    pub fn has_method(&self, method: MethodId) -> bool {
        self.control.has_method(method)
    }

    /// Reports whether this tenant currently has a quota.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        self.control.has_tenant(tenant)
    }

    /// Reports whether idempotent RPCs of this method may share the result of one run.
    pub fn is_coalescible(&self, method: MethodId) -> bool {
        self.result_ttl > 0 && self.coalescible_methods.get(method.0).copied().unwrap_or(false)
    }

    /// Returns the mean time to serve an RPC of a method, as learned so far, in microseconds.
    pub fn mean_cost(&self, method: MethodId) -> f64 {
        self.control.mean_cost(method)
    }

    /// Returns the memory used by queued and running RPCs, in kB.
    pub fn memory_in_use_kb(&self) -> f64 {
        self.control.memory_used_kb()
    }

    /// Returns the state that the decision module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.control.learned_state()
    }

    /// Returns the status of the decision module.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// Returns the credit published to callers, if there is one.
    pub fn credit(&self) -> Option<f64> {
        self.credit
    }

    /// Returns the number of open RPCs.
    pub fn open_rpcs(&self) -> usize {
        self.rpcs.len()
    }

    /// Returns the number of RPCs that still await their final answer.
    pub fn unanswered(&self) -> usize {
        self.rpcs.unanswered_count()
    }

    /// Returns the requesters in a range that still await an answer.
    pub fn unanswered_in(&self, range: impl RangeBounds<ReplyTo>) -> impl Iterator<Item = &ReplyTo> {
        self.rpcs.unanswered_in(range)
    }

    /// Reports whether this requester still awaits an answer and its run has been started.
    pub fn is_launched(&self, reply_to: ReplyTo) -> bool {
        let state = self.rpcs.unanswered(reply_to).and_then(|id| self.rpcs.state(id));
        state.is_some_and(|state| !matches!(state, RpcState::Queued | RpcState::Coalesced))
    }

    /// Returns the last command sent to the executor of this RPC while its run is in progress.
    pub fn last_command(&self, id: RpcId) -> Option<Command<'_>> {
        self.rpcs.get(id)?.last_command()
    }
}
