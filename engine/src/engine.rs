//! The engine's state, its construction and its figures. Its inputs are in the modules `settings`, `intake`, `runs`,
//! `calls`, `drain` and `timers`; what they lead to is in `answers` and `outcomes`.

use crate::config::{CopyBody, EngineConfig, RetentionLimits};
use crate::idempotency::IdempotencyTable;
use crate::request::Command;
use crate::response_cache::ResponseCache;
use crate::rpc::RpcState;
use crate::stats::EngineStats;
use crate::table::RpcTable;
use asterrill::{Control, Gauges, LearnedState, MethodId, RpcId, StagedTable, Status, Us};
use std::collections::{BTreeSet, VecDeque};
use std::ops::RangeBounds;

/// When the reply to an upstream call is not waited for any more.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallTimeout {
    pub(crate) at: Us,
    pub(crate) id: RpcId,
}

/// Gauges and when they were sampled.
pub(crate) struct GaugeSample {
    pub(crate) sampled_at: Us,
    pub(crate) gauges: Gauges,
}

/// A graceful shutdown.
#[derive(Clone, Copy)]
pub(crate) struct Drain {
    pub(crate) started_at: Us,
    /// When everything must have been answered, in microseconds.
    pub(crate) deadline: Us,
}

/// What an outcome leads to at once. The decision module hears of it only after the whole outcome was applied, so that
/// nothing older is overtaken.
pub(crate) enum Deferred {
    /// An upstream call could not be sent: it ends as rejected.
    RejectCall(RpcId),
    /// The original of a coalesced RPC has ended already: the RPC is answered.
    FinishCoalesced(RpcId),
    /// The original of a coalesced RPC never ran: the RPC is submitted again.
    Resubmit(RpcId),
}

/// The table of open RPCs around the decision module; see the crate's documentation. `ReplyTo` says who waits for an
/// answer, `Body` is how the bytes of a body are retained.
pub struct Engine<ReplyTo, Body> {
    pub(crate) control: Control,
    /// By method.
    pub(crate) coalescible_methods: StagedTable<bool>,
    /// How long the result of a read may serve others, in microseconds; 0 if never.
    pub(crate) result_ttl: Us,
    pub(crate) copy_body: CopyBody<Body>,
    pub(crate) now: Us,
    pub(crate) rpcs: RpcTable<ReplyTo, Body>,
    pub(crate) response_cache: ResponseCache<Body>,
    pub(crate) idempotency: IdempotencyTable,
    /// When the decision module asked to be woken.
    pub(crate) wakeups: BTreeSet<Us>,
    pub(crate) gauges_available: bool,
    /// The gauges for the first of the wakeups were asked for.
    pub(crate) gauges_requested: bool,
    pub(crate) gauges: Option<GaugeSample>,
    pub(crate) call_timeouts: BTreeSet<CallTimeout>,
    /// The number published to callers.
    pub(crate) credit: Option<f64>,
    pub(crate) drain: Option<Drain>,
    pub(crate) deferred: VecDeque<Deferred>,
    pub(crate) running_deferred: bool,
    /// What was counted since the start.
    pub stats: EngineStats,
}

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// An engine without RPCs, which owns the decision module. `copy_body` makes the copies of bodies that are
    /// retained.
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

    /// Advances the engine's time and returns it. The clock may be set back; the engine's time never is.
    pub fn advance_to(&mut self, now: Us) -> Us {
        self.now = self.now.max(now);
        self.now
    }

    /// Whether RPCs of this method are accepted now.
    pub fn has_method(&self, method: MethodId) -> bool {
        self.control.has_method(method)
    }

    /// Whether this tenant has a quota now.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        self.control.has_tenant(tenant)
    }

    /// Whether idempotent RPCs of this method may share the result of one run.
    pub fn is_coalescible(&self, method: MethodId) -> bool {
        self.result_ttl > 0 && self.coalescible_methods.get(method.0).copied().unwrap_or(false)
    }

    /// The mean time to serve an RPC of a method, as learned so far, in microseconds.
    pub fn mean_cost(&self, method: MethodId) -> f64 {
        self.control.mean_cost(method)
    }

    /// Memory of the RPCs that are queued and run, in kB.
    pub fn memory_in_use_kb(&self) -> f64 {
        self.control.memory_used_kb()
    }

    /// What the decision module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.control.learned_state()
    }

    /// Where the decision module stands.
    pub fn status(&self) -> Status {
        self.control.status()
    }

    /// The number published to callers, where there is one.
    pub fn credit(&self) -> Option<f64> {
        self.credit
    }

    /// Open RPCs.
    pub fn open_rpcs(&self) -> usize {
        self.rpcs.len()
    }

    /// Answers due in all.
    pub fn unanswered(&self) -> usize {
        self.rpcs.unanswered_count()
    }

    /// The requesters in a range to whom an answer is due.
    pub fn unanswered_in(&self, range: impl RangeBounds<ReplyTo>) -> impl Iterator<Item = &ReplyTo> {
        self.rpcs.unanswered_in(range)
    }

    /// Whether an answer is due to this requester and the run for it was started.
    pub fn is_launched(&self, reply_to: ReplyTo) -> bool {
        let state = self.rpcs.unanswered(reply_to).and_then(|id| self.rpcs.state(id));
        state.is_some_and(|state| !matches!(state, RpcState::Queued | RpcState::Coalesced))
    }

    /// The last command that the executor of this RPC was sent, while its run goes on.
    pub fn last_command(&self, id: RpcId) -> Option<Command<'_>> {
        self.rpcs.get(id)?.last_command()
    }
}
