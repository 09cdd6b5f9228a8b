//! A server simulated in memory, with an independent record of its RPCs. Every invariant is checked on that record
//! instead of the decision module's own counters.

use super::server_config::{ServerConfig, CORES, GRACE, KEY_KB, LINGER, MS, RPC_KB, RUN_FACTOR};
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time after its deadline within which an RPC must be answered.
const DEADLINE_TOLERANCE: Us = 100 * MS;
/// Time at which a server starts.
const START: Us = 5_000 * MS;

/// The position of an RPC, as observed.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Position {
    Queued,
    Coalesced,
    Running,
    WaitingToCall,
    /// Waiting for its upstream call, which times out at this time.
    Calling(Us),
}

/// An RPC as observed.
#[derive(Clone, Debug)]
pub(super) struct ObservedRpc {
    pub(super) method: usize,
    pub(super) arrived: Us,
    pub(super) deadline: Us,
    pub(super) position: Position,
    /// Whether an answer is still due.
    pub(super) answer_due: bool,
    pub(super) ran: bool,
    /// Whether a call of an RPC that must not be repeated may have taken effect.
    pub(super) call_may_have_run: bool,
    pub(super) ended: bool,
}

impl ObservedRpc {
    fn waits_to_run(&self) -> bool {
        matches!(self.position, Position::Queued | Position::Coalesced)
    }

    fn memory_kb(&self) -> f64 {
        if self.waits_to_run() {
            RPC_KB
        } else {
            RPC_KB * RUN_FACTOR
        }
    }
}

/// Running RPCs and upstream calls from a point in time on.
pub(super) struct LoadSample {
    at: Us,
    running: f64,
    calls: f64,
}

/// A shutdown notice.
pub(super) struct ShutdownNotice {
    pub(super) at: Us,
    /// Time at which the process is killed.
    pub(super) kill_at: Us,
}

pub(super) struct Harness {
    pub(super) config: ServerConfig,
    pub(super) control: Control,
    pub(super) now: Us,
    pub(super) rpcs: BTreeMap<RpcId, ObservedRpc>,
    pub(super) drain: Option<ShutdownNotice>,
    pub(super) credit: Option<f64>,
    pub(super) health: Option<bool>,
    /// The outcome of the last input.
    pub(super) last: Outcome,
    wakes: BTreeSet<Us>,
    keys: BTreeMap<RpcId, Us>,
    lingering: Vec<Us>,
    load: Vec<LoadSample>,
    next_id: u64,
}

/// Creates an idle, warm server with four cores.
pub(super) fn idle_server() -> Harness {
    Harness::new(ServerConfig::default(), 1)
}

impl Harness {
    pub(super) fn new(config: ServerConfig, seed: u64) -> Harness {
        let control = config.control(START, seed);
        let mut harness = Harness {
            config,
            control,
            now: START,
            rpcs: BTreeMap::new(),
            drain: None,
            credit: None,
            health: None,
            last: Outcome::default(),
            wakes: BTreeSet::new(),
            keys: BTreeMap::new(),
            lingering: Vec::new(),
            load: Vec::new(),
            next_id: 0,
        };
        let first = harness.control.start();
        harness.apply(first);
        harness
    }

    /// Reads an RPC that was unread for `unread_for`. Its caller waits for `timeout` from its arrival.
    pub(super) fn read(
        &mut self, method: usize, caller: u64, unread_for: Us, timeout: Us, original: Option<RpcId>,
    ) -> RpcId {
        let id = RpcId::new(&format!("rpc-{}", self.next_id)).unwrap();
        self.next_id += 1;
        let arrived = self.now - unread_for;
        let timeout = if self.config.sends_deadline { timeout } else { 1_500 * MS };
        let deadline = arrived + timeout;
        let observed = ObservedRpc {
            method,
            arrived,
            deadline: deadline.max(self.now),
            position: Position::Queued,
            answer_due: true,
            ran: false,
            call_may_have_run: false,
            ended: false,
        };
        self.rpcs.insert(id, observed);
        let arrival = Arrival {
            id,
            method: MethodId(method),
            caller: CallerId(caller).into(),
            deadline: self.config.sends_deadline.then_some(deadline),
            size_kb: RPC_KB,
            unread_for,
            original,
            cache_key: None,
        };
        let outcome = self.control.rpc_read(self.now, arrival, None);
        self.apply(outcome);
        id
    }

    /// Reads RPCs of the first method and the first caller.
    pub(super) fn read_many(&mut self, count: usize) -> Vec<RpcId> {
        (0..count).map(|_| self.read(0, 0, 0, 1_500 * MS, None)).collect()
    }

    pub(super) fn end_run(&mut self, id: RpcId, end: RunEnd) {
        let rpc = self.rpcs.get_mut(&id).unwrap();
        rpc.ended = true;
        rpc.answer_due &= !matches!(end, RunEnd::Ok | RunEnd::Aborted);
        let outcome = self.control.run_ended(self.now, id, end);
        self.apply(outcome);
    }

