//! Random inputs in which requesters use few ids over and over, and ids that come again after their run has ended.

use super::harness::{control, KEYED_METHOD, MS, WINDOW};
use crate::{
    AnsweredRpc, Engine, EngineConfig, IdempotencyKey, IncomingRpc, IntakeError, Outputs, RetentionLimits,
    UpstreamConnectionId, UpstreamLinkId,
};
use asterrill::{CallerId, FinalAnswer, MethodId, RpcId, RunEnd, Upstream, Us};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 2_000;
const STEPS: usize = 200;
const TIMEOUT: Us = 900 * MS;
/// Number of different ids that are used at a time.
const IDS: u64 = 6;
/// Number of requests after which the ids in use move on by one, because an id that has run is not accepted again.
const REQUESTS_PER_ID: u64 = 3;
/// Number of different reads, and of different idempotency keys.
const KEYS: u8 = 3;

/// Peers of the engine. The result of a run is the body with which it was launched.
#[derive(Default)]
struct Peers {
    /// Bodies and times of arrival of the accepted RPCs, by requester.
    accepted: BTreeMap<u64, (Vec<u8>, Us)>,
    answers: BTreeMap<u64, &'static str>,
    runs: BTreeMap<RpcId, Vec<u8>>,
    launched: BTreeSet<RpcId>,
    /// Arrival of the attempt that ran last, for each body of the method with idempotency keys.
    last_keyed_run: BTreeMap<Vec<u8>, Us>,
    now: Us,
    violations: Vec<String>,
}

impl Outputs<u64> for Peers {
    fn answer(&mut self, to: u64, answer: FinalAnswer<'_>, _: Option<f64>, _: Option<AnsweredRpc>) {
        let kind = match answer {
            FinalAnswer::Ok(result) => {
                if self.accepted.get(&to).is_some_and(|(body, _)| body != result) {
                    self.violations.push(format!("{to} got the result of another RPC"));
                }
                "ok"
            }
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Aborted => "aborted",
        };
        if self.answers.insert(to, kind).is_some() {
            self.violations.push(format!("{to} was answered twice"));
        }
    }
    fn closed(&mut self, id: RpcId) {
        if self.runs.contains_key(&id) {
            self.violations.push(format!("{id:?} was closed while it ran"));
        }
    }
    fn launch(&mut self, requester: u64, id: RpcId, method: MethodId, body: &[u8]) {
        if self.runs.insert(id, body.to_vec()).is_some() {
            self.violations.push(format!("{id:?} was launched while it ran"));
        }
        if !self.launched.insert(id) {
            self.violations.push(format!("{id:?} was launched twice"));
        }
        if method == MethodId(KEYED_METHOD) {
            let arrived_at = self.accepted.get(&requester).map_or(0, |(_, arrived_at)| *arrived_at);
            let last_run = self.last_keyed_run.insert(body.to_vec(), arrived_at);
            if last_run.is_some_and(|earlier| arrived_at < earlier + WINDOW) {
                self.violations.push(format!("{id:?} ran again within the idempotency window"));
            }
        }
    }
    fn stop(&mut self, _: RpcId) {}
    fn resume(&mut self, _: RpcId, _: &[u8]) {}
    fn skip(&mut self, _: RpcId) {}
    fn run_completed(&mut self, _: u64) {}
    fn request_gauges(&mut self) {}
    fn send_call(
        &mut self, _: &mut Vec<UpstreamConnectionId>, _: RpcId, _: Us, _: &[u8],
    ) -> Option<UpstreamLinkId> {
        None
    }
    fn cancel_call(&mut self, _: UpstreamLinkId, _: RpcId) {}
    fn call_finished(&mut self, _: UpstreamLinkId, _: bool) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Us) {}
    fn log(&mut self, _: &str) {}
}

struct Harness {
    engine: Engine<u64, Vec<u8>>,
    peers: Peers,
    requests: u64,
    refused: u64,
}

impl Harness {
    fn new() -> Harness {
        let limits = RetentionLimits {
            result_ttl: 150 * MS,
            idempotency_result_bytes: 4_096,
            max_rpc_lifetime: TIMEOUT,
        };
        let config = EngineConfig { coalescible_methods: vec![true, false, false], limits };
        let control = control(Upstream::Absent);
        let mut engine = Engine::new(0, control, config, Box::new(|bytes| Some(bytes.to_vec())));
        let mut peers = Peers::default();
        engine.start(0, &mut peers);
        Harness { engine, peers, requests: 0, refused: 0 }
    }

    /// Sends an RPC of the method with idempotency keys, or a read.
    fn request(&mut self, id: u64, keyed: bool, key: u8) {
        self.requests += 1;
        self.send(id, if keyed { KEYED_METHOD } else { 0 }, keyed, key);
    }

    /// Sends an RPC with a key of its own, and returns whether it was accepted.
    fn send_single(&mut self, method: usize, keyed: bool, id: u64) -> bool {
        let refused = self.refused;
        self.requests += 1;
        self.send(id, method, keyed, id as u8);
        self.refused == refused
    }

