//! Test harness that simulates front ends, an executor and an upstream tier. Requesters are numbers, and each test
//! decides when runs end.

use crate::{
    AnsweredRpc, Engine, EngineConfig, IdempotencyKey, IncomingRpc, Outputs, RetentionLimits,
    UpstreamConnectionId, UpstreamLinkId,
};
use asterrill::*;
use std::collections::{BTreeMap, BTreeSet};

pub(super) const MS: Us = 1_000;
/// Idempotency window, which applies to RPCs with idempotency keys.
pub(super) const WINDOW: Us = 700 * MS;
/// Index of the method whose RPCs have idempotency keys.
pub(super) const KEYED_METHOD: usize = 2;

/// Returns a method whose RPCs carry idempotency keys with this window.
pub(super) fn keyed_method(idempotency_window: Us) -> Method {
    Method { idempotency_window, ..method(Idempotency::Keyed, 2.0, 0.0) }
}

fn method(idempotency: Idempotency, criticality: f64, skip_value_ratio: f64) -> Method {
    Method {
        latency_target: 400 * MS,
        deadline: 900 * MS,
        idempotency,
        criticality,
        late_value_ratio: 0.0,
        idempotency_window: WINDOW,
        skip_value_ratio,
    }
}

pub(super) fn control(upstream: Upstream) -> Control {
    let methods = vec![
        method(Idempotency::Idempotent, 1.0, 0.5),
        method(Idempotency::NonIdempotent, 3.0, 0.0),
        keyed_method(WINDOW),
    ];
    Control::new(
        0,
        7,
        ControlParts {
            step: 4 * MS,
            stop_mode: StopMode::Abort,
            methods,
            accounts: CallerAccounts::new(400 * MS, 2),
            concurrency: ConcurrencyLimit::new(0, 2, 8.0, 1.0, 1),
            calls: UpstreamCalls::new(upstream, 2, 50 * MS, 400 * MS),
            keys: IdempotencyKeys::new(0.0, 0),
            memory: MemoryBudget::new(4_000.0, 4.0),
            drain: Drain::new(400 * MS),
            feedback: CallerFeedback::new(FeedbackMode::Credit, 0, 400 * MS, 0),
            quotas: TenantQuotas::new(&[], 1, 1.0),
        },
    )
}

/// Outputs that record all requested actions and check the guarantees of the engine.
#[derive(Default)]
pub(super) struct Recorder {
    pub(super) requests: BTreeMap<u64, RpcId>,
    pub(super) answers: BTreeMap<u64, &'static str>,
    pub(super) runs: BTreeSet<RpcId>,
    pub(super) launched: BTreeSet<RpcId>,
    pub(super) closed: BTreeSet<RpcId>,
    pub(super) calls: BTreeMap<RpcId, UpstreamLinkId>,
    pub(super) stops: Vec<RpcId>,
    pub(super) violations: Vec<String>,
    /// Whether upstream calls can't be sent.
    pub(super) calls_fail: bool,
    /// Attempts of RPCs with idempotency keys, with their times of arrival.
    pub(super) attempts: BTreeMap<RpcId, (IdempotencyKey, Us)>,
    /// Attempt that ran last for each key, with its time of arrival.
    pub(super) last_run: BTreeMap<IdempotencyKey, (RpcId, Us)>,
}

impl Recorder {
    /// Reports whether this is the result of a run with the same idempotency key.
    pub(super) fn is_result_of_same_key(&self, to: u64, result: &[u8]) -> bool {
        let key_of = |id: &RpcId| self.attempts.get(id).map(|(key, _)| *key);
        let key = self.requests.get(&to).and_then(key_of);
        key.is_some() && self.launched.iter().any(|id| key_of(id) == key && id.as_str().as_bytes() == result)
    }
}

