//! The core against a stand-in for the agent, the layer below and the sidecars: seeded random runs with the
//! rules checked after every step, and plain cases.

use crate::core::{Core, VersionSwitch};
use crate::ids::{ConnectionId, SidecarStream};
use crate::outbound::Outbound;
use asterrill::{CallEnd, CallerId, FinalAnswer, RpcId, RunEnd, Us};
use asterrill_engine::UpstreamLinkId;
use asterrill_entries::{Change as Entry, Configuration as Entries, EntryKind};
use asterrill_net::BufferPool;
use asterrill_protocol::agent::NoticeId;
use asterrill_protocol::sidecar::{RpcRequest, StreamId};
use asterrill_settings::ServerParts;
use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod change;
mod dispatcher;

const MS: Us = 1_000;
const START: Us = 1_000_000 * MS;
const SLACK: Us = 100 * MS;
const DEADLINE: Us = 900 * MS; // of both methods

pub(crate) fn server() -> Value {
    json!({
        "Categories": [
            {"Name": "look", "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1},
            {"Name": "book", "AimMs": 400, "DeadlineMs": 900, "Effect": "single_shot", "Worth": 3}],
        "Tenants": [{"Name": "acme", "QuotaRps": 1000000}],
        "FamilyInfo": {"Below": "tier", "NCores": 2, "RamKb": 4000, "RunFactor": 4, "Say": "window",
            "StopMode": "abort", "Gauges": ["links", "on_cores"], "FreshMs": 150, "KbPerKey": 1,
            "ClassSkipWorth": [0.5, 0], "IdleMs": 5000, "LingerMs": 50, "Callers": 2},
        "Limits": {"RetryAfter": true, "MaxRetryAfterMs": 300},
        "Safety": {"TipMultiple": 8, "ColdFrom": 0.3, "RampTimeMs": 3000, "StopSendingWithinMs": 400},
        "StepMs": 4})
}

/// The entries of such settings.
pub(crate) fn content(settings: &Value) -> Entries {
    let nowhere = "127.0.0.1:1";
    let whole = json!({"name": "n1", "listen": nowhere, "agent": nowhere, "naming": nowhere, "seed": "1",
        "stop_ms": 900, "limits": {"memory_mb": 64, "sockets": 64}, "settings": settings});
    asterrill_settings::Deployment::from_json(&whole.to_string()).unwrap().configuration
}
pub(crate) fn made(at: Us, seed: u64, settings: &Value, cold: Option<bool>) -> ServerParts {
    asterrill_settings::server_parts(at, seed, &content(settings), cold).unwrap()
}
/// What turns over to a version once its entries are in.
fn flip(at: Us, number: u64, to: &Entries) -> VersionSwitch {
    let bare = asterrill_settings::global_parts(at, 1, to).unwrap();
    let longest = to.methods().map(|(_, method)| method.latency_target).max().unwrap_or(0);
    let tells_tenants = to.count(EntryKind::Tenant) > 0;
    VersionSwitch { number, bare: Some(bare), longest, queues: Vec::new(), tells_tenants }
}
/// A change from one version to another, whole.
fn change(core: &mut Core, at: Us, from: &Entries, to: &Entries, number: u64, out: &mut Out) {
    let step = from.changes_to(to);
    core.check_capacity_for(&step, &[]).unwrap();
    core.stage(&step);
    core.switch_version(at, flip(at, number, to), out);
}

enum Told {
    Ended(RpcId, RunEnd, Vec<u8>),
    CallNeeded(RpcId, Vec<u8>),
}

struct Run {
    waits: Option<(u64, Vec<u8>)>,
    over: bool,
    stopped: bool,
}

/// What has been written, played by a stand-in that takes every command at its word.
#[derive(Default)]
struct Out {
    answers: BTreeMap<SidecarStream, (&'static str, Vec<u8>)>,
    health: Vec<(SidecarStream, bool)>,
    runs: BTreeMap<RpcId, Run>,
    bodies: BTreeMap<RpcId, Vec<u8>>,
    called: BTreeMap<RpcId, UpstreamLinkId>,
    refuses: bool,
    deaf: bool,  // commands to the agent are lost
    again: bool, // what the agent knows already may be said again
    samples: VecDeque<u64>,
    exercises: VecDeque<u64>,
    notices: Vec<Told>,
    serving: Vec<bool>,
    closed: Vec<UpstreamLinkId>,
    distrusted: Vec<ConnectionId>,
    left: bool,
    ended_agent: u32,
    faults: Vec<String>,
    credit: Option<f64>, // as it went with the last answer or check
}

impl Out {
    fn fault(&mut self, what: &str, id: RpcId) {
        self.faults.push(format!("{what} {id:?}"));
    }
    fn tell(&mut self, told: Told) {
        self.notices.push(told);
    }
    /// The reply to the call with this body, and the result of the run of this RPC.
    fn reply(body: &[u8]) -> Vec<u8> {
        [b"re:\r\n", body].concat()
    }
    fn result(id: RpcId) -> Vec<u8> {
        format!("{}\r\n\0made", id.as_str()).into_bytes()
    }
}

impl Outbound for Out {
    fn answer(&mut self, to: SidecarStream, answer: FinalAnswer<'_>, credit: Option<f64>) {
        self.credit = credit;
        let (what, body) = match answer {
            FinalAnswer::Ok(result) => ("ok", result.to_vec()),
            FinalAnswer::Rejected { .. } => ("pushed back", vec![]),
            FinalAnswer::Aborted => ("aborted", vec![]),
        };
        if self.answers.insert(to, (what, body)).is_some() {
            self.faults.push(format!("answered twice {to:?}"));
        }
    }
    fn answer_health_check(&mut self, to: SidecarStream, good: bool, _: Option<f64>) {
        self.health.push((to, good));
    }
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]) {
        if self.deaf {
            return;
        }
        if self.bodies.get(&id).is_none_or(|b| b != body) || (method != "look" && method != "book") {
            self.fault("launched with another body or method", id);
        }
        match self.runs.get(&id) {
            Some(run) if run.over || !self.again => self.fault("launched twice", id),
            Some(_) => {}
            None => drop(self.runs.insert(id, Run { waits: None, over: false, stopped: false })),
        }
    }
    fn stop(&mut self, id: RpcId) {
        if let Some(run) = self.runs.get_mut(&id).filter(|_| !self.deaf) {
            run.stopped = true;
        }
    }
    fn deliver_reply(&mut self, id: RpcId, reply: &[u8]) {
        if self.deaf {
            return;
        }
        match self.runs.get_mut(&id).and_then(|run| run.waits.take()) {
            Some((_, body)) if Out::reply(&body) == reply => {}
            None if self.again => {}
            _ => self.fault("delivered what was not waited for", id),
        }
    }
    fn skip_call(&mut self, id: RpcId, asked: NoticeId) {
        if self.deaf {
            return;
        }
        match self.runs.get_mut(&id).and_then(|run| run.waits.take()) {
            Some((number, _)) if number == asked.0 => {}
            None if self.again => {}
            _ => self.fault("skipped what was not waited for", id),
        }
    }
    fn request_sample(&mut self, tag: u64) {
        if !self.deaf {
            self.samples.push_back(tag);
        }
    }
    fn request_exercise(&mut self, tag: u64) {
        if !self.deaf {
            self.exercises.push_back(tag);
        }
    }
    fn send_call(&mut self, link: UpstreamLinkId, id: RpcId, _: Us, _: &[u8]) -> bool {
        if !self.refuses && self.called.insert(id, link).is_some() {
            self.fault("called twice", id);
        }
        !self.refuses
    }
    fn cancel_call(&mut self, link: UpstreamLinkId, id: RpcId) {
        if self.called.remove(&id) != Some(link) {
            self.fault("gave up what was not called", id);
        }
    }
    fn close_upstream_link(&mut self, link: UpstreamLinkId) -> bool {
        let busy = self.called.values().any(|on| *on == link);
        if busy {
            self.faults.push(format!("closed {link:?} with a call on it"));
        }
        self.closed.push(link);
        true
    }
    fn close_untrusted(&mut self, conn: ConnectionId) {
        self.distrusted.push(conn);
    }
    fn reset_agent_link(&mut self) {
        self.ended_agent += 1;
    }
    fn set_serving(&mut self, yes: bool) {
        self.serving.push(yes);
    }
    fn announce_drain(&mut self) {
        self.left = true;
    }
    fn set_idle_timeout(&mut self, _: Us) {}
    fn log(&mut self, _: &str) {}
    fn send_to_broker(&mut self, _: &[u8]) -> bool {
        true
    }
    fn close_broker(&mut self, _: bool) {}
}