    pub(super) fn need_call(&mut self, id: RpcId) {
        self.rpcs.get_mut(&id).unwrap().position = Position::WaitingToCall;
        let outcome = self.control.call_needed(self.now, id);
        self.apply(outcome);
    }

    pub(super) fn end_call(&mut self, id: RpcId, end: CallEnd) {
        let rpc = self.rpcs.get_mut(&id).unwrap();
        rpc.position = if end == CallEnd::Ok { Position::Running } else { Position::WaitingToCall };
        rpc.call_may_have_run |= self.config.idempotency[rpc.method] != Idempotency::Idempotent
            && matches!(end, CallEnd::Aborted | CallEnd::TimedOut);
        if end == CallEnd::TimedOut {
            self.lingering.push(self.now + LINGER);
        }
        let outcome = self.control.call_ended(self.now, id, end);
        self.apply(outcome);
    }

    pub(super) fn cancel(&mut self, id: RpcId) {
        let rpc = self.rpcs.get_mut(&id).unwrap();
        rpc.answer_due = false;
        rpc.ended = rpc.waits_to_run();
        if let Position::Calling(_) = rpc.position {
            self.lingering.push(self.now + LINGER);
            rpc.position = Position::WaitingToCall;
        }
        let outcome = self.control.caller_cancelled(self.now, id);
        self.apply(outcome);
    }

    pub(super) fn notify_drain(&mut self, kill_at: Us) {
        self.drain = Some(ShutdownNotice { at: self.now, kill_at });
        let outcome = self.control.drain(self.now, self.now, kill_at);
        self.apply(outcome);
    }

    /// Advances the time, firing all wakeups and call timeouts that are due.
    pub(super) fn advance(&mut self, duration: Us) {
        let until = self.now + duration;
        loop {
            let wake = self.wakes.first().copied().unwrap_or(Us::MAX);
            let timeout = |(id, rpc): (&RpcId, &ObservedRpc)| match rpc.position {
                Position::Calling(at) if !rpc.ended => Some((at, *id)),
                _ => None,
            };
            let call = self.rpcs.iter().filter_map(timeout).min();
            let next = wake.min(call.map_or(Us::MAX, |(at, _)| at));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            match call {
                Some((at, id)) if at <= wake => self.end_call(id, CallEnd::TimedOut),
                _ => {
                    self.wakes.remove(&wake);
                    let gauges = Gauges { runnable: Some(1.0), ..Gauges::default() };
                    let outcome = self.control.timer_fired(self.now, gauges);
                    self.apply(outcome);
                }
            }
            self.check();
        }
        self.now = until;
    }

    /// Returns the n-th open RPC that matches, modulo their number.
    pub(super) fn nth_open(&self, n: usize, matches: impl Fn(&ObservedRpc) -> bool) -> Option<RpcId> {
        let ids: Vec<RpcId> =
            self.rpcs.iter().filter(|(_, rpc)| !rpc.ended && matches(rpc)).map(|(id, _)| *id).collect();
        ids.get(n % ids.len().max(1)).copied()
    }

    pub(super) fn has_key(&self, id: &RpcId) -> bool {
        self.keys.contains_key(id)
    }

    /// Returns the number of open RPCs that match.
    pub(super) fn count(&self, matches: impl Fn(&ObservedRpc) -> bool) -> f64 {
        self.rpcs.values().filter(|rpc| !rpc.ended && matches(rpc)).count() as f64
    }

    /// Carries out an outcome as a server would, and checks each action.
    pub(super) fn apply(&mut self, outcome: Outcome) {
        self.apply_answers(&outcome);
        self.apply_keys(&outcome);
        self.apply_starts(&outcome);
        self.apply_calls(&outcome);
        self.credit = outcome.credit.or(self.credit);
        self.health = outcome.healthy.or(self.health);
        assert!(outcome.credit.is_none() || self.config.feedback != FeedbackMode::Off);
        assert!(outcome.credit.is_none_or(|credit| credit >= 0.0 && credit.is_finite()));
        self.wakes.extend(outcome.wake_after.map(|delay| self.now + delay));
        self.last = outcome;
        let now = self.now;
        self.keys.retain(|_, until| *until > now);
        self.lingering.retain(|until| *until > now);
        self.check_memory();
        let running = self.count(|rpc| rpc.position == Position::Running);
        let calls = self.count(|rpc| matches!(rpc.position, Position::Calling(_)));
        self.load.push(LoadSample { at: now, running, calls: calls + self.lingering.len() as f64 });
    }

