//! The engine with a front and an executor in the same process, as a library embeds it: numbers for places, and
//! runs that end when the test says so.

use crate::{Command, Engine, Outputs, Read, RouteId, Served, Terms};
use asterrill::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const MS: Us = 1_000;

fn control(below: Below) -> Control {
    let method = |effect, criticality, skip_share| Method {
        latency_target: 400 * MS,
        deadline: 900 * MS,
        effect,
        criticality,
        late_share: 0.0,
        window: 0,
        skip_share,
    };
    let methods = vec![method(Effect::Idempotent, 1.0, 0.5), method(Effect::NonIdempotent, 3.0, 0.0)];
    Control::new(
        0,
        7,
        4 * MS,
        StopMode::Abort,
        methods,
        Accounts::new(400 * MS, 2),
        Target::new(0, 2, 8.0, 1.0, 1),
        Calls::new(below, 2, 50 * MS, 400 * MS),
        Keys::new(0.0, 0),
        Memory::new(4_000.0, 4.0),
        Drain::new(400 * MS),
        Credit::new(Say::Credit, 0, 400 * MS, 0),
        Shares::new(&[], 1, 1.0),
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
    calls: BTreeMap<RpcId, RouteId>,
    faults: Vec<String>,
    deaf: bool, // calls can't be sent
}

impl Outputs<u64> for Ledger {
    fn answer(&mut self, to: u64, answer: Final<'_>, _: Option<f64>, of: Option<Served>) {
        if of.is_none() {
            self.faults.push(format!("{to}: nothing is known of it"));
        }
        let what = match answer {
            Final::Ok(result) => {
                let made = self.asked.get(&to).is_some_and(|id| id.as_str().as_bytes() == result);
                if !made {
                    self.faults.push(format!("{to}: a result of another run"));
                }
                "ok"
            }
            Final::PushedBack { .. } if self.asked.get(&to).is_some_and(|id| self.launched.contains(id)) => {
                self.faults.push(format!("{to}: pushed back though it ran"));
                "pushed back"
            }
            Final::PushedBack { .. } => "pushed back",
            Final::Aborted => "aborted",
        };
        if self.answers.insert(to, what).is_some() {
            self.faults.push(format!("{to}: answered twice"));
        }
    }
    fn over(&mut self, id: RpcId) {
        if !self.over.insert(id) {
            self.faults.push(format!("{id:?}: over twice"));
        }
    }
    fn launch(&mut self, _: u64, id: RpcId, _: MethodId, _: &[u8]) {
        if !self.launched.insert(id) || self.over.contains(&id) {
            self.faults.push(format!("{id:?}: launched twice, or after its end"));
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
    fn ran(&mut self, _: u64) {}
    fn sample(&mut self) {}
    fn call(&mut self, last: Option<RouteId>, id: RpcId, _: Us, _: &[u8]) -> Option<RouteId> {
        let by = RouteId(last.map_or(0, |last| last.0 + 1));
        if !self.deaf && self.calls.insert(id, by).is_some() {
            self.faults.push(format!("{id:?}: two calls at a time"));
        }
        Some(by).filter(|_| !self.deaf)
    }
    fn give_up(&mut self, by: RouteId, id: RpcId) {
        if self.calls.remove(&id) != Some(by) {
            self.faults.push(format!("{id:?}: gave up what was not called"));
        }
    }
    fn off(&mut self, _: RouteId, _: bool) {}
    fn health(&mut self, _: bool) {}
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
    fn new(below: Below) -> World {
        let terms = Terms { shares: vec![true, false], fresh: 0 };
        let mut engine = Engine::new(0, control(below), terms, Box::new(|bytes| Some(bytes.to_vec())));
        let mut ledger = Ledger::default();
        engine.start(0, &mut ledger);
        World { engine, ledger, now: 0, due: BTreeMap::new() }
    }
    fn ask(&mut self, method: usize, patience: Us) -> u64 {
        let place = self.ledger.asked.len() as u64 + 1;
        let id = RpcId::new(&format!("{place:x}")).unwrap();
        self.ledger.asked.insert(place, id);
        let read = Read {
            id,
            method: MethodId(method),
            tenant: None,
            caller: CallerId(place % 3),
            due: Some(self.now + patience),
            unread: 0,
            size_kb: 10.0,
            key: None,
            shares: false,
        };
        self.due.insert(place, self.now + patience);
        assert!(self.engine.rpc_read(self.now, place, read, b"body", &mut self.ledger));
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
        while let Some(at) = self.engine.next().filter(|at| *at <= until) {
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
            0..=2 => drop(self.ask(n % 2, [60, 400, 900][n % 3] * MS)),
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
                    let end = [CallEnd::Ok, CallEnd::Aborted, CallEnd::PushedBack][n % 3];
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
        let mut world = World::new(Below::Tier);
        for (what, n) in steps {
            world.step(what, n as usize);
        }
        world.pass(2_000 * MS);
        world.check();
        world.engine.owed() == 0
    }
    let mut runs = QuickCheck::new().tests(150).rng(Gen::from_size_and_seed(300, 4));
    runs.quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn the_last_command_can_be_said_again_until_the_run_is_over() {
    let mut w = World::new(Below::Tier);
    let place = w.ask(0, 900 * MS);
    let id = w.ledger.asked[&place];
    assert!(w.engine.launched(place));
    assert_eq!(w.engine.command(id), Some(Command::Launch(MethodId(0), &b"body"[..])));
    assert!(w.engine.call_needed(w.now, id, Some(b"call"), &mut w.ledger));
    assert_eq!(w.engine.command(id), None);
    let by = w.ledger.calls.remove(&id).unwrap();
    w.engine.call_ended(w.now, by, id, CallEnd::Ok, b"reply", &mut w.ledger);
    assert_eq!(w.engine.command(id), Some(Command::Resume(&b"reply"[..])));
    w.end(0, RunEnd::Ok);
    assert_eq!((w.engine.command(id), w.engine.open()), (None, 0));
    assert!(w.ledger.over.contains(&id) && w.ledger.answers[&place] == "ok");
}

#[test]
fn an_open_id_or_place_is_not_taken_again_and_nothing_of_the_first_is_lost() {
    let mut w = World::new(Below::Nothing);
    let place = w.ask(1, 900 * MS);
    let id = w.ledger.asked[&place];
    let read = |id, caller| Read {
        id,
        method: MethodId(1),
        tenant: None,
        caller: CallerId(caller),
        due: Some(900 * MS),
        unread: 0,
        size_kb: 1.0,
        key: None,
        shares: false,
    };
    assert!(!w.engine.rpc_read(0, 77, read(id, 1), b"", &mut w.ledger));
    let other = RpcId::new("other").unwrap();
    assert!(!w.engine.rpc_read(0, place, read(other, 1), b"", &mut w.ledger));
    w.end(0, RunEnd::Ok);
    assert_eq!((w.ledger.answers.get(&place), w.ledger.answers.get(&77)), (Some(&"ok"), None));
}

#[test]
fn what_cannot_be_launched_is_aborted_at_its_place_and_a_late_report_of_it_counts_as_stale() {
    let mut w = World::new(Below::Nothing);
    let place = w.ask(1, 900 * MS);
    let id = w.ledger.asked[&place];
    assert_eq!(w.engine.unrunnable(w.now, id, &mut w.ledger), Some(place));
    assert_eq!(w.ledger.answers[&place], "aborted");
    assert_eq!(w.engine.unrunnable(w.now, id, &mut w.ledger), None);
    w.engine.run_ended(w.now, id, RunEnd::Ok, b"", &mut w.ledger);
    assert_eq!(w.engine.counts.stale, 1);
    w.check();
}