struct World {
    core: Core,
    out: Out,
    now: Us,
    asks: BTreeMap<SidecarStream, (RpcRequest, bool)>, // and whether its caller is gone
    read: usize,                                       // notices that were read
    next: u64,
    killed: Option<Us>,
    version: u64,
    entries: Entries,
    /// A version that is going in, and what of it is still to be staged.
    coming: Option<(Entries, VecDeque<Entry>)>,
}

impl World {
    fn new(seed: u64) -> World {
        World::of(seed, &server())
    }
    fn of(seed: u64, settings: &Value) -> World {
        let mut core = Core::new(START, made(START, seed, settings, None), BufferPool::new(500), 4);
        let mut out = Out::default();
        core.start(START, &mut out);
        core.agent_connected(START);
        core.agent_up(START, None, &mut out);
        World::with(core, out, START, settings)
    }
    fn with(core: Core, out: Out, now: Us, settings: &Value) -> World {
        let entries = content(settings);
        World {
            core,
            out,
            now,
            asks: BTreeMap::new(),
            read: 0,
            next: 0,
            killed: None,
            version: 1,
            entries,
            coming: None,
        }
    }

    /// Tries of one read have one key and one body.
    fn ask(&mut self, conn: u64, method: &str, patience: Us, key: Option<u64>) -> SidecarStream {
        let of = key.map_or_else(|| format!("own {}", self.next), |key| format!("of {key}"));
        self.ask_with(conn, method, patience, key, format!("body\r\n{of}").into_bytes())
    }
    fn ask_with(
        &mut self, conn: u64, method: &str, patience: Us, key: Option<u64>, body: Vec<u8>,
    ) -> SidecarStream {
        self.next += 1;
        let id = RpcId::new(&format!("{:016x}", self.next)).unwrap();
        let place = SidecarStream { conn: ConnectionId(conn), stream: StreamId(self.next as u32) };
        let (caller, due) = (CallerId(conn), Some(self.now + patience));
        let (method, tenant) = (method.to_string(), "acme".to_string());
        let ask = RpcRequest { id, method, tenant, caller, born: self.now - 3 * MS, due, size_kb: 20.0, key };
        self.out.bodies.insert(id, body.clone());
        if self.core.rpc_received(self.now, place, ask.clone(), &body, &mut self.out) {
            self.asks.insert(place, (ask, false));
        }
        place
    }

    /// The agent ends a run, or lets it wait for a call; the core hears of it when it reads on.
    fn play(&mut self, n: usize, call: bool) {
        let going = |r: &&mut Run| !r.over && r.waits.is_none();
        let count = self.out.runs.values_mut().filter(|r| going(r)).count().max(1);
        let Some((id, run)) = self.out.runs.iter_mut().filter(|(_, r)| going(r)).nth(n % count) else {
            return;
        };
        let id = *id;
        let told = if call && !run.stopped {
            let body = format!("call {n}").into_bytes();
            run.waits = Some((self.out.notices.len() as u64 + 1, body.clone()));
            Told::CallNeeded(id, body)
        } else {
            run.over = true;
            let end = match (run.stopped, n % 5) {
                (true, _) => RunEnd::Stopped,
                (_, 0) => RunEnd::Aborted,
                _ => RunEnd::Ok,
            };
            Told::Ended(id, end, if end == RunEnd::Ok { Out::result(id) } else { vec![] })
        };
        self.out.tell(told);
    }