impl Outputs<u64> for Recorder {
    fn answer(&mut self, to: u64, answer: FinalAnswer<'_>, _: Option<f64>, answered: Option<AnsweredRpc>) {
        if answered.is_none() {
            self.violations.push(format!("{to}: answered without details of the RPC"));
        }
        let kind = match answer {
            FinalAnswer::Ok(result) => {
                let own = self.requests.get(&to).is_some_and(|id| id.as_str().as_bytes() == result);
                if !own && !self.is_result_of_same_key(to, result) {
                    self.violations.push(format!("{to}: answered with the result of another run"));
                }
                "ok"
            }
            FinalAnswer::Rejected { .. }
                if self.requests.get(&to).is_some_and(|id| self.launched.contains(id)) =>
            {
                self.violations.push(format!("{to}: rejected although it ran"));
                "rejected"
            }
            FinalAnswer::Rejected { .. } => {
                let attempt = self.requests.get(&to).and_then(|id| self.attempts.get(id));
                let ran = attempt
                    .and_then(|(key, at)| self.last_run.get(key).filter(|(_, ran)| *at < ran + WINDOW));
                if ran.is_some() {
                    self.violations.push(format!("{to}: rejected although an attempt of it ran"));
                }
                "rejected"
            }
            FinalAnswer::Aborted => "aborted",
        };
        if self.answers.insert(to, kind).is_some() {
            self.violations.push(format!("{to}: answered twice"));
        }
    }
    fn closed(&mut self, id: RpcId) {
        if !self.closed.insert(id) {
            self.violations.push(format!("{id:?}: closed twice"));
        }
    }
    fn launch(&mut self, _: u64, id: RpcId, _: MethodId, _: &[u8]) {
        if !self.launched.insert(id) || self.closed.contains(&id) {
            self.violations.push(format!("{id:?}: launched twice or after it was closed"));
        }
        if let Some((key, at)) = self.attempts.get(&id).copied() {
            if self.last_run.insert(key, (id, at)).is_some_and(|(_, ran)| at < ran + WINDOW) {
                self.violations.push(format!("{id:?}: run again within the idempotency window"));
            }
        }
        self.runs.insert(id);
    }
    fn stop(&mut self, id: RpcId) {
        self.stops.push(id);
    }
    fn resume(&mut self, id: RpcId, _: &[u8]) {
        self.runs.insert(id);
    }
    fn skip(&mut self, id: RpcId) {
        self.runs.insert(id);
    }
    fn run_completed(&mut self, _: u64) {}
    fn request_gauges(&mut self) {}
    fn send_call(
        &mut self, used: &mut Vec<UpstreamConnectionId>, id: RpcId, _: Us, _: &[u8],
    ) -> Option<UpstreamLinkId> {
        let link = UpstreamLinkId(used.len());
        used.push(UpstreamConnectionId { link, connection: 1 });
        if !self.calls_fail && self.calls.insert(id, link).is_some() {
            self.violations.push(format!("{id:?}: two concurrent calls"));
        }
        Some(link).filter(|_| !self.calls_fail)
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        if self.calls.remove(&id) != Some(link) {
            self.violations.push(format!("{id:?}: cancelled a call that was not sent"));
        }
    }
    fn call_finished(&mut self, _: UpstreamLinkId, _: bool) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Us) {}
    fn log(&mut self, _: &str) {}
}

/// Engine under test with recorded outputs.
pub(super) struct Harness {
    pub(super) engine: Engine<u64, Vec<u8>>,
    pub(super) recorder: Recorder,
    pub(super) now: Us,
    pub(super) deadlines: BTreeMap<u64, Us>,
}

