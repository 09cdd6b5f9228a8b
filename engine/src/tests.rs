//! The engine with a front and an executor in the same process, as a library embeds it: numbers for places, and
//! runs that end when the test says so.

use crate::{
    Command, Engine, EngineConfig, IdempotencyKey, IncomingRpc, Outputs, RetentionLimits, Served,
    UpstreamLinkId,
};
use asterrill::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const MS: Us = 1_000;
const WINDOW: Us = 700 * MS; // of the tokened method
const TOKENED: usize = 2;

fn control(below: Upstream) -> Control {
    let method = |effect, criticality, skip_value_ratio| Method {
        latency_target: 400 * MS,
        deadline: 900 * MS,
        idempotency: effect,
        criticality,
        late_value_ratio: 0.0,
        idempotency_window: WINDOW,
        skip_value_ratio,
    };
    let methods = vec![
        method(Idempotency::Idempotent, 1.0, 0.5),
        method(Idempotency::NonIdempotent, 3.0, 0.0),
        method(Idempotency::Keyed, 2.0, 0.0),
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
            calls: UpstreamCalls::new(below, 2, 50 * MS, 400 * MS),
            keys: IdempotencyKeys::new(0.0, 0),
            memory: MemoryBudget::new(4_000.0, 4.0),
            drain: Drain::new(400 * MS),
            feedback: CallerFeedback::new(FeedbackMode::Credit, 0, 400 * MS, 0),
            quotas: TenantQuotas::new(&[], 1, 1.0),
        },
    )
}

/// What the surroundings were told, with the rules checked as it comes.
#[derive(Default)]
struct Ledger {
    asked: BTreeMap<u64, RpcId>,
    answers: BTreeMap<u64, &'static str>,
    runs: BTreeSet<RpcId>,
    launched: BTreeSet<RpcId>,
    over: BTreeSet<RpcId>,
    calls: BTreeMap<RpcId, UpstreamLinkId>,
    faults: Vec<String>,
    deaf: bool,                                   // calls can't be sent
    tries: BTreeMap<RpcId, (IdempotencyKey, Us)>, // of tokened RPCs, with their arrivals
    ran: BTreeMap<IdempotencyKey, (RpcId, Us)>,   // the try that ran last, and its arrival
}

impl Ledger {
    /// The run of another try of the same RPC.
    fn of_a_try(&self, to: u64, result: &[u8]) -> bool {
        let of = |id: &RpcId| self.tries.get(id).map(|(token, _)| *token);
        let token = self.asked.get(&to).and_then(of);
        token.is_some() && self.launched.iter().any(|id| of(id) == token && id.as_str().as_bytes() == result)
    }
}