    /// Runs that wait for a call end once their RPC is over.
    fn end_waiting(&mut self) {
        let answered = |id: &RpcId| {
            self.asks
                .iter()
                .any(|(place, (ask, gone))| ask.id == *id && (*gone || self.out.answers.contains_key(place)))
        };
        let over: Vec<RpcId> = self
            .out
            .runs
            .iter()
            .filter(|(id, r)| r.waits.is_some() && answered(id))
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(run) = self.out.runs.get_mut(&id) {
                (run.over, run.waits) = (true, None);
            }
            self.out.tell(Told::Ended(id, RunEnd::Stopped, vec![]));
        }
    }

    fn read_notices(&mut self, most: usize) {
        for _ in 0..most {
            if self.out.deaf || self.read >= self.out.notices.len() {
                return;
            }
            let number = NoticeId(self.read as u64 + 1);
            self.read += 1;
            let told =
                std::mem::replace(&mut self.out.notices[self.read - 1], Told::CallNeeded(none(), vec![]));
            match &told {
                Told::Ended(id, end, result) => {
                    self.core.run_ended(self.now, number, *id, *end, result, &mut self.out)
                }
                Told::CallNeeded(id, body) => {
                    self.core.call_needed(self.now, number, *id, Some(body), &mut self.out)
                }
            }
            self.out.notices[number.0 as usize - 1] = told;
        }
    }

    fn reply(&mut self, n: usize, end: CallEnd) {
        let count = self.out.called.len().max(1);
        let Some((id, link)) = self.out.called.iter().nth(n % count).map(|(id, link)| (*id, *link)) else {
            return;
        };
        self.out.called.remove(&id);
        let body = self.out.runs.get(&id).and_then(|r| r.waits.clone()).map_or(vec![], |(_, body)| body);
        let reply = if end == CallEnd::Ok { Out::reply(&body) } else { vec![] };
        self.core.call_ended(self.now, link, id, end, &reply, &mut self.out);
    }

    /// The link to the agent stands again: what was not read comes again.
    fn link_up(&mut self) {
        self.out.deaf = false;
        self.out.samples.clear();
        let last = self.core.agent_connected(self.now);
        self.read = last.0 as usize;
        self.core.agent_up(self.now, None, &mut self.out);
        self.read_notices(usize::MAX);
        self.out.again = true;
        self.sampled();
        self.out.again = false;
    }

    fn sampled(&mut self) {
        while let Some(tag) = self.out.samples.pop_front() {
            self.core.sample_received(self.now, tag, &[1.0, 1.0], &mut self.out);
        }
    }

    fn pass(&mut self, span: Us) {
        let until = self.now + span;
        while let Some(at) = self.core.next_deadline().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.tick(self.now, &mut self.out);
            self.sampled();
        }
        self.now = until;
    }

    fn gone(&mut self, place: SidecarStream) {
        if let Some((_, gone)) = self.asks.get_mut(&place) {
            *gone |= !self.out.answers.contains_key(&place);
        }
        self.core.rpc_cancelled(self.now, place, &mut self.out);
    }

    /// Another version comes into force: methods in another order, one less, other memory and cores. What was coming
    /// in comes into force first.
    fn change(&mut self, n: usize) {
        self.begin_change(n);
        self.go_on_changing(usize::MAX);
    }

    /// Another version begins to come in; one that was coming in is in force before that.
    fn begin_change(&mut self, n: usize) {
        self.go_on_changing(usize::MAX);
        let mut settings = server();
        let methods = settings["Categories"].as_array_mut().unwrap();
        match n % 4 {
            0 => {}
            1 => methods.reverse(),
            2 => drop(methods.pop()),
            _ => methods.insert(
                0,
                json!({"Name": "more", "AimMs": 100, "DeadlineMs": 200, "Effect": "free", "Worth": 9}),
            ),
        }
        settings["FamilyInfo"]["NCores"] = json!(1 + n % 3);
        settings["FamilyInfo"]["RamKb"] = json!(2_000 + 500 * (n % 5));
        settings["FamilyInfo"]["RunFactor"] = json!(2 + n % 4);
        settings["FamilyInfo"]["ClassSkipWorth"] = json!([]);
        if n % 5 == 4 {
            // The tenant of all that is in hand stands at another place, or nowhere.
            let other = json!({"Name": "other", "QuotaRps": 5});
            let acme = json!({"Name": "acme", "QuotaRps": 1_000_000});
            settings["Tenants"] = if n % 10 == 4 { json!([other, acme]) } else { json!([other]) };
        }
        let to = content(&settings);
        let step = self.entries.changes_to(&to);
        self.core.check_capacity_for(&step, &[]).unwrap();
        self.coming = Some((to, step.into()));
    }

    /// So many entries of the version that is coming in go in beside what is in force; with the last of them it turns
    /// over, whole.
    fn go_on_changing(&mut self, entries: usize) {
        let Some((to, mut step)) = self.coming.take() else { return };
        let slice: Vec<Entry> = step.drain(..entries.min(step.len())).collect();
        self.core.stage(&slice);
        if !step.is_empty() {
            self.coming = Some((to, step));
            return;
        }
        self.version += 1;
        self.core.switch_version(self.now, flip(self.now, self.version, &to), &mut self.out);
        self.entries = to;
        if self.version.is_multiple_of(2) {
            self.core.commit_change();
        }
        let _ = self.core.take_service_sample();
    }

    fn step(&mut self, what: u8, n: usize) {
        match what % 16 {
            0..=3 => {
                let method = ["look", "look", "book"][n % 3];
                let key = Some((n % 4) as u64).filter(|_| n.is_multiple_of(2));
                self.ask(n as u64 % 3, method, [60, 400, 900][n / 3 % 3] * MS, key);
            }
            4 | 5 => self.play(n, false),
            6 => self.play(n, true),
            7 | 8 => self.read_notices(1 + n % 3),
            9 => self.reply(n, [CallEnd::Ok, CallEnd::Ok, CallEnd::TimedOut, CallEnd::Rejected][n % 4]),
            10 => {
                let count = self.asks.len().max(1);
                if let Some(place) = self.asks.keys().nth(n % count).copied().filter(|_| n.is_multiple_of(3))
                {
                    self.gone(place);
                }
            }
            11 if n.is_multiple_of(4) => {
                let on: Vec<SidecarStream> =
                    self.asks.keys().filter(|p| p.conn.0 == n as u64 % 3).copied().collect();
                for place in on {
                    if let Some((_, gone)) = self.asks.get_mut(&place) {
                        *gone |= !self.out.answers.contains_key(&place);
                    }
                }
                self.core.connection_closed(self.now, ConnectionId(n as u64 % 3), &mut self.out);
            }
            12 if n.is_multiple_of(3) => self.out.deaf = true,
            12 => self.link_up(),
            11 if n % 4 == 1 => self.change(n / 4),
            11 if n % 4 == 2 => self.begin_change(n / 4),
            11 => self.go_on_changing(1 + n % 2),
            13 if n.is_multiple_of(8) => {
                let link = UpstreamLinkId(n / 8 % 4);
                self.out.called.retain(|_, on| *on != link);
                self.core.link_ended(self.now, link, n.is_multiple_of(16), &mut self.out);
                self.core.link_ready(link);
                self.out.refuses = n.is_multiple_of(3);
            }
            14 if n.is_multiple_of(50) && self.killed.is_none() => {
                self.killed = Some(self.now + 1_500 * MS);
                self.core.drain(self.now, 1_500 * MS, &mut self.out);
            }
            _ => self.pass((n as Us % 30) * MS),
        }
        self.end_waiting();
        self.check();
    }

    fn check(&self) {
        assert_eq!(self.out.faults, Vec::<String>::new());
        for (place, (ask, gone)) in &self.asks {
            let answer = self.out.answers.get(place);
            assert!(
                answer.is_some() || *gone || self.now <= ask.due.unwrap_or(ask.born + DEADLINE) + SLACK,
                "lost {ask:?}"
            );
            if let Some(("ok", body)) = answer {
                // A read that repeats another may carry what the other's run made.
                let made =
                    |id: RpcId| Out::result(id) == *body && self.out.runs.get(&id).is_some_and(|r| r.over);
                let same = |other: &RpcRequest| {
                    other.key.is_some() && (&other.method, other.key) == (&ask.method, ask.key)
                };
                let joined = self.asks.values().any(|(other, _)| same(other) && made(other.id));
                assert!(made(ask.id) || joined, "ok without its result {ask:?}");
            }
        }
    }

    /// Everything comes to its end: all is answered and nothing is left in the tables.
    fn settle(&mut self) {
        self.link_up();
        for _ in 0..400 {
            self.pass(5 * MS);
            self.play(1, false);
            self.end_waiting();
            self.read_notices(usize::MAX);
            self.check();
        }
        assert_eq!((self.core.unanswered_rpcs(), self.core.open_rpcs()), (0, 0));
        assert_eq!(self.core.stats().half_applied, 0);
    }
}

fn none() -> RpcId {
    RpcId::new("").unwrap()
}

#[test]
fn whatever_the_order_each_rpc_gets_one_answer_and_nothing_runs_twice() {
    fn holds(seed: u64, steps: Vec<(u8, u16)>) -> bool {
        let mut world = World::new(seed);
        for (what, n) in steps {
            world.step(what, n as usize);
        }
        world.settle();
        true
    }
    let mut runs = QuickCheck::new().tests(120).rng(Gen::from_size_and_seed(300, 11));
    runs.quickcheck(holds as fn(u64, Vec<(u8, u16)>) -> bool);
}

#[test]
fn a_command_lost_with_the_link_is_sent_again_and_one_that_arrived_is_not() {
    let mut w = World::new(1);
    let (lost, kept) = {
        let kept = w.ask(1, "book", 900 * MS, None);
        w.out.deaf = true;
        (w.ask(1, "look", 900 * MS, None), kept)
    };
    assert_eq!(w.out.runs.len(), 1);
    w.link_up();
    assert_eq!(w.out.runs.len(), 2);
    w.play(0, true);
    w.read_notices(1);
    assert_eq!(w.out.called.len(), 1);
    w.out.deaf = true;
    w.reply(0, CallEnd::Ok); // its delivery is lost
    w.link_up(); // sent again, and so it goes on
    for _ in 0..2 {
        w.play(1, false);
        w.read_notices(1);
    }
    w.check();
    assert_eq!((w.out.answers[&kept].0, w.out.answers[&lost].0), ("ok", "ok"));
}

