//! Where the engine meets what surrounds it here: sidecars, the agent that runs, and the layer below. Inputs go
//! in, what is to be written comes out, time is passed in. No socket, no clock, no decision about an RPC.

use crate::below::Links;
use crate::counters::Counters;
use crate::notices::Agent;
use crate::queues::{Ask as Want, Queues};
use crate::returning::{Known, Returning};
use crate::service::Service;
use crate::sidecars::Sidecars;
use crate::wire::{Asker, ConnId, LinkId, Place, Wire};
use asterrill::{CallEnd, Effect, Final, MethodId, RpcId, RunEnd, Term, Us};
use asterrill_agree::{caller_key, Gate, Kind};
use asterrill_engine::{Bounds, Command, Engine, IdempotencyKey, Outputs, Read, RouteId, Served, Terms};
use asterrill_net::{Buf, Pool};
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::frames::{Ask, StreamId, STREAMS};
use asterrill_recovery::{Learned, Moment, Stages};
use asterrill_rollout::{Sample, Seen};
use asterrill_settings::Server;
use nanorand::{Rng, WyRand};

const EXERCISE: Us = 200_000; // a thorough check is answered by then
const ASKING: usize = 64; // thorough checks that wait at a time; more are answered from store
const IDS: usize = 4; // tried for a message of a queue, until it waits like one that was pushed back
const METHODS: usize = 1024; // that there ever were: each keeps its place
const RESULTS: usize = 2; // results of tokened RPCs may take half of what bodies in hand may
const FLUSH: Us = 100_000; // kept free before the kill, to write out what is owed

/// Ids that may wait for the same exercise of the agent.
#[derive(Default)]
struct Exercise {
    asking: Vec<Place>,
    tag: u64,
    until: Us,
}

pub struct Core {
    engine: Engine<Asker, Buf>,
    held: Pool,
    around: Around,
    now: Us,
    chance: WyRand,
}

/// All but the engine.
struct Around {
    server: Names,
    agent: Agent,
    sidecars: Sidecars,
    links: Links,
    queues: Option<Queues>,
    exercise: Exercise,
    healthy: bool,
    draining: bool,
    up: Option<Us>, // since the agent greeted: nothing was sent here before
    service: Service,
    stamps: Stamps,
    returning: Option<Returning>,
    /// Of what the settings divide, this server's part over the even one; none where nobody tells.
    part: Option<f64>,
    /// Whom the agreed lists turn away; none where nobody agrees.
    gate: Option<Gate>,
    counters: Counters,
}

/// The version of the configuration that each part has taken up. They differ only while one is being applied, so
/// never while anything is answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Stamps {
    module: u64,
    names: u64,
    queues: u64,
}

/// What the surroundings of the module need to know of its settings.
struct Names {
    methods: Vec<String>,
    of_methods: std::collections::BTreeMap<String, MethodId>,
    /// The same for methods that were removed as well: they keep their place for what is in hand.
    slots: std::collections::BTreeMap<String, MethodId>,
    tenants: std::collections::BTreeMap<String, usize>,
    /// Of methods by their places: repeats are known by a token, and not run again.
    tokened: Vec<bool>,
    /// Of methods that there are, their latency targets.
    targets: std::collections::BTreeMap<String, Us>,
    gauges: Vec<String>,
}

impl Names {
    fn known(&self) -> Known<'_> {
        Known { methods: &self.of_methods, targets: &self.targets, tenants: &self.tenants }
    }
}

/// The latency targets of methods, by name.
fn targets(server: &Server) -> std::collections::BTreeMap<String, Us> {
    let of = |(name, id): (&String, &MethodId)| Some((name.clone(), *server.targets.get(id.0)?));
    server.methods.iter().filter_map(of).collect()
}

/// Takes a server apart: the module, its terms and its names.
fn parts(server: Server, results: usize) -> (asterrill::Control, Terms, Names) {
    let mut methods = vec![String::new(); server.methods.len()];
    for (name, id) in &server.methods {
        methods[id.0] = name.clone();
    }
    let (slots, targets) = (server.methods.clone(), targets(&server));
    let tokened = server.effects.iter().map(|effect| *effect == Effect::Tokened).collect();
    let (of_methods, tenants, gauges) = (server.methods, server.tenants, server.gauges);
    let names = Names { methods, of_methods, slots, tenants, tokened, targets, gauges };
    (
        server.control,
        Terms { shares: server.shares, fresh: server.fresh, results, longest: server.longest },
        names,
    )
}