impl Outputs<u64> for Ledger {
    fn answer(&mut self, to: u64, answer: FinalAnswer<'_>, _: Option<f64>, of: Option<Served>) {
        if of.is_none() {
            self.faults.push(format!("{to}: nothing is known of it"));
        }
        let what = match answer {
            FinalAnswer::Ok(result) => {
                let made = self.asked.get(&to).is_some_and(|id| id.as_str().as_bytes() == result);
                if !made && !self.of_a_try(to, result) {
                    self.faults.push(format!("{to}: a result of another run"));
                }
                "ok"
            }
            FinalAnswer::Rejected { .. }
                if self.asked.get(&to).is_some_and(|id| self.launched.contains(id)) =>
            {
                self.faults.push(format!("{to}: pushed back though it ran"));
                "pushed back"
            }
            FinalAnswer::Rejected { .. } => {
                let of = self.asked.get(&to).and_then(|id| self.tries.get(id));
                let ran =
                    of.and_then(|(token, at)| self.ran.get(token).filter(|(_, ran)| *at < ran + WINDOW));
                if ran.is_some() {
                    self.faults.push(format!("{to}: pushed back though a try of it ran"));
                }
                "pushed back"
            }
            FinalAnswer::Aborted => "aborted",
        };
        if self.answers.insert(to, what).is_some() {
            self.faults.push(format!("{to}: answered twice"));
        }
    }
    fn closed(&mut self, id: RpcId) {
        if !self.over.insert(id) {
            self.faults.push(format!("{id:?}: over twice"));
        }
    }
    fn launch(&mut self, _: u64, id: RpcId, _: MethodId, _: &[u8]) {
        if !self.launched.insert(id) || self.over.contains(&id) {
            self.faults.push(format!("{id:?}: launched twice, or after its end"));
        }
        if let Some((token, at)) = self.tries.get(&id).copied() {
            if self.ran.insert(token, (id, at)).is_some_and(|(_, ran)| at < ran + WINDOW) {
                self.faults.push(format!("{id:?}: run again within the window"));
            }
        }
        self.runs.insert(id);
    }
    fn stop(&mut self, _: RpcId) {}
    fn resume(&mut self, id: RpcId, _: &[u8]) {
        self.runs.insert(id);
    }
    fn skip(&mut self, id: RpcId) {
        self.runs.insert(id);
    }
    fn run_completed(&mut self, _: u64) {}
    fn request_gauges(&mut self) {}
    fn send_call(
        &mut self, last: Option<UpstreamLinkId>, id: RpcId, _: Us, _: &[u8],
    ) -> Option<UpstreamLinkId> {
        let by = UpstreamLinkId(last.map_or(0, |last| last.0 + 1));
        if !self.deaf && self.calls.insert(id, by).is_some() {
            self.faults.push(format!("{id:?}: two calls at a time"));
        }
        Some(by).filter(|_| !self.deaf)
    }
    fn cancel_call(&mut self, by: UpstreamLinkId, id: RpcId) {
        if self.calls.remove(&id) != Some(by) {
            self.faults.push(format!("{id:?}: gave up what was not called"));
        }
    }
    fn call_finished(&mut self, _: UpstreamLinkId, _: bool) {}
    fn set_health(&mut self, _: bool) {}
    fn close_idle(&mut self, _: Us) {}
    fn log(&mut self, _: &str) {}
}

struct World {
    engine: Engine<u64, Vec<u8>>,
    ledger: Ledger,
    now: Us,
    due: BTreeMap<u64, Us>,
}

impl World {
    fn new(below: Upstream) -> World {
        let terms = EngineConfig {
            coalescible_methods: vec![true, false, false],
            limits: RetentionLimits {
                result_ttl: 0,
                idempotency_result_bytes: 64,
                max_rpc_lifetime: 900 * MS,
            },
        };
        let mut engine = Engine::new(0, control(below), terms, Box::new(|bytes| Some(bytes.to_vec())));
        let mut ledger = Ledger::default();
        engine.start(0, &mut ledger);
        World { engine, ledger, now: 0, due: BTreeMap::new() }
    }
    fn ask(&mut self, method: usize, patience: Us) -> u64 {
        self.ask_again(method, patience, None, 0)
    }
    /// A try of the RPC with this token, which lay unread for so long.
    fn ask_again(&mut self, method: usize, patience: Us, token: Option<u8>, unread: Us) -> u64 {
        let token = token.map(|n| IdempotencyKey([n; 16]));
        let place = self.ledger.asked.len() as u64 + 1;
        let id = RpcId::new(&format!("{place:x}")).unwrap();
        self.ledger.asked.insert(place, id);
        self.ledger.tries.extend(token.map(|token| (id, (token, self.now - unread))));
        let read = IncomingRpc {
            id,
            method: MethodId(method),
            tenant: None,
            caller: CallerId(place % 3),
            deadline: Some(self.now + patience),
            time_unread: unread,
            size_kb: 10.0,
            cache_key: None,
            coalescible: false,
            idempotency_key: token,
        };
        self.due.insert(place, self.now + patience);
        assert!(self.engine.request_received(self.now, place, read, b"body", &mut self.ledger));
        place
    }
    fn nth_run(&self, n: usize) -> Option<RpcId> {
        let count = self.ledger.runs.len().max(1);
        self.ledger.runs.iter().nth(n % count).copied()
    }
    fn end(&mut self, n: usize, end: RunEnd) {
        let Some(id) = self.nth_run(n) else { return };
        self.ledger.runs.remove(&id);
        self.engine.run_ended(self.now, id, end, id.as_str().as_bytes(), &mut self.ledger);
    }
    fn pass(&mut self, span: Us) {
        let until = self.now + span;
        while let Some(at) = self.engine.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.engine.tick(self.now, &mut self.ledger);
        }
        self.now = until;
    }
    fn check(&self) {
        assert_eq!(self.ledger.faults, Vec::<String>::new());
        for (place, due) in &self.due {
            assert!(self.ledger.answers.contains_key(place) || self.now <= *due, "{place} is lost");
        }
    }
    fn step(&mut self, what: u8, n: usize) {
        match what % 8 {
            0 | 1 => _ = self.ask(n % 2, [60, 400, 900][n % 3] * MS),
            2 => {
                let unread = self.now.min(n as Us % 9 * MS);
                self.ask_again(TOKENED, [60, 400, 900][n % 3] * MS, Some((n / 3 % 5) as u8), unread);
            }
            3 => self.end(n, [RunEnd::Ok, RunEnd::Ok, RunEnd::Aborted][n % 3]),
            4 => {
                if let Some(id) = self.nth_run(n) {
                    self.ledger.runs.remove(&id);
                    if !self.engine.call_needed(self.now, id, Some(b"call"), &mut self.ledger) {
                        self.engine.run_ended(self.now, id, RunEnd::Stopped, &[], &mut self.ledger);
                    }
                }
            }
            5 => {
                let first = self.ledger.calls.iter().next().map(|(id, by)| (*id, *by));
                if let Some((id, by)) = first {
                    self.ledger.calls.remove(&id);
                    let end = [CallEnd::Ok, CallEnd::Aborted, CallEnd::Rejected][n % 3];
                    self.engine.call_ended(self.now, by, id, end, b"reply", &mut self.ledger);
                }
            }
            6 => self.ledger.deaf = n.is_multiple_of(4),
            _ => self.pass(n as Us % 40 * MS),
        }
        self.check();
    }
}