/// What stood still in the laboratory: one launch that the agent never got, on a link that stands and carries.
#[test]
fn a_launch_lost_on_a_link_that_stands_is_noticed_and_sent_again_and_service_goes_on() {
    let mut w = World::new(4);
    w.out.deaf = true;
    let lost = w.ask(1, "book", 900 * MS, None);
    w.out.deaf = false;
    // The stop at its due time is the last that the agent is told of it, and that is not heard of either.
    let longest = 400 * MS;
    w.pass(880 * MS + 4 * longest);
    assert_eq!((w.out.runs.len(), w.out.ended_agent), (0, 0));
    assert_eq!(w.out.answers[&lost].0, "aborted", "its caller waits no longer than told");
    w.pass(280 * MS);
    assert_eq!((w.out.ended_agent, w.core.stats().agent_silent), (1, 1));
    // Until the lost run is over nothing is taken: all looks as if work had stopped finishing.
    let turned_away = w.ask(1, "look", 900 * MS, None);
    assert_eq!(w.out.answers[&turned_away].0, "pushed back");
    w.link_up();
    w.play(0, false);
    w.read_notices(9);
    let taken = w.ask(1, "look", 900 * MS, None);
    w.play(1, false);
    w.read_notices(9);
    assert_eq!(w.out.answers[&taken].0, "ok");
    w.pass(10_000 * MS);
    assert_eq!(w.out.ended_agent, 1, "nothing is silent any more");
    w.check();
}

#[test]
fn a_link_to_the_agent_that_hangs_is_made_anew_at_pauses_that_double() {
    let mut w = World::new(5);
    w.out.deaf = true; // neither commands nor samples arrive
    let place = w.ask(1, "look", 900 * MS, None);
    let mut ends = Vec::new();
    for _ in 0..200 {
        let before = w.out.ended_agent;
        w.pass(100 * MS);
        if w.out.ended_agent > before {
            ends.push((w.now - START) / MS);
            w.core.agent_connected(w.now); // which hangs as well: not even a greeting comes
        }
    }
    assert!((1_000..=1_400).contains(&ends[0]), "{ends:?}");
    let gaps: Vec<u64> = ends.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(gaps.len() >= 3 && gaps.windows(2).all(|two| two[1] >= two[0] * 3 / 2), "{ends:?}");
    assert_eq!(w.out.answers[&place].0, "aborted");
    w.link_up();
    w.play(0, false);
    w.read_notices(9);
    w.check();
}

#[test]
fn a_run_that_waits_for_its_call_is_not_taken_for_lost() {
    let mut w = World::new(6);
    w.ask(1, "book", 900 * MS, None);
    w.play(0, true);
    w.read_notices(1);
    assert_eq!(w.out.called.len(), 1);
    w.pass(800 * MS);
    w.reply(0, CallEnd::Ok);
    w.pass(1_000 * MS);
    assert_eq!(w.out.ended_agent, 0);
}

#[test]
fn a_notice_read_before_the_link_broke_changes_nothing_when_it_comes_again() {
    let mut w = World::new(2);
    let place = w.ask(1, "look", 900 * MS, None);
    w.play(1, false);
    w.read_notices(1);
    assert_eq!(w.out.answers[&place].0, "ok");
    w.read = 0;
    w.read_notices(1);
    w.check();
    assert_eq!(w.core.stats().stale_notices, 1);
}

#[test]
fn tries_of_one_tokened_rpc_are_known_by_method_tenant_and_body_whoever_brings_them() {
    let mut settings = server();
    let pay = json!({"Name": "pay", "AimMs": 400, "DeadlineMs": 900, "Effect": "guarded", "WindowMs": 700, "Worth": 3});
    settings["Categories"].as_array_mut().unwrap().push(pay);
    let mut w = World::of(3, &settings);
    let try_of = |w: &mut World, conn: u64, method: &str, body: &[u8]| {
        w.next += 1;
        let (id, place) = (
            RpcId::from_number(w.next),
            SidecarStream { conn: ConnectionId(conn), stream: StreamId(w.next as u32) },
        );
        let (method, tenant, caller) = (method.to_string(), "acme".to_string(), CallerId(conn));
        let (born, due, size_kb) = (w.now, Some(w.now + 800 * MS), 20.0 + conn as f64);
        w.out.bodies.insert(id, body.to_vec());
        let ask = RpcRequest { id, method, tenant, caller, born, due, size_kb, key: None };
        assert!(w.core.rpc_received(w.now, place, ask, body, &mut w.out));
        place
    };
    // Of one sidecar, of another, and a while after the first has been answered.
    let first = try_of(&mut w, 1, "pay", b"order 17");
    let others = [try_of(&mut w, 1, "pay", b"order 17"), try_of(&mut w, 2, "pay", b"order 17")];
    assert_eq!(w.out.runs.len(), 1, "one run for all tries");
    w.play(1, false);
    w.read_notices(1);
    w.pass(300 * MS);
    let late = try_of(&mut w, 3, "pay", b"order 17");
    let made: BTreeSet<_> = others.iter().chain([&first, &late]).map(|p| w.out.answers[p].clone()).collect();
    assert!(made.len() == 1 && made.first().is_some_and(|(what, _)| *what == "ok"), "{made:?}");
    assert_eq!((w.out.runs.len(), w.core.stats().coalesced), (1, 3));
    // Another body is another RPC, and so is the same one of a method that may run again.
    try_of(&mut w, 1, "pay", b"order 18");
    try_of(&mut w, 1, "look", b"order 17");
    assert_eq!(w.out.runs.len(), 3);
    // Once the window is over, it may be asked for anew.
    w.pass(600 * MS);
    try_of(&mut w, 1, "pay", b"order 17");
    assert_eq!(w.out.runs.len(), 4);
}

#[test]
fn reads_of_one_key_share_a_run_and_each_gets_its_own_answer() {
    let mut w = World::new(3);
    for conn in 0..3 {
        w.ask(conn, "look", 900 * MS, Some(9)); // of a connection without a run nothing is shared
        assert_eq!(w.out.runs.len() as u64, conn + 1);
        w.play(1, false);
        w.read_notices(1);
    }
    w.pass(200 * MS);
    w.out.runs.clear();
    let places = [0, 1, 2].map(|conn| w.ask(conn, "look", 900 * MS, Some(9)));
    assert_eq!(w.out.runs.len(), 1);
    w.play(1, false);
    w.read_notices(1);
    let late = w.ask(1, "look", 900 * MS, Some(9)); // within the time that a result stays fresh
    let ok: BTreeSet<_> = places.iter().chain([&late]).map(|p| w.out.answers[p].clone()).collect();
    assert_eq!(ok.len(), 1);
    assert_eq!(w.out.runs.len(), 1);
    w.pass(200 * MS);
    w.ask(1, "look", 900 * MS, Some(9)); // too late for it
    assert_eq!(w.out.runs.len(), 2);
    // Another RPC about the same: what a run made for one is no answer to the other.
    w.ask_with(1, "look", 900 * MS, Some(9), b"another".to_vec());
    assert_eq!(w.out.runs.len(), 3);
}

#[test]
fn a_silent_agent_delays_no_wake_and_no_due_time() {
    let mut w = World::new(4);
    let place = w.ask(1, "book", 300 * MS, None);
    w.out.deaf = true;
    w.pass(310 * MS);
    assert_eq!(w.out.answers[&place].0, "aborted");
    assert!(w.core.stats().wakeups_without_gauges > 0);
}

#[test]
fn a_call_without_a_reply_is_given_up_and_the_next_goes_by_another_link() {
    let mut w = World::new(5);
    let place = w.ask(1, "look", 900 * MS, None);
    w.play(1, true);
    w.read_notices(1);
    let first = w.out.called.values().next().copied();
    assert!(first.is_some());
    w.reply(0, CallEnd::TimedOut);
    let second = w.out.called.values().next().copied();
    assert!(second.is_some() && second != first, "{first:?} {second:?}");
    let id = w.asks[&place].0.id;
    let late = first.unwrap();
    w.core.call_ended(w.now, late, id, CallEnd::Ok, b"of the call given up", &mut w.out);
    assert_eq!(w.core.stats().late_replies, 1);
    w.pass(900 * MS); // no reply ever comes: it is given up, and the run goes on without
    assert!(w.out.called.is_empty());
    w.check();
}