/// By what the tries of one tokened RPC are known. The protocol has no field for it, and each try has an id of its own;
/// what stays the same is the method, the tenant and the body. A client that asks again may come by another sidecar, so
/// the caller is left out (`docs/program.md`).
fn idempotency_key(method: &str, tenant: &str, body: &[u8]) -> IdempotencyKey {
    let mut hash = blake3::Hasher::new();
    for name in [method, tenant] {
        hash.update(&(name.len() as u64).to_be_bytes()).update(name.as_bytes());
    }
    let mut token = [0; 16];
    hash.update(body).finalize_xof().fill(&mut token);
    IdempotencyKey(token)
}

/// The engine's outputs, carried out by what surrounds it.
struct Carry<'a> {
    now: Us,
    around: &'a mut Around,
    wire: &'a mut dyn Wire,
}

impl Outputs<Asker> for Carry<'_> {
    fn answer(&mut self, to: Asker, answer: Final<'_>, credit: Option<f64>, of: Option<Served>) {
        let Stamps { module, names, queues } = self.around.stamps;
        self.around.counters.half_applied += u64::from(module != names || names != queues);
        if let Some(of) = of {
            self.around.service.answered(of, matches!(answer, Final::Ok(_)));
        }
        match to {
            Asker::Sidecar(place) => self.wire.answer(place, answer, credit),
            Asker::Queue(work) => {
                let now = self.now;
                self.around.queues.iter_mut().for_each(|queues| queues.answered(now, work, answer));
            }
        }
    }
    fn over(&mut self, id: RpcId) {
        self.around.agent.over(id);
    }
    fn launch(&mut self, at: Asker, id: RpcId, method: MethodId, body: &[u8]) {
        if let Asker::Queue(work) = at {
            self.around.queues.iter_mut().for_each(|queues| queues.launched(work));
        }
        self.around.agent.sends(self.now, id);
        let name = self.around.server.methods.get(method.0).map_or("", String::as_str);
        self.wire.launch(id, name, body);
    }
    fn stop(&mut self, id: RpcId) {
        self.around.agent.stops(self.now, id);
        self.wire.stop(id);
    }
    fn resume(&mut self, id: RpcId, reply: &[u8]) {
        self.around.agent.sends(self.now, id);
        self.wire.deliver(id, reply);
    }
    fn skip(&mut self, id: RpcId) {
        let asked = self.around.agent.sends(self.now, id);
        self.wire.skip(id, asked);
    }
    fn ran(&mut self, at: Asker) {
        match at {
            Asker::Sidecar(place) => self.around.sidecars.ran(place.conn),
            Asker::Queue(_) => {}
        }
    }
    fn sample(&mut self) {
        self.wire.sample(self.around.agent.tag(self.now));
    }
    fn call(&mut self, last: Option<RouteId>, id: RpcId, wait: Us, body: &[u8]) -> Option<RouteId> {
        let by = self.around.links.pick(last).filter(|by| self.wire.call(*by, id, wait, body))?;
        self.around.links.placed(by);
        Some(RouteId(by.0))
    }
    fn give_up(&mut self, by: RouteId, id: RpcId) {
        self.wire.give_up(LinkId(by.0), id);
    }
    fn off(&mut self, by: RouteId, late: bool) {
        self.around.links.off(LinkId(by.0), late, self.wire);
    }
    fn health(&mut self, good: bool) {
        self.around.healthy = good;
        if self.around.up.is_some() {
            self.wire.serving(good && !self.around.draining);
        }
    }
    fn close_idle(&mut self, span: Us) {
        self.wire.close_idle(span);
        if span == 0 {
            self.wire.leaving();
        }
    }
    fn log(&mut self, line: &str) {
        self.wire.log(line);
    }
}

impl Core {
    pub fn new(now: Us, server: Server, pool: Pool, links: usize) -> Core {
        let service = Service::new(now, server.targets.clone());
        let (mut agent, longest) = (Agent::default(), server.targets.iter().max().copied());
        agent.target(longest.unwrap_or(0));
        let (control, terms, server) = parts(server, pool.bytes() / RESULTS);
        let held = pool.clone();
        Core {
            engine: Engine::new(now, control, terms, Box::new(move |bytes| pool.hold(bytes))),
            held,
            around: Around {
                server,
                agent,
                sidecars: Sidecars::default(),
                links: Links::new(links),
                queues: None,
                exercise: Exercise::default(),
                healthy: true,
                draining: false,
                up: None,
                service,
                stamps: Stamps { module: 1, names: 1, queues: 1 },
                returning: None,
                part: None,
                gate: None,
                counters: Counters::default(),
            },
            now,
            chance: WyRand::new_seed(now),
        }
    }