#[test]
fn each_is_answered_once_in_time_whatever_the_order() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut world = World::new(Upstream::Tier);
        for (what, n) in steps {
            world.step(what, n as usize);
        }
        world.pass(2_000 * MS);
        world.check();
        world.engine.unanswered() == 0
    }
    let mut runs = QuickCheck::new().tests(150).rng(Gen::from_size_and_seed(300, 4));
    runs.quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

/// What a repeat finds of the try before it.
#[derive(Clone, Copy, Debug)]
enum Before {
    Held,
    Running,
    Ended(RunEnd),
}

#[test]
fn a_repeat_of_a_tokened_rpc_shares_its_one_run_wherever_that_stands() {
    for (before, answer) in [
        (Before::Held, "ok"),
        (Before::Running, "ok"),
        (Before::Ended(RunEnd::Ok), "ok"),
        (Before::Ended(RunEnd::Aborted), "aborted"),
        (Before::Ended(RunEnd::Stopped), "aborted"),
    ] {
        let mut w = World::new(Upstream::Absent);
        if let Before::Held = before {
            (0..4).for_each(|_| _ = w.ask(1, 900 * MS)); // nothing more starts beside these
        }
        let first = w.ask_again(TOKENED, 900 * MS, Some(7), 0);
        let id = w.ledger.asked[&first];
        assert_eq!(w.ledger.launched.contains(&id), !matches!(before, Before::Held));
        if let Before::Ended(end) = before {
            w.ledger.runs.remove(&id);
            w.engine.run_ended(w.now, id, end, id.as_str().as_bytes(), &mut w.ledger);
        }
        // Two in one batch, and one that lay unread.
        let again = [0, 0, 20 * MS].map(|unread| {
            w.pass(if unread > 0 { 30 * MS } else { 0 });
            w.ask_again(TOKENED, 800 * MS, Some(7), unread)
        });
        while let Some(id) = w.ledger.runs.pop_first() {
            w.engine.run_ended(w.now, id, RunEnd::Ok, id.as_str().as_bytes(), &mut w.ledger);
        }
        w.check();
        assert!(
            again.iter().all(|place| w.ledger.answers[place] == answer),
            "{before:?}: {:?}",
            w.ledger.answers
        );
    }
}