/// Runs that each wait for a call of their own.
fn calling(seed: u64, calls: usize) -> (World, Vec<SidecarStream>) {
    let mut w = World::new(seed);
    let places: Vec<SidecarStream> = (0..calls).map(|n| w.ask(n as u64, "look", 900 * MS, None)).collect();
    for _ in 0..calls {
        w.play(0, true);
        w.read_notices(1);
    }
    assert_eq!(w.out.called.len(), calls);
    (w, places)
}

#[test]
fn a_link_that_ends_takes_one_call_with_it_and_that_is_made_again_by_another() {
    let (mut w, _) = calling(21, 3);
    let before = w.out.called.clone();
    assert_eq!(before.values().collect::<BTreeSet<_>>().len(), 3, "a link for each");
    let (id, link) = before.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    w.out.called.remove(&id);
    w.core.link_ended(w.now, link, false, &mut w.out);
    assert_eq!((w.core.stats().calls_aborted, w.out.called.len()), (1, 3));
    assert!(w.out.called[&id] != link && before.iter().all(|(i, l)| *i == id || w.out.called[i] == *l));
    w.settle();
}

#[test]
fn a_second_copy_of_a_reply_never_passes_for_the_reply_to_the_next_call() {
    let (mut w, places) = calling(22, 1);
    let (id, first) = w.out.called.iter().next().map(|(id, link)| (*id, *link)).unwrap();
    w.reply(0, CallEnd::Ok);
    w.play(1, true); // the run makes its next call
    w.read_notices(1);
    assert!(w.out.called[&id] != first);
    w.core.call_ended(w.now, first, id, CallEnd::Ok, b"of the call before", &mut w.out);
    assert_eq!(w.core.stats().late_replies, 1);
    w.reply(0, CallEnd::Ok);
    w.play(1, false);
    w.read_notices(1);
    w.check();
    assert_eq!(w.out.answers[&places[0]].0, "ok");
}

#[test]
fn the_next_call_of_an_rpc_goes_by_another_link_even_where_that_rests_and_by_none_where_there_is_none() {
    use crate::upstream::UpstreamLinks;
    let (mut links, mut out) = (UpstreamLinks::new(2), Out::default());
    let first = links.select(None).unwrap();
    links.call_placed(first);
    links.call_finished(first, false, &mut out); // its reply came; a second copy may follow
    let other = links.select(Some(first)).unwrap();
    assert_ne!(first, other);
    // The other has broken off: it rests, and takes calls for when it stands again.
    links.disconnected(other);
    links.calls_drained(other);
    assert_eq!(links.select(Some(first)), Some(other), "not the link that the reply came by");
    links.ready(other);
    // The other is being closed: there is none for now.
    links.retire(other, &mut out);
    assert_eq!(links.select(Some(first)), None);
    assert_eq!(links.select(None), Some(first), "of other RPCs it takes calls as before");
}

#[test]
fn when_the_layer_below_moves_calls_in_hand_end_where_they_are_and_others_go_to_the_new_place() {
    let (mut w, _) = calling(23, 2);
    let before: BTreeSet<UpstreamLinkId> = w.out.called.values().copied().collect();
    w.core.upstream_moved(&mut w.out);
    assert!(w.out.closed.iter().all(|link| !before.contains(link)) && w.out.closed.len() == 2);
    for link in std::mem::take(&mut w.out.closed) {
        w.core.link_ended(w.now, link, false, &mut w.out);
    }
    w.ask(5, "look", 900 * MS, None);
    w.play(2, true);
    w.read_notices(1);
    let new: Vec<UpstreamLinkId> =
        w.out.called.values().copied().filter(|link| !before.contains(link)).collect();
    assert_eq!((w.out.called.len(), new.len()), (3, 1));
    while !w.out.called.is_empty() {
        w.reply(0, CallEnd::Ok);
    }
    assert_eq!(w.out.closed.iter().copied().collect::<BTreeSet<_>>(), before);
    w.settle();
}

#[test]
fn thorough_checks_share_one_exercise_and_are_answered_in_bounded_time() {
    let mut w = World::new(6);
    let place = |n| SidecarStream { conn: ConnectionId(9), stream: StreamId(n) };
    w.core.health_check(w.now, place(1), false, &mut w.out);
    assert_eq!(w.out.health, [(place(1), true)]);
    for n in 2..5 {
        w.core.health_check(w.now, place(n), true, &mut w.out);
    }
    assert_eq!((w.out.exercises.len(), w.out.health.len()), (1, 1));
    let tag = w.out.exercises[0];
    w.core.exercise_finished(w.now, tag, true, &mut w.out);
    assert!(w.out.health.len() == 4 && w.out.health.iter().all(|(_, good)| *good));
    w.core.health_check(w.now, place(5), true, &mut w.out);
    w.pass(300 * MS); // the agent says nothing
    assert_eq!(w.out.health.last(), Some(&(place(5), false)));
    w.core.exercise_finished(w.now, tag, true, &mut w.out); // late, and of the one before
    assert_eq!(w.out.health.len(), 5);
}

#[test]
fn the_33rd_open_stream_breaks_the_protocol_and_the_rest_is_still_answered() {
    let mut w = World::new(7);
    for _ in 0..200 {
        w.ask(1, "look", 900 * MS, None);
    }
    assert!(w.core.pending_answers_on(ConnectionId(1)) <= 32);
    w.settle();
}

#[test]
fn an_unknown_method_or_an_id_in_use_is_aborted_on_its_own_stream() {
    let mut w = World::new(8);
    let first = w.ask(1, "look", 900 * MS, None);
    let odd = w.ask(1, "riddle", 900 * MS, None);
    assert_eq!(w.out.answers[&odd].0, "aborted");
    let place = SidecarStream { conn: ConnectionId(2), stream: StreamId(1) };
    let again = w.asks[&first].0.clone();
    assert!(w.core.rpc_received(w.now, place, again, b"x", &mut w.out));
    assert_eq!(w.out.answers[&place].0, "aborted");
    assert!(!w.out.answers.contains_key(&first));
    let mut stranger = w.asks[&first].0.clone();
    (stranger.id, stranger.tenant) = (RpcId::new("00000000000000fe").unwrap(), "nobody".into());
    let place = SidecarStream { conn: ConnectionId(2), stream: StreamId(2) };
    assert!(w.core.rpc_received(w.now, place, stranger, b"x", &mut w.out));
    assert_eq!((w.out.answers[&place].0, w.out.runs.len()), ("aborted", 1));
}

#[test]
fn a_connection_that_brings_only_what_cannot_be_run_is_closed_and_one_that_had_a_run_is_not() {
    let mut w = World::new(12);
    for n in 0..8 {
        w.ask(2, "riddle", 900 * MS, None);
        if n == 2 {
            let fine = w.ask(2, "look", 900 * MS, None);
            w.play(1, false);
            w.read_notices(1);
            assert_eq!(w.out.answers[&fine].0, "ok");
        }
    }
    assert!(w.out.distrusted.is_empty());
    for n in 0..4 {
        let unknown = w.ask(3, "look", 900 * MS, None); // the agent refuses it
        let id = w.asks[&unknown].0.id;
        assert_eq!(w.out.distrusted.len(), 0, "after {n}");
        w.core.command_refused(w.now, Some(id), &mut w.out);
        assert_eq!(w.out.answers[&unknown].0, "aborted");
    }
    assert_eq!(w.out.distrusted, [ConnectionId(3)]);
    let after = w.ask(3, "look", 900 * MS, None);
    assert!(!w.asks.contains_key(&after), "nothing more is taken from it");
}