impl Harness {
    pub(super) fn new(upstream: Upstream) -> Harness {
        let config = EngineConfig {
            coalescible_methods: vec![true, false, false],
            limits: RetentionLimits {
                result_ttl: 0,
                idempotency_result_bytes: 64,
                max_rpc_lifetime: 900 * MS,
            },
        };
        let mut engine = Engine::new(0, control(upstream), config, Box::new(|bytes| Some(bytes.to_vec())));
        let mut recorder = Recorder::default();
        engine.start(0, &mut recorder);
        Harness { engine, recorder, now: 0, deadlines: BTreeMap::new() }
    }
    pub(super) fn request(&mut self, method: usize, timeout: Us) -> u64 {
        self.request_attempt(method, timeout, None, 0)
    }
    /// Sends an attempt of the RPC with this idempotency key, which is read `unread` after its arrival.
    pub(super) fn request_attempt(&mut self, method: usize, timeout: Us, key: Option<u8>, unread: Us) -> u64 {
        let key = key.map(|n| IdempotencyKey([n; 16]));
        let requester = self.recorder.requests.len() as u64 + 1;
        let id = RpcId::new(&format!("{requester:x}")).unwrap();
        self.recorder.requests.insert(requester, id);
        self.recorder.attempts.extend(key.map(|key| (id, (key, self.now - unread))));
        let request = IncomingRpc {
            id,
            method: MethodId(method),
            tenant: None,
            caller: CallerId(requester % 3).into(),
            deadline: Some(self.now + timeout),
            read_delay: unread,
            size_kb: 10.0,
            cache_key: None,
            coalescible: false,
            idempotency_key: key,
            denied: false,
            stop_when_over: false,
        };
        self.deadlines.insert(requester, self.now + timeout);
        let accepted =
            self.engine.request_received(self.now, requester, request, b"body", &mut self.recorder);
        assert_eq!(accepted, Ok(()));
        requester
    }
    pub(super) fn nth_run(&self, n: usize) -> Option<RpcId> {
        let count = self.recorder.runs.len().max(1);
        self.recorder.runs.iter().nth(n % count).copied()
    }
    pub(super) fn end_nth_run(&mut self, n: usize, end: RunEnd) {
        let Some(id) = self.nth_run(n) else { return };
        self.recorder.runs.remove(&id);
        self.end_run(id, end);
    }
    /// Ends a run with its id as the result.
    pub(super) fn end_run(&mut self, id: RpcId, end: RunEnd) {
        self.engine.run_ended(self.now, id, end, id.as_str().as_bytes(), &mut self.recorder);
    }
    pub(super) fn advance(&mut self, span: Us) {
        let until = self.now + span;
        while let Some(at) = self.engine.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.tick(self.now, &mut self.recorder);
        }
        self.now = until;
    }
    pub(super) fn check(&self) {
        assert_eq!(self.recorder.violations, Vec::<String>::new());
        for (requester, deadline) in &self.deadlines {
            assert!(
                self.recorder.answers.contains_key(requester) || self.now <= *deadline,
                "{requester} was not answered"
            );
        }
    }
    pub(super) fn step(&mut self, step: u8, n: usize) {
        match step % 8 {
            0 | 1 => _ = self.request(n % 2, [60, 400, 900][n % 3] * MS),
            2 => {
                let unread = self.now.min(n as Us % 9 * MS);
                self.request_attempt(
                    KEYED_METHOD,
                    [60, 400, 900][n % 3] * MS,
                    Some((n / 3 % 5) as u8),
                    unread,
                );
            }
            3 => self.end_nth_run(n, [RunEnd::Ok, RunEnd::Ok, RunEnd::Aborted][n % 3]),
            4 => {
                if let Some(id) = self.nth_run(n) {
                    self.recorder.runs.remove(&id);
                    if !self.engine.call_needed(self.now, id, Some(b"call"), &mut self.recorder) {
                        self.engine.run_ended(self.now, id, RunEnd::Stopped, &[], &mut self.recorder);
                    }
                }
            }
            5 => {
                let first = self.recorder.calls.iter().next().map(|(id, link)| (*id, *link));
                if let Some((id, link)) = first {
                    self.recorder.calls.remove(&id);
                    let end = [CallEnd::Ok, CallEnd::Aborted, CallEnd::Rejected][n % 3];
                    self.engine.call_ended(self.now, link, id, end, b"reply", &mut self.recorder);
                }
            }
            6 => self.recorder.calls_fail = n.is_multiple_of(4),
            _ => self.advance(n as Us % 40 * MS),
        }
        self.check();
    }
}