#[test]
fn the_window_of_a_tokened_rpc_is_reckoned_from_the_arrival_of_the_try_that_ran() {
    let mut w = World::new(Upstream::Absent);
    w.pass(100 * MS);
    let first = w.ask_again(TOKENED, 900 * MS, Some(1), 40 * MS); // it arrived at 60 ms
    w.end(0, RunEnd::Ok);
    w.pass(60 * MS + WINDOW - w.now - MS);
    let inside = w.ask_again(TOKENED, 900 * MS, Some(1), 0);
    // One that arrived in time is read long after, when the window is over.
    w.pass(500 * MS);
    let read_late = w.ask_again(TOKENED, 900 * MS, Some(1), 501 * MS);
    assert_eq!(w.ledger.launched.len(), 1);
    assert!([first, inside, read_late].iter().all(|place| w.ledger.answers[place] == "ok"));
    // One that came after it is another RPC, and knowing the old one is over at last.
    w.ask_again(TOKENED, 900 * MS, Some(1), 0);
    assert_eq!(w.ledger.launched.len(), 2);
    w.end(0, RunEnd::Ok);
    w.check();
    // Other tokens are other RPCs, of the same moment too.
    w.ask_again(TOKENED, 900 * MS, Some(2), 0);
    w.ask_again(TOKENED, 900 * MS, Some(3), 0);
    assert_eq!(w.ledger.launched.len(), 4);
}

#[test]
fn a_repeat_of_a_try_that_never_ran_takes_its_place_and_hundreds_of_them_do_so_one_by_one() {
    let mut w = World::new(Upstream::Absent);
    (0..2).for_each(|_| _ = w.ask(1, 900 * MS)); // nothing more starts beside these
    let tries: Vec<u64> = (0..200).map(|_| w.ask_again(TOKENED, 900 * MS, Some(4), 0)).collect();
    // The caller of each leaves in turn; what was waited for is another's then.
    for place in &tries[..199] {
        w.due.remove(place);
        assert!(w.engine.caller_gone(w.now, *place, &mut w.ledger), "{place} {:?}", w.ledger.answers);
    }
    while let Some(id) = w.ledger.runs.pop_first() {
        w.engine.run_ended(w.now, id, RunEnd::Ok, id.as_str().as_bytes(), &mut w.ledger);
    }
    assert_eq!(w.ledger.answers.get(&tries[199]), Some(&"ok"), "{:?}", w.ledger.answers);
    assert_eq!((w.engine.open_rpcs(), w.engine.unanswered()), (0, 0));
    // All that wait when the first falls due in the hold are decided upon at once, without a chain of calls.
    (0..2).for_each(|_| _ = w.ask(1, 900 * MS)); // nothing more starts beside these
    let held = w.ask_again(TOKENED, 200 * MS, Some(5), 0);
    let others: Vec<u64> = (0..200).map(|_| w.ask_again(TOKENED, 200 * MS, Some(5), 0)).collect();
    w.pass(250 * MS);
    assert!(others.iter().chain([&held]).all(|place| w.ledger.answers.contains_key(place)));
    w.pass(800 * MS);
    w.check();
}

#[test]
fn a_result_that_had_to_go_leaves_its_token_known() {
    let mut w = World::new(Upstream::Absent);
    let mut places = Vec::new();
    for token in 0..100 {
        // Ids have one or two digits, and there is room for 64 bytes of results.
        places.push(w.ask_again(TOKENED, 900 * MS, Some(token), 0));
        w.end(0, RunEnd::Ok);
    }
    assert!(w.engine.stats.results_evicted > 0);
    let (old, new) =
        (w.ask_again(TOKENED, 900 * MS, Some(0), 0), w.ask_again(TOKENED, 900 * MS, Some(99), 0));
    assert_eq!((w.ledger.answers[&old], w.ledger.answers[&new]), ("aborted", "ok"));
    assert_eq!(w.ledger.launched.len(), 100);
    w.check();
}