#[test]
fn a_launch_that_the_agent_refuses_is_over_at_once() {
    let mut w = World::new(10);
    w.out.deaf = true;
    let place = w.ask(1, "book", 900 * MS, None);
    let id = w.asks[&place].0.id;
    w.core.command_refused(w.now, Some(id), &mut w.out);
    assert_eq!((w.out.answers[&place].0, w.core.open_rpcs()), ("aborted", 0));
    w.core.command_refused(w.now, Some(id), &mut w.out); // of what is over: nothing
    assert_eq!(w.out.answers.len(), 1);
}

#[test]
fn a_time_of_birth_long_past_is_not_taken_for_time_unread_here() {
    let mut w = World::new(11);
    w.pass(500 * MS);
    let (id, place) = (
        RpcId::new("00000000000000ff").unwrap(),
        SidecarStream { conn: ConnectionId(1), stream: StreamId(1) },
    );
    let (method, tenant, caller) = ("look".to_string(), "acme".to_string(), CallerId(1));
    let ask = RpcRequest { id, method, tenant, caller, born: 0, due: Some(1), size_kb: 20.0, key: None };
    w.core.rpc_received(w.now, place, ask, b"", &mut w.out);
    assert_eq!(w.out.answers[&place].0, "pushed back");
    let fine = w.ask(2, "look", 900 * MS, None);
    assert!(!w.out.answers.contains_key(&fine) && w.out.credit.unwrap() > 0.1, "{:?}", w.out.credit);
}

#[test]
fn an_rpc_whose_caller_states_no_patience_is_due_by_the_deadline_of_its_method() {
    let mut w = World::new(11);
    w.pass(500 * MS);
    let (method, tenant, caller) = ("look".to_string(), "acme".to_string(), CallerId(1));
    let (id, place) = (RpcId::from_number(9), SidecarStream { conn: ConnectionId(1), stream: StreamId(1) });
    let born = w.now - 20 * MS;
    let ask = RpcRequest { id, method, tenant, caller, born, due: None, size_kb: 20.0, key: None };
    w.core.rpc_received(w.now, place, ask, b"", &mut w.out);
    assert!(w.out.runs.contains_key(&id), "it is run like any other");
    let mut late = 0;
    while !w.out.answers.contains_key(&place) {
        (w.now, late) = (w.now + MS, late + 1);
        w.core.tick(w.now, &mut w.out);
        assert!(w.now <= born + DEADLINE, "no answer by its deadline");
    }
    assert!(w.now + 50 * MS > born + DEADLINE && late > 100, "not before either: {late} ms");
}

#[test]
fn leaving_is_reported_at_once_told_after_the_grace_and_all_is_answered() {
    let mut w = World::new(9);
    let place = w.ask(1, "look", 5_000 * MS, None);
    w.core.drain(w.now, 1_000 * MS, &mut w.out);
    w.core.drain(w.now, 9_000 * MS, &mut w.out); // a second notice changes nothing
    assert!(!w.out.left && w.out.serving.last() == Some(&false) && !w.core.is_drained());
    w.pass(400 * MS); // the grace: what comes until then is run, so callers are told to leave only now
    assert!(w.out.left && !w.core.is_drained());
    w.pass(599 * MS);
    assert_eq!(w.out.answers[&place].0, "aborted");
    assert!(w.core.is_drained());
}

#[test]
fn a_notice_to_leave_before_the_agent_greets_counts_from_when_it_came() {
    for greets in [50, 250] {
        let made = |at| made(at, 1, &server(), Some(true));
        let (mut core, mut out) = (Core::new(START, made(START), BufferPool::new(500), 4), Out::default());
        core.start(START, &mut out);
        core.drain(START, 1_000 * MS, &mut out);
        let up = START + greets * MS;
        core.agent_connected(up);
        // The agent started before the notice, or after it.
        core.agent_up(up, Some(made(up - 100 * MS)), &mut out);
        assert!(!out.serving.contains(&true), "it never says that it takes work: {:?}", out.serving);
        let mut w = World::with(core, out, up, &server());
        w.ask(1, "book", 900 * MS, None);
        assert_eq!(w.out.runs.len(), 1, "within the grace it is run");
        w.pass(START + 420 * MS - w.now);
        assert!(w.out.left, "callers are told to leave once the grace is over");
        let late = w.ask(2, "book", 900 * MS, None);
        assert_eq!(
            (w.out.runs.len(), w.out.answers[&late].0),
            (1, "pushed back"),
            "after the grace nothing is run"
        );
        w.pass(1_000 * MS);
        assert!(w.core.is_drained() && w.core.unanswered_rpcs() == 0);
    }
}

#[test]
fn an_rpc_of_a_method_that_is_removed_still_gets_its_answer_and_new_ones_are_aborted() {
    let mut w = World::new(31);
    let held: Vec<SidecarStream> = (0..6).map(|n| w.ask(n, "book", 900 * MS, None)).collect();
    let running = w.out.runs.len();
    assert!(running < 6);
    w.play(0, true); // one of them waits for a call
    w.read_notices(1);
    w.change(2); // "book" is gone
    let late = w.ask(9, "book", 900 * MS, None);
    assert_eq!(w.out.answers[&late].0, "aborted");
    w.reply(0, CallEnd::Ok);
    while w.out.runs.values().any(|run| !run.over) {
        w.play(1, false);
        w.read_notices(usize::MAX);
    }
    w.check();
    let ok = held.iter().filter(|place| w.out.answers.get(place).is_some_and(|a| a.0 == "ok")).count();
    assert!(ok >= running, "{ok} of {running}");
    w.change(0); // it is back, at its place, with what was learned of it
    let again = w.ask(10, "book", 900 * MS, None);
    w.play(1, false);
    w.read_notices(usize::MAX);
    assert_eq!(w.out.answers[&again].0, "ok");
    w.settle();
}

#[test]
fn a_change_before_the_agent_is_up_and_one_while_its_link_is_away_are_kept() {
    let first = made(START, 1, &server(), None);
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(500), 4), Out::default());
    core.start(START, &mut out);
    let mut settings = server();
    settings["Categories"].as_array_mut().unwrap().pop();
    change(&mut core, START, &content(&server()), &content(&settings), 2, &mut out);
    // The agent's greeting brings a module made anew from the first settings: too late for those.
    let stale = made(START, 1, &server(), Some(true));
    core.agent_connected(START);
    core.agent_up(START, Some(stale), &mut out);
    let place = SidecarStream { conn: ConnectionId(1), stream: StreamId(1) };
    let (id, caller) = (RpcId::new("00000000000000aa").unwrap(), CallerId(1));
    let (method, tenant, due) = ("book".to_string(), "acme".to_string(), Some(START + 900 * MS));
    let ask = RpcRequest { id, method, tenant, caller, born: START, due, size_kb: 20.0, key: None };
    core.rpc_received(START, place, ask, b"", &mut out);
    assert_eq!(out.answers[&place].0, "aborted", "the version that runs does not know it");
    let mut w = World::new(32);
    w.out.deaf = true;
    let place = w.ask(1, "look", 900 * MS, None);
    w.change(1);
    w.link_up();
    w.play(1, false);
    w.read_notices(usize::MAX);
    assert_eq!(w.out.answers[&place].0, "ok", "launched under the name that it was read with");
}