    /// Brings an input to the engine, together with what carries out its outputs.
    fn with<R>(
        &mut self, now: Us, wire: &mut dyn Wire,
        input: impl FnOnce(&mut Engine<Asker, Buf>, Us, &mut Carry<'_>) -> R,
    ) -> R {
        self.now = self.engine.pass(now);
        let mut carry = Carry { now: self.now, around: &mut self.around, wire };
        let result = input(&mut self.engine, self.now, &mut carry);
        if self.around.queues.is_some() {
            self.attend_queues(wire);
        }
        result
    }

    /// Messages of queues are taken in from now on.
    pub fn take_queues(&mut self, queues: Queues) {
        self.around.queues = Some(queues);
    }
    pub fn queues(&self) -> Option<&Queues> {
        self.around.queues.as_ref()
    }

    /// Does all that the queues want done, and writes what is to go to the broker.
    fn attend_queues(&mut self, wire: &mut dyn Wire) {
        let now = self.now;
        while let Some(ask) = self.around.queues.as_mut().and_then(|queues| queues.ask(now)) {
            let mut out = Carry { now, around: &mut self.around, wire };
            match ask {
                Want::Offer(mut read, work, body) => {
                    out.around.service.read(read.method);
                    let at = Asker::Queue(work);
                    // Of all ids it may be one that is open; hardly so several times.
                    let mut taken = false;
                    for _ in 0..IDS {
                        taken = taken || self.engine.rpc_read(now, at, read.clone(), &body, &mut out);
                        read.id = RpcId::of(self.chance.generate());
                    }
                    if !taken {
                        let answer = Final::PushedBack { terminal: false, come_back: 0 };
                        out.answer(at, answer, None, None);
                    }
                }
                Want::Withdraw(work) => {
                    let at = Asker::Queue(work);
                    if !self.engine.launched(at) && self.engine.gone(now, at, &mut out) {
                        self.around.queues.iter_mut().for_each(|queues| queues.withdrawn(now, work));
                    }
                }
                Want::Log(line) => wire.log(&line),
            }
        }
        if let Some(queues) = &mut self.around.queues {
            let session = queues.out();
            if !session.out.is_empty() {
                wire.broker(&session.out);
                session.written(now);
            }
            if queues.done() {
                wire.end_broker(false);
            }
        }
    }

    /// A connection to the broker stands.
    pub fn broker_up(&mut self, now: Us, wire: &mut dyn Wire) {
        self.with(now, wire, |_, now, out| out.around.queues.iter_mut().for_each(|q| q.connected(now)));
    }
    /// The connection to the broker is gone, or could not be made. True if it had been of use.
    pub fn broker_down(&mut self, now: Us, wire: &mut dyn Wire) -> bool {
        self.with(now, wire, |_, _, out| out.around.queues.as_mut().is_some_and(Queues::down))
    }
    /// No connection to the broker is wanted any more.
    pub fn broker_done(&self) -> bool {
        self.around.queues.as_ref().is_some_and(Queues::done)
    }
    /// Takes what the broker sent. False if the connection is of no more use.
    pub fn broker_read(&mut self, now: Us, bytes: &[u8], wire: &mut dyn Wire) -> bool {
        let mut logs = Vec::new();
        let fine = self.with(now, wire, |_, now, out| match &mut out.around.queues {
            Some(queues) => queues.read(now, bytes, &mut logs),
            None => Ok(()),
        });
        logs.iter().for_each(|line| wire.log(line));
        self.broker_fine(fine, false, wire)
    }
    /// A connection of no more use ends: once what it was told is written, or at once if nobody may read that.
    fn broker_fine(&mut self, fine: Result<(), String>, at_once: bool, wire: &mut dyn Wire) -> bool {
        if let Err(why) = &fine {
            wire.log(&format!("the connection to the broker is made anew: {why}"));
            wire.end_broker(at_once);
        }
        fine.is_ok()
    }

    /// The version of the configuration that is in force.
    pub fn version(&self) -> u64 {
        self.around.stamps.module
    }
    /// What was served since the last time, for the watch over a change.
    pub fn served(&mut self) -> Sample {
        let (engine, names) = (&self.engine, &self.around.server.methods);
        self.around.service.pass(self.now);
        self.around.service.take(names, |method| engine.cost(method))
    }
    /// What was seen in the last minute, and is held now.
    pub fn seen(&self) -> Seen {
        let names = &self.around.server.methods;
        let mut seen = self.around.service.seen(self.now, names, |method| self.engine.cost(method));
        seen.held_kb = self.engine.held_kb();
        seen
    }
    /// From now on service is judged by the targets of the version that runs.
    pub fn settled(&mut self) {
        self.around.service.settled();
    }

    /// Another version of the configuration from now on, whole: all that follows is decided under it, and what is
    /// in hand keeps the terms under which it was read. An error if it can't be taken up: nothing is changed then.
    pub fn change(
        &mut self, now: Us, server: Server, terms: Vec<asterrill_consumer::Terms>, number: u64,
        wire: &mut dyn Wire,
    ) -> Result<(), String> {
        let mut slots = self.around.server.slots.clone();
        let mut names = self.around.server.methods.clone();
        let mut of_methods = std::collections::BTreeMap::new();
        let mut fresh: Vec<(usize, &String)> = server.methods.iter().map(|(name, id)| (id.0, name)).collect();
        fresh.sort();
        for (_, name) in fresh {
            let place = *slots.entry(name.clone()).or_insert_with(|| {
                names.push(name.clone());
                MethodId(names.len() - 1)
            });
            of_methods.insert(name.clone(), place);
        }
        if names.len() > METHODS {
            return Err(format!("there were more than {METHODS} methods since the start: start anew"));
        }
        if self.around.queues.as_ref().is_some_and(|queues| !queues.could_take(&terms)) {
            return Err("there were too many queues since the start: start anew".into());
        }
        let mut tokened = vec![false; names.len()];
        let mut methods = asterrill_consumer::Methods::new();
        for (name, place) in &of_methods {
            let at = server.methods.get(name).map_or(0, |id| id.0);
            tokened[place.0] = server.effects.get(at) == Some(&Effect::Tokened);
            methods.insert(name.clone(), (*place, server.effects[at]));
            self.around.service.target(place.0, server.targets[at]);
        }
        // Tenants that stay keep their places, and new ones take those that nobody has or had till now.
        let before = &self.around.server.tenants;
        let taken: std::collections::BTreeSet<usize> = before.values().copied().collect();
        let mut free = (0..).filter(|place| !taken.contains(place));
        let mut known_tenants = std::collections::BTreeMap::new();
        let mut staged: Vec<Term> = before.values().map(|place| Term::Tenant(*place, None)).collect();
        for (name, at) in &server.tenants {
            let place = before.get(name).copied().or_else(|| free.next()).unwrap_or(*at);
            staged.push(Term::Tenant(place, server.control.tenant(*at)));
            known_tenants.insert(name.clone(), place);
        }
        staged.extend(slots.values().map(|place| Term::Method(*place, None)));
        for (name, place) in &of_methods {
            let method = server.methods.get(name).and_then(|id| server.control.method(*id));
            staged.push(Term::Method(*place, method.cloned()));
        }
        self.around.agent.target(server.targets.iter().max().copied().unwrap_or(0));
        let results = self.held.bytes() / RESULTS;
        let bounds = Bounds { fresh: server.fresh, results, longest: server.longest };
        let targets = targets(&server);
        let (tenants_now, gauges) = (known_tenants, server.gauges);
        let known =
            Names { methods: names, of_methods, slots, tenants: tenants_now, tokened, targets, gauges };
        self.with(now, wire, |engine, now, out| {
            out.around.counters.changes += 1;
            out.around.stamps = Stamps { module: number, names: number, queues: number };
            out.around.service.pass(now);
            if let Some(queues) = &mut out.around.queues {
                queues.change(now, terms, &methods, &known.tenants);
            }
            out.around.server = known;
            engine.stage(&staged);
            engine.change(now, Some(server.control), Some(bounds), out);
        });
        Ok(())
    }

    /// What members tell of each other comes down to this one figure.
    pub fn share(&mut self, now: Us, part: f64, wire: &mut dyn Wire) {
        if self.around.part.replace(part) != Some(part) {
            self.with(now, wire, |engine, now, out| engine.share(now, part, out));
        }
    }

    /// What the agreed lists say from now on.
    pub fn gate(&mut self, gate: Gate) {
        self.around.gate = Some(gate);
    }
    /// The lease of what they say is over.
    pub fn lapse(&mut self) {
        self.around.gate = self.around.gate.as_ref().map(Gate::lapsed);
    }

    /// How this server comes back is attended to from now on.
    pub fn come_back(&mut self, now: Us, returning: Returning, wire: &mut dyn Wire) {
        let care = returning.care();
        self.around.returning = Some(returning);
        self.with(now, wire, |engine, now, out| engine.careful(now, care, out));
    }
    /// The agent has greeted: what was kept is weighed, the first time.
    pub fn greeted(&mut self, now: Us, empty: bool, wire: &mut dyn Wire) {
        let (standing, names) = (self.engine.standing(), &self.around.server);
        let Some(returning) = &mut self.around.returning else { return };
        let recall = returning.greeted(now, empty, standing, &names.known());
        let care = returning.care();
        self.with(now, wire, |engine, now, out| {
            engine.careful(now, care, out);
            if let Some((experience, told)) = recall {
                out.wire.log(&format!("what was learned before: {told}"));
                engine.recall(now, experience, out);
            }
        });
    }
    /// Looks at how far it is back.
    fn attend_return(&mut self, now: Us, wire: &mut dyn Wire) {
        let Some(returning) = &mut self.around.returning else { return };
        let (care, entered) = returning.look(now, &self.engine.counts, self.engine.standing());
        if let Some(stage) = entered {
            let (why, _) = returning.stages().why();
            wire.log(&format!("stage {}: {why}", stage.name()));
        }
        if let Some(care) = care {
            self.with(now, wire, |engine, now, out| engine.careful(now, care, out));
        }
    }
    /// What the module has learned.
    #[cfg(test)]
    pub fn learned(&self) -> asterrill::Experience {
        self.engine.learned()
    }
    /// Other settings came into force; their hash.
    pub fn settings_now(&mut self, hash: u64) {
        self.around.returning.iter_mut().for_each(|returning| returning.change(hash));
    }
    /// What is to be kept now, if a snapshot is due or the server leaves.
    pub fn snapshot(&mut self, now: Us, moment: impl Fn() -> Moment, leaving: bool) -> Option<Learned> {
        let returning = self.around.returning.as_mut()?;
        if !returning.snapshot_due(now, leaving) {
            return None;
        }
        self.around.counters.snapshots += 1;
        Some(returning.snapshot(moment(), self.engine.learned(), &self.around.server.known()))
    }
    /// How far it is back, and the outages of the layer below that were noticed; none where nobody attends to it.
    pub fn stages(&self) -> Option<(&Stages, u64)> {
        self.around.returning.as_ref().map(|returning| (returning.stages(), returning.outages()))
    }

    /// The start: the module says what to publish.
    pub fn start(&mut self, now: Us, wire: &mut dyn Wire) {
        self.with(now, wire, |engine, now, out| engine.start(now, out));
    }

    /// What was counted, besides what the engine counts.
    pub fn counters(&mut self) -> &mut Counters {
        &mut self.around.counters
    }
    /// All that was counted.
    pub fn counted(&self) -> Counters {
        let mut counters = self.around.counters.clone();
        counters.take(&self.engine.counts);
        counters
    }

    /// An RPC came whole. False if nothing more is taken from its connection: too many streams are open, or
    /// nothing that came on it could be run.
    pub fn rpc_read(&mut self, now: Us, place: Place, ask: Ask, body: &[u8], wire: &mut dyn Wire) -> bool {
        let fine = self.around.sidecars.brings(place.conn);
        if self.owed_on(place.conn) >= STREAMS || !fine {
            return false;
        }
        if let Some(gate) = &self.around.gate {
            let caller = caller_key(ask.caller.0, &mut [0; 20]).to_string();
            let named =
                [(Kind::Tenants, &ask.tenant), (Kind::Callers, &caller), (Kind::Methods, &ask.method)];
            if named.into_iter().any(|(kind, key)| gate.turns_away(kind, key)) {
                self.around.counters.barred += 1;
                self.with(now, wire, |engine, now, out| engine.turn_away(now, Asker::Sidecar(place), out));
                return true;
            }
        }
        let server = &self.around.server;
        let method = server.of_methods.get(&ask.method).copied();
        let tenant = server.tenants.get(&ask.tenant).copied();
        // Where tenants are told apart, an RPC is of one of them.
        let known = tenant.is_some() || server.tenants.is_empty();
        let (Some(method), true) = (method, known) else {
            self.refuse(now, place, wire);
            return true;
        };
        // What the agent may never have heard of is not joined to anything, and nothing to it.
        let shares = self.around.sidecars.proven(place.conn);
        let tokened = server.tokened.get(method.0).copied().unwrap_or(false);
        let known = (tokened || ask.key.is_some() && shares && self.engine.shares(method))
            .then(|| idempotency_key(&ask.method, &ask.tenant, body));
        // An answer carries what a run made for this RPC: of reads with one key, only tries of the same one share.
        let key =
            known.and_then(|IdempotencyKey(bytes)| bytes.first_chunk().map(|half| u64::from_be_bytes(*half)));
        let (token, key) = if tokened { (known, None) } else { (None, key) };
        let at = self.engine.pass(now);
        let read = Read {
            id: ask.id,
            method,
            tenant,
            caller: ask.caller,
            due: ask.due,
            unread: at.saturating_sub(ask.born.max(self.around.up.unwrap_or(at))),
            size_kb: ask.size_kb,
            key,
            shares,
            idempotency_key: token,
        };
        self.around.service.read(method);
        let asker = Asker::Sidecar(place);
        if !self.with(now, wire, |engine, now, out| engine.rpc_read(now, asker, read, body, out)) {
            self.refuse(now, place, wire);
        }
        true
    }

    /// An RPC that can't be understood. False if nothing more is taken from its connection.
    pub fn odd(&mut self, now: Us, place: Place, wire: &mut dyn Wire) -> bool {
        let fine = self.around.sidecars.brings(place.conn);
        if fine {
            self.refuse(now, place, wire);
        }
        fine
    }

    /// For an RPC that could never be run here.
    fn refuse(&mut self, now: Us, place: Place, wire: &mut dyn Wire) {
        self.around.counters.odd += 1;
        self.with(now, wire, |engine, now, out| engine.refuse(now, Asker::Sidecar(place), out));
        self.nonsense(place.conn, wire);
    }

    fn nonsense(&mut self, conn: ConnId, wire: &mut dyn Wire) {
        if self.around.sidecars.nonsense(conn) {
            self.around.counters.bad_sidecar += 1;
            wire.distrust(conn);
        }
    }

    /// Nobody waits for this stream any more.
    pub fn gone(&mut self, now: Us, place: Place, wire: &mut dyn Wire) {
        self.with(now, wire, |engine, now, out| engine.gone(now, Asker::Sidecar(place), out));
    }

    /// A connection ended: nobody waits for anything on it.
    pub fn conn_ended(&mut self, now: Us, conn: ConnId, wire: &mut dyn Wire) {
        self.around.exercise.asking.retain(|place| place.conn != conn);
        let places: Vec<Asker> = self.on(conn).copied().collect();
        for place in places {
            self.with(now, wire, |engine, now, out| engine.gone(now, place, out));
        }
        self.around.sidecars.ended(conn);
    }

    fn on(&self, conn: ConnId) -> impl Iterator<Item = &Asker> {
        let at = |stream| Asker::Sidecar(Place { conn, stream: StreamId(stream) });
        self.engine.owed_in(at(0)..=at(u32::MAX))
    }
    fn asking(&self, conn: ConnId) -> impl Iterator<Item = &Place> {
        self.around.exercise.asking.iter().filter(move |place| place.conn == conn)
    }
    /// Answers owed on a connection, those to health checks included.
    pub fn owed_on(&self, conn: ConnId) -> usize {
        self.on(conn).count() + self.asking(conn).count()
    }
    /// A run was made for this connection: its RPCs are those of a sidecar that the agent knows of.
    pub fn proven(&self, conn: ConnId) -> bool {
        self.around.sidecars.proven(conn)
    }
    /// An answer is owed on a connection.
    pub fn owes(&self, conn: ConnId) -> bool {
        self.on(conn).next().is_some() || self.asking(conn).next().is_some()
    }
    /// RPCs that are not over.
    pub fn open(&self) -> usize {
        self.engine.open()
    }
    /// Answers owed in all.
    pub fn owed(&self) -> usize {
        self.engine.owed()
    }

    /// A health check: a thorough one waits for an exercise of the agent, which all that ask share.
    pub fn check(&mut self, now: Us, place: Place, thorough: bool, wire: &mut dyn Wire) {
        self.now = self.engine.pass(now);
        let Around { exercise, agent, counters, healthy, up, .. } = &mut self.around;
        counters.checks += 1;
        let asking = exercise.asking.len();
        if !thorough || !*healthy || up.is_none() || asking >= ASKING {
            return wire.health(place, *healthy, self.engine.credit());
        }
        counters.thorough += 1;
        if exercise.asking.is_empty() {
            (exercise.tag, exercise.until) = (agent.tag(self.now), self.now + EXERCISE);
            wire.exercise(exercise.tag);
        }
        exercise.asking.push(place);
    }

    pub fn exercised(&mut self, now: Us, tag: u64, good: bool, wire: &mut dyn Wire) {
        self.now = self.engine.pass(now);
        self.around.agent.heard();
        if tag == self.around.exercise.tag {
            self.answer_checks(good, wire);
        }
    }

    fn answer_checks(&mut self, good: bool, wire: &mut dyn Wire) {
        for place in std::mem::take(&mut self.around.exercise.asking) {
            wire.health(place, good && self.around.healthy, self.engine.credit());
        }
    }

    /// A new link to the agent stands. Hands back the number of the last notice read.
    pub fn agent_link(&mut self, now: Us) -> NoticeId {
        self.now = self.engine.pass(now);
        self.around.agent.linked(self.now)
    }

    /// The agent greets: at its start, `ago`, it was `empty` or warm. Once all is read that was missed while
    /// there was no link, what may have been lost on the way is sent again.
    pub fn agent_up(&mut self, now: Us, fresh: Option<Server>, wire: &mut dyn Wire) {
        self.now = self.engine.pass(now);
        self.around.counters.agent_up += 1;
        if let Some(server) =
            fresh.filter(|_| self.engine.counts.rpcs == 0 && self.around.counters.changes == 0)
        {
            let (control, terms, server) = parts(server, self.held.bytes() / RESULTS);
            self.around.server = server;
            self.with(now, wire, |engine, now, out| engine.restart(now, control, terms, out));
            if let Some(part) = self.around.part {
                self.with(now, wire, |engine, now, out| engine.share(now, part, out));
            }
        }
        if self.around.up.is_none() {
            self.around.up = Some(self.now);
            self.engine.attended();
            wire.serving(self.around.healthy && !self.around.draining);
        }
        wire.sample(self.around.agent.greeted(self.now));
    }

    /// The agent has greeted before.
    pub fn is_up(&self) -> bool {
        self.around.up.is_some()
    }

    /// What may have been lost with an earlier link is sent again; for what arrived it changes nothing.
    fn send_again(&mut self, wire: &mut dyn Wire) {
        let (commands, stops) = self.around.agent.lost(self.now);
        for id in commands {
            match self.engine.command(id) {
                Some(Command::Launch(method, body)) => {
                    let name = self.around.server.methods.get(method.0).map_or("", String::as_str);
                    wire.launch(id, name, body);
                }
                Some(Command::Resume(reply)) => wire.deliver(id, reply),
                Some(Command::Skip) => {
                    let asked = self.around.agent.sends(self.now, id);
                    wire.skip(id, asked);
                }
                None => {}
            }
        }
        stops.into_iter().for_each(|id| wire.stop(id));
        if !self.around.exercise.asking.is_empty() {
            wire.exercise(self.around.exercise.tag);
        }
    }

    pub fn sampled(&mut self, now: Us, tag: u64, values: &[f64], wire: &mut dyn Wire) {
        self.now = self.engine.pass(now);
        self.around.agent.heard();
        self.engine.sampled(now, agent::gauges(&self.around.server.gauges, values));
        if self.around.agent.sampled(tag) {
            self.send_again(wire);
        }
    }

    /// Every numbered notice comes by here first. False if it was read before.
    fn fresh_notice(&mut self, number: NoticeId) -> bool {
        self.around.agent.heard();
        let fresh = self.around.agent.fresh(number);
        self.around.counters.stale += u64::from(!fresh);
        fresh
    }

    pub fn aside(&mut self, number: NoticeId) {
        self.fresh_notice(number);
    }

    /// A run is over.
    pub fn run_ended(
        &mut self, now: Us, number: NoticeId, id: RpcId, end: RunEnd, result: &[u8], wire: &mut dyn Wire,
    ) {
        if self.fresh_notice(number) {
            self.with(now, wire, |engine, now, out| engine.run_ended(now, id, end, result, out));
        }
    }

    /// The agent refused a command: a launch that it refuses is not started.
    pub fn refused(&mut self, now: Us, launch: Option<RpcId>, wire: &mut dyn Wire) {
        self.around.counters.refusals += 1;
        self.around.agent.heard();
        let Some(id) = launch else { return };
        match self.with(now, wire, |engine, now, out| engine.unrunnable(now, id, out)) {
            Some(Asker::Sidecar(place)) => self.nonsense(place.conn, wire),
            Some(Asker::Queue(_)) | None => {}
        }
    }

    /// A run waits for a call with this body.
    pub fn call_needed(
        &mut self, now: Us, number: NoticeId, id: RpcId, body: Option<&[u8]>, wire: &mut dyn Wire,
    ) {
        if self.fresh_notice(number) {
            self.around.agent.asked(id, number);
            self.with(now, wire, |engine, now, out| engine.call_needed(now, id, body, out));
        }
    }

    /// A reply came from below.
    pub fn call_ended(
        &mut self, now: Us, by: LinkId, id: RpcId, end: CallEnd, reply: &[u8], wire: &mut dyn Wire,
    ) {
        let by = RouteId(by.0);
        self.with(now, wire, |engine, now, out| engine.call_ended(now, by, id, end, reply, out));
    }

    /// A link below is gone with all calls on it. `refused` proves that none of them ran.
    pub fn link_ended(&mut self, now: Us, by: LinkId, refused: bool, wire: &mut dyn Wire) {
        let end = if refused { CallEnd::PushedBack } else { CallEnd::Aborted };
        let some = self.around.links.busy(by);
        self.around.links.ends(by);
        if some {
            self.with(now, wire, |engine, now, out| engine.route_ended(now, RouteId(by.0), end, out));
        }
        self.around.links.ended(by);
    }

    /// A link below may be made again.
    pub fn link_ready(&mut self, by: LinkId) {
        self.around.links.ready(by);
    }
    /// A link below is not used again as it stands.
    pub fn retire(&mut self, by: LinkId, wire: &mut dyn Wire) {
        self.around.links.retire(by, wire);
    }
    /// The layer below is to be found elsewhere. What is in hand may still end where it was.
    pub fn links_moved(&mut self, wire: &mut dyn Wire) {
        self.around.links.moved(wire);
    }
    /// Calls are in hand on this link.
    pub fn calls_on(&self, by: LinkId) -> bool {
        self.around.links.busy(by)
    }

    /// The notice to leave: the process is killed after `span`.
    pub fn drain(&mut self, now: Us, span: Us, wire: &mut dyn Wire) {
        if std::mem::replace(&mut self.around.draining, true) {
            return;
        }
        wire.serving(false);
        let flush = span.saturating_sub(FLUSH);
        self.with(now, wire, |engine, now, out| {
            out.around.queues.iter_mut().for_each(|queues| queues.leave(now));
            engine.drain(now, now + flush, out);
        });
    }

    /// The notice to leave has run out, and nothing is owed any more.
    pub fn left(&self) -> bool {
        self.engine.left()
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Option<Us> {
        let exercise = &self.around.exercise;
        let exercise = Some(exercise.until).filter(|_| !exercise.asking.is_empty());
        let queues = self.around.queues.as_ref().and_then(Queues::next);
        let returning = self.around.returning.as_ref().map(Returning::next);
        let agent = self.around.agent.next();
        [self.engine.next(), exercise, queues, agent, returning].into_iter().flatten().min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Us, wire: &mut dyn Wire) {
        self.now = self.engine.pass(now);
        if !self.around.exercise.asking.is_empty() && self.around.exercise.until <= self.now {
            self.answer_checks(false, wire);
        }
        if let Some(silence) = self.around.agent.silence(self.now) {
            self.around.counters.agent_silent += 1;
            wire.log(&format!("the link to the agent is made anew: {silence}"));
            wire.end_agent();
        }
        let fine = self.with(now, wire, |engine, now, out| {
            engine.tick(now, out);
            let (credit, runs) = (engine.credit(), out.around.up.is_some());
            match out.around.queues.as_mut().filter(|queues| queues.next().is_some_and(|at| at <= now)) {
                Some(queues) => queues.tick(now, credit, runs),
                None => Ok(()),
            }
        });
        self.broker_fine(fine, true, wire);
        self.attend_return(self.now, wire);
    }
}