#[test]
fn where_no_more_tokens_can_be_known_new_ones_are_pushed_back_and_repeats_are_not() {
    let mut w = World::new(Upstream::Absent);
    let token = |n: u32| {
        Some(IdempotencyKey(
            [[0; 12], [0; 12]].concat()[..12]
                .iter()
                .copied()
                .chain(n.to_be_bytes())
                .collect::<Vec<u8>>()
                .try_into()
                .unwrap(),
        ))
    };
    let read = |n: u32| IncomingRpc {
        id: RpcId::from_number(n.into()),
        method: MethodId(TOKENED),
        tenant: None,
        caller: CallerId(n.into()),
        deadline: None,
        time_unread: 0,
        size_kb: 0.01,
        cache_key: None,
        coalescible: false,
        idempotency_key: token(n),
    };
    let mut n = 0;
    while w.engine.stats.idempotency_keys_full == 0 {
        assert!(n < 20_000, "no bound");
        w.engine.request_received(w.now, n.into(), read(n), b"", &mut w.ledger);
        w.engine.run_ended(w.now, RpcId::from_number(n.into()), RunEnd::Ok, b"", &mut w.ledger);
        n += 1;
    }
    assert_eq!(w.ledger.answers[&u64::from(n - 1)], "pushed back");
    let again = IncomingRpc { id: RpcId::from_number(1 << 40), ..read(7) };
    w.engine.request_received(w.now, 1 << 40, again, b"", &mut w.ledger);
    assert_eq!(w.ledger.answers[&(1 << 40)], "ok", "known all the time");
    w.pass(2 * WINDOW + 900 * MS);
    w.engine.request_received(w.now, u64::from(n), read(n), b"", &mut w.ledger);
    assert!(
        w.ledger.launched.contains(&RpcId::from_number(n.into())),
        "room again once the windows are over"
    );
}

#[test]
fn the_last_command_can_be_said_again_until_the_run_is_over() {
    let mut w = World::new(Upstream::Tier);
    let place = w.ask(0, 900 * MS);
    let id = w.ledger.asked[&place];
    assert!(w.engine.is_launched(place));
    assert_eq!(w.engine.last_command(id), Some(Command::Launch(MethodId(0), &b"body"[..])));
    assert!(w.engine.call_needed(w.now, id, Some(b"call"), &mut w.ledger));
    assert_eq!(w.engine.last_command(id), None);
    let by = w.ledger.calls.remove(&id).unwrap();
    w.engine.call_ended(w.now, by, id, CallEnd::Ok, b"reply", &mut w.ledger);
    assert_eq!(w.engine.last_command(id), Some(Command::Resume(&b"reply"[..])));
    w.end(0, RunEnd::Ok);
    assert_eq!((w.engine.last_command(id), w.engine.open_rpcs()), (None, 0));
    assert!(w.ledger.over.contains(&id) && w.ledger.answers[&place] == "ok");
}

#[test]
fn an_open_id_or_place_is_not_taken_again_and_nothing_of_the_first_is_lost() {
    let mut w = World::new(Upstream::Absent);
    let place = w.ask(1, 900 * MS);
    let id = w.ledger.asked[&place];
    let read = |id, caller| IncomingRpc {
        id,
        method: MethodId(1),
        tenant: None,
        caller: CallerId(caller),
        deadline: Some(900 * MS),
        time_unread: 0,
        size_kb: 1.0,
        cache_key: None,
        coalescible: false,
        idempotency_key: None,
    };
    assert!(!w.engine.request_received(0, 77, read(id, 1), b"", &mut w.ledger));
    let other = RpcId::new("other").unwrap();
    assert!(!w.engine.request_received(0, place, read(other, 1), b"", &mut w.ledger));
    w.end(0, RunEnd::Ok);
    assert_eq!((w.ledger.answers.get(&place), w.ledger.answers.get(&77)), (Some(&"ok"), None));
}

#[test]
fn what_cannot_be_launched_is_aborted_at_its_place_and_a_late_report_of_it_counts_as_stale() {
    let mut w = World::new(Upstream::Absent);
    let place = w.ask(1, 900 * MS);
    let id = w.ledger.asked[&place];
    assert_eq!(w.engine.launch_failed(w.now, id, &mut w.ledger), Some(place));
    assert_eq!(w.ledger.answers[&place], "aborted");
    assert_eq!(w.engine.launch_failed(w.now, id, &mut w.ledger), None);
    w.engine.run_ended(w.now, id, RunEnd::Ok, b"", &mut w.ledger);
    assert_eq!(w.engine.stats.stale_events, 1);
    w.check();
}