/// `cargo test --release -p asterrill-daemon cost -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn cost_of_a_change_with_1000_in_hand_and_of_the_watch_for_an_rpc() {
    let mut settings = server();
    (settings["FamilyInfo"]["RamKb"], settings["FamilyInfo"]["NCores"]) = (json!(1_000_000), json!(1_500));
    let first = made(START, 1, &settings, None);
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(4_000), 4), Out::default());
    core.start(START, &mut out);
    core.agent_connected(START);
    core.agent_up(START, None, &mut out);
    for n in 0..1_000_u64 {
        let place = SidecarStream { conn: ConnectionId(n), stream: StreamId(1) };
        let (id, caller) = (RpcId::from_number(n + 1), CallerId(n));
        let (method, tenant, due) = ("look".to_string(), "acme".to_string(), Some(START + 900_000 * MS));
        out.bodies.insert(id, Vec::new());
        let ask = RpcRequest { id, method, tenant, caller, born: START, due, size_kb: 1.0, key: None };
        core.rpc_received(START, place, ask, b"", &mut out);
    }
    let in_hand = core.open_rpcs();
    let mut running = content(&settings);
    let mut spans: Vec<u128> = (0..101)
        .map(|n| {
            settings["FamilyInfo"]["NCores"] = json!(1_500 + (n + 1) % 2);
            let to = content(&settings);
            let start = std::time::Instant::now();
            change(&mut core, START + n * MS, &running, &to, n + 2, &mut out);
            running = to;
            start.elapsed().as_nanos()
        })
        .collect();
    spans.sort_unstable();
    let mut service = crate::service_stats::ServiceStats::new(0, vec![400 * MS, 400 * MS]);
    let names: [asterrill_entries::Name; 2] = ["look".into(), "book".into()];
    let start = std::time::Instant::now();
    for n in 0..1_000_000_u64 {
        let method = asterrill::MethodId(n as usize % 2);
        service.record_received(method);
        service.record_answered(
            asterrill_engine::Served { method, latency: n % 900_000, upstream_failed: n % 50 == 0 },
            n % 3 > 0,
        );
        if n % 20 == 0 {
            // 200 a second, ten looks
            std::hint::black_box(service.take_sample(|method| names.get(method.0).cloned(), |_| 5.0));
        }
    }
    let each = start.elapsed().as_nanos() / 1_000_000;
    println!(
        "in hand {in_hand}; a change {} ns (median of 101), {} ns at most; the watch {each} ns an RPC",
        spans[50], spans[100]
    );
    assert!(in_hand >= 500 && each < 1_000);
}

mod coming_back {
    use super::*;
    use crate::recovery::{RecoveryConfig, RecoveryTracker};
    use asterrill_operator_config::RecoverySettings;
    use asterrill_recovery::{ClockReading, Snapshot, Stage};

    fn start(now: Us, kept: Option<Snapshot>) -> RecoveryTracker {
        let moment = ClockReading { wall: now, uptime: now / 2, boot_id: 9 };
        let terms = RecoverySettings { snapshot_interval: 1_000 * MS, ..RecoverySettings::default() };
        let (name, settings, cores, memory_mb) = ("n1".to_string(), 77, 2.0, 64);
        let (seed, lasting) = (5, true);
        RecoveryTracker::new(
            now,
            RecoveryConfig {
                name,
                settings,
                cores,
                memory_mb,
                moment,
                terms,
                snapshot: kept,
                seed,
                persistent: lasting,
            },
        )
    }
    fn world(seed: u64, kept: Option<Snapshot>) -> World {
        let mut core = Core::new(START, made(START, seed, &server(), None), BufferPool::new(500), 4);
        let mut out = Out::default();
        core.start(START, &mut out);
        core.start_recovery(START, start(START, kept), &mut out);
        core.agent_connected(START);
        core.agent_up(START, None, &mut out);
        core.agent_greeted(START, false, &mut out);
        World::with(core, out, START, &server())
    }
    fn serve(w: &mut World, rpcs: u64) {
        for _ in 0..rpcs {
            w.ask(1, "look", 900 * MS, None);
            w.pass(30 * MS);
            w.play(1, false);
            w.read_notices(9);
            w.pass(60 * MS);
        }
    }
    fn stage(w: &World) -> Stage {
        w.core.recovery_stages().unwrap().0.stage()
    }

    #[test]
    fn what_was_served_is_kept_at_its_beat_and_recalled_by_the_next_process() {
        let mut w = world(1, None);
        assert_eq!(stage(&w), Stage::Restoring);
        w.pass(200 * MS);
        assert_eq!(stage(&w), Stage::Cold);
        serve(&mut w, 40);
        let then = ClockReading { wall: START, uptime: START / 2, boot_id: 9 };
        let kept = w.core.take_snapshot(w.now, || then, false).unwrap();
        assert!(w.core.take_snapshot(w.now, || then, false).is_none(), "its beat is over");
        assert!(
            w.core.take_snapshot(w.now, || then, true).is_some(),
            "but at the notice to leave there is another"
        );
        assert_eq!(w.core.stats().snapshots, 2);
        let look = kept.methods.iter().find(|m| m.name == "look").unwrap();
        assert!((look.mean - 30_000.0).abs() < 15_000.0 && look.runs > 20.0, "{look:?}");
        assert!(kept.methods.iter().all(|m| m.name != "book"), "of that nothing was learned");
        let again = Snapshot::from_text(&kept.to_text()).unwrap();
        let w = world(2, Some(again));
        // Places are in the order of names: "book" stands before it.
        let recalled = w.core.learned().costs[1];
        assert!((recalled.mean - look.mean).abs() < 1.0 && recalled.runs <= 8.0, "{recalled:?} of {look:?}");
    }

    #[test]
    fn a_snapshot_of_another_backend_changes_nothing() {
        let fresh = world(3, None).core.learned();
        let mut w = world(3, None);
        serve(&mut w, 30);
        let mut kept = w.core.take_snapshot(w.now, ClockReading::default, true).unwrap();
        kept.name = "n2".into();
        assert_eq!(world(3, Some(kept)).core.learned(), fresh);
    }

    #[test]
    fn it_is_full_by_evidence_and_an_idle_server_says_that_it_does_not_know() {
        let mut w = world(4, None);
        w.pass(60_000 * MS);
        assert_eq!(stage(&w), Stage::Cold, "a minute without an RPC proves nothing");
        serve(&mut w, 15);
        assert_eq!(stage(&w), Stage::Warming);
        serve(&mut w, 60);
        assert_eq!(stage(&w), Stage::Full);
        w.check();
    }

    #[test]
    fn calls_below_open_slowly_after_a_start_and_again_after_an_outage() {
        let mut w = world(5, None);
        let call = |w: &mut World, rpcs: u64| {
            for _ in 0..rpcs {
                w.ask(1, "look", 900 * MS, None);
                w.play(0, true);
                w.read_notices(9);
            }
            w.out.called.len()
        };
        assert_eq!(call(&mut w, 3), 1, "one call to begin with, whatever waits");
        for _ in 0..30 {
            while !w.out.called.is_empty() {
                w.reply(0, CallEnd::Ok);
            }
            w.play(0, false);
            w.read_notices(9);
            w.pass(50 * MS);
            call(&mut w, 2);
        }
        assert!(w.out.called.len() > 1, "what is answered opens it");
    }
}

#[test]
fn whom_the_agreed_lists_turn_away_never_runs_and_is_told_so_and_a_lease_that_ends_leaves_the_safe_form() {
    use asterrill_consensus::{Access, ApplyPolicy, Change, ListEntry, ListKind, Step, Version};
    let put = |kind, key: &str, access| Change::Put {
        kind,
        key: key.into(),
        entry: ListEntry { access, expires_at: 0 },
    };
    let step = |version: &Version, changes| {
        version.apply(&Step { base: None, proposer: "n1".into(), changes }).unwrap()
    };
    let one = step(
        &Version::default(),
        vec![put(ListKind::Callers, "1", Access::Allowed), put(ListKind::Callers, "2", Access::Denied)],
    );
    let two = step(&one, vec![put(ListKind::Callers, "1", Access::Denied)]);
    let mut world = World::new(5);
    let turned = |world: &mut World| {
        [1, 2, 3].map(|conn| {
            let (launched, place) = (world.out.runs.len(), world.ask(conn, "look", 800 * MS, None));
            let told = world.out.answers.get(&place).is_some_and(|(what, _)| *what == "pushed back");
            assert!(!told || world.out.runs.len() == launched, "it runs and is turned away");
            // What runs ends, so that nobody else is in the way.
            (0..4).for_each(|n| world.play(n + 1, false));
            world.read_notices(usize::MAX);
            told
        })
    };
    assert_eq!(turned(&mut world), [false; 3], "nobody agrees on anything yet");
    world.core.set_apply_policy(ApplyPolicy::full(one.clone()));
    assert_eq!(turned(&mut world), [false, true, false]);
    world.core.set_apply_policy(ApplyPolicy::transition(one, two));
    assert_eq!(turned(&mut world), [true, true, false], "the stricter of the two");
    world.core.expire_policy_lease();
    assert_eq!(turned(&mut world), [true, true, false], "a word may have been taken back");
    assert_eq!((world.core.stats().denied_by_policy, world.out.faults.len()), (5, 0));
}