    fn apply_answers(&mut self, outcome: &Outcome) {
        for Reply { id, answer } in &outcome.answers {
            let rpc = self.rpcs.get_mut(id).expect("answered RPC was read before");
            assert!(rpc.answer_due, "{id:?} answered twice");
            rpc.answer_due = false;
            let runs_once = self.config.idempotency[rpc.method] != Idempotency::Idempotent;
            if let Answer::Rejected { .. } = answer {
                assert!(!(runs_once && rpc.ran), "{id:?} rejected after it had run");
            }
            rpc.ended = rpc.waits_to_run();
            if let Position::Calling(_) = rpc.position {
                self.lingering.push(self.now + LINGER);
                rpc.position = Position::WaitingToCall;
            }
        }
        for id in &outcome.cancellations {
            assert!(self.config.stop_mode != StopMode::Off);
            assert!(!self.rpcs[id].answer_due, "{id:?} cancelled before it was answered");
        }
    }

    fn apply_keys(&mut self, outcome: &Outcome) {
        for KeyRetention { id, duration } in &outcome.retained_keys {
            self.keys.insert(*id, self.now + duration);
        }
        for id in &outcome.released_keys {
            self.keys.remove(id);
        }
    }

    fn apply_starts(&mut self, outcome: &Outcome) {
        for id in &outcome.coalesced {
            self.rpcs.get_mut(id).unwrap().position = Position::Coalesced;
        }
        for id in &outcome.starts {
            let rpc = self.rpcs.get_mut(id).unwrap();
            assert!(
                rpc.position == Position::Queued && rpc.answer_due && !rpc.ran,
                "{id:?} started without being queued and unanswered"
            );
            let in_grace = self.drain.as_ref().is_none_or(|notice| rpc.arrived < notice.at + GRACE);
            assert!(in_grace, "{id:?} started after the grace period");
            let keyed = self.config.idempotency[rpc.method] == Idempotency::Keyed;
            assert!(!keyed || self.keys.contains_key(id), "{id:?} started without its key retained");
            (rpc.position, rpc.ran) = (Position::Running, true);
        }
    }

    fn apply_calls(&mut self, outcome: &Outcome) {
        for CallRequest { id, timeout } in &outcome.calls {
            let rpc = self.rpcs.get_mut(id).unwrap();
            assert!(rpc.position == Position::WaitingToCall && rpc.answer_due && *timeout > 0);
            assert!(!rpc.call_may_have_run, "{id:?} calls again after a call that may have run");
            rpc.position = Position::Calling(self.now + timeout);
        }
        for id in &outcome.skipped_calls {
            let rpc = self.rpcs.get_mut(id).unwrap();
            assert!(rpc.position == Position::WaitingToCall && self.config.skip_value > 0.0);
            rpc.position = Position::Running;
        }
    }

    fn check_memory(&self) {
        let open = self.rpcs.values().filter(|rpc| !rpc.ended);
        let used = open.map(ObservedRpc::memory_kb).sum::<f64>() + self.keys.len() as f64 * KEY_KB;
        let memory_kb = self.config.memory_kb;
        assert!(used <= memory_kb, "{used} kB of memory in use, limit is {memory_kb} kB");
    }

    /// Checks that every RPC is answered in time, and that neither the cores nor the upstream are overloaded.
    pub(super) fn check(&self) {
        for (id, rpc) in self.rpcs.iter().filter(|(_, rpc)| rpc.answer_due) {
            let (deadline, now) = (rpc.deadline, self.now);
            assert!(
                now < deadline + DEADLINE_TOLERANCE,
                "{id:?} not answered by its deadline {deadline}, now {now}"
            );
            let before_kill = self.drain.as_ref().is_none_or(|notice| now < notice.kill_at);
            assert!(before_kill, "{id:?} not answered when the process is killed");
        }
        let elapsed = (self.now as f64 / 1e3 - 5_000.0).min(3_000.0) / 3e3;
        let speed = self.config.cold_speed + (1.0 - self.config.cold_speed) * elapsed;
        let sustainable_rpcs = (1.0 + (self.config.sustainable_rpcs_per_core - 1.0) * speed) * CORES as f64;
        assert!(
            self.mean(2_000 * MS, |load| load.running) <= sustainable_rpcs,
            "more RPCs run than the server sustains"
        );
        if let Upstream::Shared { quota, window } = self.config.upstream {
            assert!(
                self.mean(window, |load| load.calls) <= quota.max(1.0),
                "more calls in flight than the quota of the upstream"
            );
        }
    }

    /// Returns the mean of a value over the last `window`.
    fn mean(&self, window: Us, value: impl Fn(&LoadSample) -> f64) -> f64 {
        let (from, mut sum, mut until) = (self.now.saturating_sub(window), 0.0, self.now);
        for sample in self.load.iter().rev() {
            let since = sample.at.max(from);
            sum += value(sample) * until.saturating_sub(since) as f64;
            until = until.min(since);
        }
        sum / window as f64
    }
}