    fn send(&mut self, id: u64, method: usize, keyed: bool, key: u8) {
        let requester = self.requests;
        let request = IncomingRpc {
            id: RpcId::from_number(id),
            method: MethodId(method),
            tenant: None,
            caller: CallerId(requester % 3).into(),
            deadline: Some(self.peers.now + TIMEOUT),
            read_delay: 0,
            size_kb: 1.0,
            cache_key: Some(u64::from(key)).filter(|_| !keyed),
            coalescible: !keyed,
            idempotency_key: Some(IdempotencyKey([key; 16])).filter(|_| keyed),
            denied: false,
            stop_when_over: false,
        };
        let body = format!("{keyed} {key}").into_bytes();
        self.peers.accepted.insert(requester, (body.clone(), self.peers.now));
        let accepted =
            self.engine.request_received(self.peers.now, requester, request, &body, &mut self.peers);
        if let Err(error) = accepted {
            assert_eq!(error, IntakeError::IdInUse);
            self.refused += 1;
            self.peers.accepted.remove(&requester);
            assert!(!self.peers.answers.contains_key(&requester), "refused and answered");
        }
    }

    fn end_run(&mut self, n: usize, end: RunEnd) {
        let count = self.peers.runs.len().max(1);
        let Some(id) = self.peers.runs.keys().nth(n % count).copied() else { return };
        let result = self.peers.runs.remove(&id).unwrap_or_default();
        self.engine.run_ended(self.peers.now, id, end, &result, &mut self.peers);
    }

    fn advance(&mut self, span: Us) {
        let until = self.peers.now + span;
        while let Some(at) = self.engine.next_timer().filter(|at| *at <= until) {
            self.peers.now = self.peers.now.max(at);
            self.engine.tick(self.peers.now, &mut self.peers);
        }
        self.peers.now = until;
    }

    fn step(&mut self, kind: u8, n: u16) {
        match kind % 8 {
            0..=3 => self.request(
                self.requests / REQUESTS_PER_ID + u64::from(n) % IDS,
                n.is_multiple_of(2),
                (n / 7 % u16::from(KEYS)) as u8,
            ),
            4 | 5 => self.end_run(usize::from(n), RunEnd::Ok),
            6 => self.end_run(usize::from(n), [RunEnd::Aborted, RunEnd::Stopped][usize::from(n % 2)]),
            _ => self.advance(Us::from(n % 200) * MS),
        }
    }

    fn run_to_completion(&mut self) {
        while !self.peers.runs.is_empty() {
            self.end_run(0, RunEnd::Ok);
        }
        self.advance(2 * TIMEOUT);
        while !self.peers.runs.is_empty() {
            self.end_run(0, RunEnd::Ok);
        }
    }
}

/// Guards against an endless loop, a foreign result or a second run after an id was used again.
#[test]
fn reused_ids_are_refused_or_treated_as_new_in_any_order() {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(STEPS, seed);
        let mut harness = Harness::new();
        for _ in 0..STEPS {
            let (kind, n) = <(u8, u16)>::arbitrary(&mut random);
            harness.step(kind, n);
        }
        harness.run_to_completion();
        assert_eq!(harness.peers.violations, Vec::<String>::new(), "seed {seed}");
        let unanswered = harness.peers.accepted.keys().filter(|id| !harness.peers.answers.contains_key(id));
        assert_eq!((unanswered.count(), harness.engine.open_rpcs()), (0, 0), "seed {seed}");
        refused += harness.refused;
    }
    assert!(refused > SEEDS, "too few reused ids: {refused}");
}

/// Guards against a second run of an id that comes again after its sender has left or was answered. The first sender can't
/// be told from another that repeats its id.
#[test]
fn id_that_ran_is_not_run_again_after_its_caller_has_left() {
    for (method, keyed) in [(0, false), (1, false), (KEYED_METHOD, true)] {
        for caller_leaves in [false, true] {
            let mut harness = Harness::new();
            assert!(harness.send_single(method, keyed, 1), "the first use of the id is accepted");
            if caller_leaves {
                let (now, requester) = (harness.peers.now, harness.requests);
                harness.peers.accepted.remove(&requester);
                assert!(harness.engine.caller_cancelled(now, requester, &mut harness.peers));
            }
            harness.advance(10 * MS);
            harness.end_run(0, if caller_leaves { RunEnd::Stopped } else { RunEnd::Ok });
            for _ in 0..3 {
                harness.advance(10_000 * MS);
                assert!(!harness.send_single(method, keyed, 1), "method {method}: the id has run");
            }
            assert!(harness.send_single(method, keyed, 2));
            assert_eq!(harness.peers.violations, Vec::<String>::new());
        }
    }
}

/// Guards against the refusal of an attempt whose id was used before, but never ran.
#[test]
fn id_whose_launch_was_refused_may_come_again() {
    let mut harness = Harness::new();
    assert!(harness.send_single(1, false, 1));
    harness.end_run(0, RunEnd::NotStarted);
    assert!(harness.send_single(1, false, 1));
}