/// A version with these tenants, beside what `server` says.
fn with_tenants(names: &[String]) -> Entries {
    let mut settings = server();
    settings["Tenants"] = names.iter().map(|name| json!({"Name": name, "QuotaRps": 1_000_000})).collect();
    content(&settings)
}

#[test]
fn entries_that_are_staged_show_nowhere_until_all_of_them_are_in_force() {
    let mut w = World::new(41);
    let asks = |w: &mut World, method: &str, tenant: &str| {
        w.next += 1;
        let (id, place) =
            (RpcId::from_number(w.next), SidecarStream { conn: ConnectionId(w.next), stream: StreamId(1) });
        let (method, tenant, caller) = (method.to_string(), tenant.to_string(), CallerId(1));
        let (born, due) = (w.now, Some(w.now + 800 * MS));
        w.out.bodies.insert(id, b"body".to_vec());
        let ask = RpcRequest { id, method, tenant, caller, born, due, size_kb: 1.0, key: None };
        w.core.rpc_received(w.now, place, ask, b"body", &mut w.out);
        // It runs, waits, or is pushed back, where it is known.
        w.out.answers.get(&place).is_none_or(|(what, _)| *what != "aborted")
    };
    let under = |w: &mut World| {
        [("look", "acme"), ("book", "acme"), ("look", "nile"), ("sell", "acme")].map(|(m, t)| asks(w, m, t))
    };
    let before = [true, true, false, false];
    assert_eq!(under(&mut w), before);
    let mut settings = server();
    settings["Categories"][1]["Name"] = json!("sell");
    settings["Tenants"] = json!([{"Name": "nile", "QuotaRps": 1_000_000}]);
    let to = content(&settings);
    let step = w.entries.changes_to(&to);
    assert_eq!(step.len(), 4, "one put and one taken of each kind");
    for entry in &step {
        w.core.stage(std::slice::from_ref(entry));
        assert_eq!(under(&mut w), before, "after {entry:?}");
    }
    w.core.switch_version(w.now, flip(w.now, 2, &to), &mut w.out);
    assert_eq!(under(&mut w), [false, false, true, false], "acme is gone, and so is book");
    assert!(asks(&mut w, "sell", "nile"));
    // And back, by the same entries turned round.
    let back = to.changes_to(&w.entries);
    w.core.stage(&back);
    w.core.switch_version(w.now, flip(w.now, 3, &w.entries), &mut w.out);
    assert_eq!(under(&mut w), before);
    assert_eq!(w.core.stats().half_applied, 0);
}

#[test]
fn a_storm_of_tenants_that_come_and_go_takes_no_more_places_than_there_are_at_a_time() {
    let mut w = World::new(42);
    let mut running = w.entries.clone();
    for n in 0..300_u64 {
        // One comes and the one before goes; each third change is undone instead of settled.
        let to = with_tenants(&["acme".to_string(), format!("guest {n}")]);
        change(&mut w.core, w.now, &running, &to, 2 * n + 2, &mut w.out);
        if n % 3 == 0 {
            change(&mut w.core, w.now, &to, &running, 2 * n + 3, &mut w.out);
        } else {
            running = to;
        }
        w.core.commit_change();
        assert!(w.core.tenant_indices() <= 3, "{} places after {n} changes", w.core.tenant_indices());
    }
    let place = w.ask(1, "look", 900 * MS, None);
    assert!(w.out.answers.get(&place).is_none_or(|(what, _)| *what != "aborted"), "acme is where it was");
}

#[test]
fn as_many_methods_as_a_version_may_hold_have_places_and_one_more_is_refused_before_anything_is_staged() {
    let many = asterrill_entries::MAX_METHODS as u64;
    let of = |names: &mut dyn Iterator<Item = u64>| {
        let mut settings = server();
        let method = |n: u64| json!({"Name": format!("m{n}"), "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1});
        settings["Categories"] = names.map(method).collect();
        content(&settings)
    };
    let (half, whole) = (of(&mut (0..many / 2)), of(&mut (0..many)));
    let first = asterrill_settings::server_parts(START, 1, &half, None).unwrap();
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(50), 4), Out::default());
    change(&mut core, START, &half, &whole, 2, &mut out);
    // Any figure of those that are known may change, however many.
    change(&mut core, START, &whole, &half, 3, &mut out);
    change(&mut core, START, &half, &whole, 4, &mut out);
    let other = of(&mut (1..many + 1));
    let told = core.check_capacity_for(&whole.changes_to(&other), &[]).unwrap_err();
    assert!(told.contains("more than 20000 methods since the start"), "{told}");
}

#[test]
fn a_look_at_service_tells_of_what_was_asked_for_only_and_the_minute_of_what_was_read_in_it() {
    let names: Vec<asterrill_entries::Name> = (0..5_000).map(|n| format!("m{n}").into()).collect();
    let mut service = crate::service_stats::ServiceStats::new(0, vec![400 * MS; names.len()]);
    let asked = std::cell::Cell::new(0);
    let name = |method: asterrill::MethodId| {
        asked.set(asked.get() + 1);
        names.get(method.0).cloned()
    };
    let of = asterrill::MethodId;
    for _ in 0..3 {
        service.record_received(of(7));
        service.record_received(of(4_000));
        service.record_answered(
            asterrill_engine::Served { method: of(7), latency: 1, upstream_failed: false },
            true,
        );
    }
    let sample = service.take_sample(name, |_| 2.0);
    assert_eq!(asked.get(), 2, "names that are looked at");
    let counted = |n: &str| sample.methods[n];
    assert_eq!((counted("m7").answered, counted("m7").in_time, counted("m7").work_us), (3.0, 3.0, 6.0));
    assert_eq!((counted("m4000").answered, counted("m4000").work_us), (0.0, 6.0));
    assert!(service.take_sample(name, |_| 2.0).methods.is_empty() && asked.get() == 2);
    service.record_answered(
        asterrill_engine::Served { method: of(4_000), latency: 1, upstream_failed: true },
        false,
    );
    assert_eq!(service.take_sample(name, |_| 2.0).methods["m4000"].upstream_failed, 1.0);
    asked.set(0);
    service.advance_to(30_000 * MS);
    service.record_received(of(9));
    let seen = service.observed_load(31_000 * MS, name, |_| 2.0);
    let load = |requests| asterrill_rollout::MethodLoad { requests, mean_work_us: 2.0 };
    assert_eq!((asked.get(), seen.methods["m7"], seen.methods["m9"]), (3, load(3.0), load(1.0)));
    service.advance_to(60_000 * MS);
    let seen = service.observed_load(61_000 * MS, name, |_| 2.0);
    assert_eq!(
        seen.methods.keys().map(|name| &**name).collect::<Vec<_>>(),
        ["m9"],
        "the rest is over a minute ago"
    );
}
