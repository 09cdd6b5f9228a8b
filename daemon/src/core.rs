//! The sole owner of the decision module and of the table of open RPCs: inputs go in, what is to be written
//! comes out, time is passed in. No socket, no clock, no decision about an RPC.

use crate::counters::Counters;
use asterrill::{Answer, Arrival, CallEnd, Gauges, MethodId, Outcome, RpcId, RunEnd, Us};
use asterrill_net::{Buf, Pool};
use asterrill_protocol::agent::{self, NoticeId};
use asterrill_protocol::frames::{Ask, Final, StreamId, STREAMS};
use asterrill_settings::Server;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A sidecar's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A link to the layer below.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub usize);

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub conn: ConnId,
    pub stream: StreamId,
}

/// What the core has written. Each message is put out whole, at once; nothing here waits.
pub trait Wire {
    fn answer(&mut self, to: Place, answer: Final<'_>, credit: Option<f64>);
    fn health(&mut self, to: Place, good: bool, credit: Option<f64>);
    fn launch(&mut self, id: RpcId, method: &str, body: &[u8]);
    fn stop(&mut self, id: RpcId);
    fn deliver(&mut self, id: RpcId, reply: &[u8]);
    fn skip(&mut self, id: RpcId, asked: NoticeId);
    fn sample(&mut self, tag: u64);
    fn exercise(&mut self, tag: u64);
    /// False if it surely was not sent.
    fn call(&mut self, link: LinkId, id: RpcId, wait: Us, body: &[u8]) -> bool;
    fn give_up(&mut self, link: LinkId, id: RpcId);
    /// Closes a link on which no call is in hand; it is made anew when it is needed. False if it isn't up.
    fn close_link(&mut self, link: LinkId) -> bool;
    /// Ends a connection of which nothing could be run.
    fn distrust(&mut self, conn: ConnId);
    /// What the name service is to be told from now on.
    fn serving(&mut self, yes: bool);
    /// No new RPC is wanted on any connection.
    fn leaving(&mut self);
    fn close_idle(&mut self, span: Us);
    fn log(&mut self, line: &str);
}

const LEAD: Us = 5_000; // gauges are asked for this long before the wake that they are for
const FRESH: Us = 50_000; // older gauges are not passed on
const REPLY: Us = 30_000; // beyond the time-out of a call, until its reply is not waited for any more
const EXERCISE: Us = 200_000; // a thorough check is answered by then
const ASKING: usize = 64; // thorough checks that wait at a time; more are answered from store
const FLUSH: Us = 100_000; // kept free before the kill, to write out what is owed
const KEPT: usize = 1024; // results kept for repeats
const NONSENSE: u32 = 4; // RPCs that could not be run: a connection that brought nothing else is closed

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    /// Waits for the RPC that it repeats.
    Joined(RpcId),
    /// Goes on at the agent since the last command, sent by this link. If that broke, it may have been lost.
    Running(Sent, u64),
    AtCall(NoticeId),
    Calling(NoticeId, LinkId, Us),
}

/// A link below as far as calls go. A call has one to itself while there are enough: a reply that spoils its
/// link takes no other call with it. The next call of the same RPC goes by another, so that a late reply, or
/// a second copy, can't pass for the reply to that.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    calls: usize,
    /// Counts the calls placed: of free links the one used last is taken, and the others may go.
    last: u64,
    /// Pauses after its end.
    resting: bool,
    /// Is not used again as it stands: closed once its calls have ended.
    old: bool,
    closing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Launch,
    Deliver,
    Skip(NoticeId),
}

/// What is known of a connection that brought an RPC.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    /// A run was made for it: it is a sidecar that the agent knows of.
    proven: bool,
    /// RPCs that could not be run, as long as none was.
    nonsense: u32,
}

/// What the module is told once it has been heard out.
enum Later {
    CallRefused(RpcId),
    JoinEnds(RpcId),
}

struct Rpc {
    place: Place,
    prior: Option<RpcId>,
    owed: bool,
    method: MethodId,
    stage: Stage,
    /// Of the RPC until it has been started, then of its call, then the reply to that.
    body: Option<Buf>,
    link: Option<LinkId>, // of its last call
    stopped: Option<u64>, // the link by which the agent was told to
}

/// A read that may serve others: open, or ended ok with its result.
struct Kept {
    key: (MethodId, u64),
    until: Us,
    result: Option<Buf>,
}

/// Ids that may wait for the same exercise of the agent.
#[derive(Default)]
struct Exercise {
    asking: Vec<Place>,
    tag: u64,
    until: Us,
}

pub struct Core {
    server: Server,
    methods: Vec<String>,
    pool: Pool,
    now: Us,
    open: BTreeMap<RpcId, Rpc>,
    owed: BTreeMap<Place, RpcId>,
    conns: BTreeMap<ConnId, Standing>,
    kept: BTreeMap<RpcId, Kept>,
    kept_until: BTreeSet<(Us, RpcId)>,
    by_key: BTreeMap<(MethodId, u64), RpcId>,
    wakes: BTreeSet<Us>,
    sampled: bool, // for the first of the wakes
    gauges: Option<(Us, Gauges)>,
    calls: BTreeSet<(Us, RpcId)>,
    links: Vec<Link>,
    placed: u64,
    exercise: Exercise,
    credit: Option<f64>,
    healthy: bool,
    last: NoticeId,
    agent_link: u64, // counts the links to the agent
    tag: u64,
    resync: Option<u64>, // the sample after which all that was missed has been read
    up: Option<Us>,      // since the agent greeted: nothing was sent here before
    kill: Option<Us>,
    later: VecDeque<Later>,
    pub counters: Counters,
}

impl Core {
    pub fn new(now: Us, server: Server, pool: Pool, links: usize) -> Core {
        let mut methods = vec![String::new(); server.methods.len()];
        for (name, id) in &server.methods {
            methods[id.0] = name.clone();
        }
        Core {
            server,
            methods,
            pool,
            now,
            open: BTreeMap::new(),
            owed: BTreeMap::new(),
            conns: BTreeMap::new(),
            kept: BTreeMap::new(),
            kept_until: BTreeSet::new(),
            by_key: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sampled: false,
            gauges: None,
            calls: BTreeSet::new(),
            links: vec![Link::default(); links],
            placed: 0,
            exercise: Exercise::default(),
            credit: None,
            healthy: true,
            last: NoticeId(0),
            agent_link: 0,
            tag: 0,
            resync: None,
            up: None,
            kill: None,
            later: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The start: the module says what to publish.
    pub fn start(&mut self, now: Us, wire: &mut dyn Wire) {
        self.pass(now);
        let outcome = self.server.control.started();
        self.carry(outcome, wire);
    }

    /// An RPC came whole. False if nothing more is taken from its connection: too many streams are open, or
    /// nothing that came on it could be run.
    pub fn rpc_read(&mut self, now: Us, place: Place, ask: Ask, body: &[u8], wire: &mut dyn Wire) -> bool {
        self.pass(now);
        let standing = *self.conns.entry(place.conn).or_default();
        if self.owed_on(place.conn) >= STREAMS || standing.nonsense >= NONSENSE {
            return false;
        }
        self.counters.rpcs += 1;
        let method = self.server.methods.get(&ask.method).copied();
        let tenant = self.server.tenants.get(&ask.tenant).copied();
        // Where tenants are told apart, an RPC is of one of them.
        let known = tenant.is_some() || self.server.tenants.is_empty();
        let taken = self.open.contains_key(&ask.id);
        let (Some(method), true, false) = (method, known, taken) else {
            self.refuse(place, wire);
            return true;
        };
        let Some(body) = self.pool.hold(body) else {
            self.counters.no_buffer += 1;
            self.abort(place, wire);
            return true;
        };
        let (id, stage, link) = (ask.id, Stage::Held, None);
        // What the agent may never have heard of is not joined to anything, and nothing to it.
        let shares = self.server.shares[method.0] && self.server.fresh > 0 && standing.proven;
        let key = ask.key.filter(|_| shares);
        let prior = key.and_then(|key| self.prior((method, key)));
        if let Some(key) = key.filter(|_| prior.is_none() && self.kept.len() < KEPT) {
            self.by_key.insert((method, key), id);
            self.kept.insert(id, Kept { key: (method, key), until: Us::MAX, result: None });
        }
        let body = Some(body);
        let rpc = Rpc { place, prior, owed: true, method, stage, body, link, stopped: None };
        self.open.insert(id, rpc);
        self.owed.insert(place, id);
        let arrival = Arrival {
            id,
            method,
            caller: ask.caller,
            due: Some(ask.due),
            size_kb: ask.size_kb,
            unread: self.now.saturating_sub(ask.born.max(self.up.unwrap_or(self.now))),
            repeat: false,
            prior,
            key: ask.key,
        };
        let outcome = self.server.control.rpc_read(self.now, arrival, tenant);
        self.carry(outcome, wire);
        true
    }

    /// An RPC that can't be understood. False if nothing more is taken from its connection.
    pub fn odd(&mut self, now: Us, place: Place, wire: &mut dyn Wire) -> bool {
        self.pass(now);
        let fine = self.conns.entry(place.conn).or_default().nonsense < NONSENSE;
        if fine {
            self.counters.rpcs += 1;
            self.refuse(place, wire);
        }
        fine
    }

    /// For an RPC that could never be run here.
    fn refuse(&mut self, place: Place, wire: &mut dyn Wire) {
        self.counters.odd += 1;
        self.abort(place, wire);
        self.nonsense(place.conn, wire);
    }

    fn abort(&mut self, place: Place, wire: &mut dyn Wire) {
        self.counters.aborted += 1;
        wire.answer(place, Final::Aborted, self.credit);
    }

    fn nonsense(&mut self, conn: ConnId, wire: &mut dyn Wire) {
        let Some(standing) = self.conns.get_mut(&conn).filter(|standing| !standing.proven) else { return };
        standing.nonsense += 1;
        if standing.nonsense == NONSENSE {
            self.counters.bad_sidecar += 1;
            wire.distrust(conn);
        }
    }

    /// The read with this key that is open, or ended ok not long ago.
    fn prior(&self, key: (MethodId, u64)) -> Option<RpcId> {
        let id = self.by_key.get(&key)?;
        self.kept.get(id).filter(|kept| kept.until > self.now).map(|_| *id)
    }

    /// Nobody waits for this stream any more.
    pub fn gone(&mut self, now: Us, place: Place, wire: &mut dyn Wire) {
        self.pass(now);
        let Some(id) = self.owed.remove(&place) else { return };
        self.counters.gone += 1;
        self.settle(id, wire);
        let outcome = self.server.control.caller_gone(self.now, id);
        self.carry(outcome, wire);
    }

    /// A connection ended: nobody waits for anything on it.
    pub fn conn_ended(&mut self, now: Us, conn: ConnId, wire: &mut dyn Wire) {
        self.exercise.asking.retain(|place| place.conn != conn);
        while let Some(place) = self.first_on(conn) {
            self.gone(now, place, wire);
        }
        self.conns.remove(&conn);
    }

    fn on(&self, conn: ConnId) -> impl Iterator<Item = &Place> {
        let all = Place { conn, stream: StreamId(0) }..=Place { conn, stream: StreamId(u32::MAX) };
        self.owed.range(all).map(|(place, _)| place)
    }
    fn first_on(&self, conn: ConnId) -> Option<Place> {
        self.on(conn).next().copied()
    }
    /// Answers owed on a connection, those to health checks included.
    pub fn owed_on(&self, conn: ConnId) -> usize {
        self.on(conn).count() + self.exercise.asking.iter().filter(|place| place.conn == conn).count()
    }
    /// A run was made for this connection: its RPCs are those of a sidecar that the agent knows of.
    pub fn proven(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|standing| standing.proven)
    }
    /// An answer is owed on a connection.
    pub fn owes(&self, conn: ConnId) -> bool {
        self.first_on(conn).is_some() || self.exercise.asking.iter().any(|place| place.conn == conn)
    }
    /// RPCs that are not over.
    pub fn open(&self) -> usize {
        self.open.len()
    }
    /// Answers owed in all.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// A health check: a thorough one waits for an exercise of the agent, which all that ask share.
    pub fn check(&mut self, now: Us, place: Place, thorough: bool, wire: &mut dyn Wire) {
        self.pass(now);
        self.counters.checks += 1;
        if !thorough || !self.healthy || self.up.is_none() || self.exercise.asking.len() >= ASKING {
            return wire.health(place, self.healthy, self.credit);
        }
        self.counters.thorough += 1;
        if self.exercise.asking.is_empty() {
            self.tag += 1;
            (self.exercise.tag, self.exercise.until) = (self.tag, self.now + EXERCISE);
            wire.exercise(self.tag);
        }
        self.exercise.asking.push(place);
    }

    pub fn exercised(&mut self, now: Us, tag: u64, good: bool, wire: &mut dyn Wire) {
        self.pass(now);
        if tag == self.exercise.tag {
            self.answer_checks(good, wire);
        }
    }

    fn answer_checks(&mut self, good: bool, wire: &mut dyn Wire) {
        for place in std::mem::take(&mut self.exercise.asking) {
            wire.health(place, good && self.healthy, self.credit);
        }
    }

    /// A new link to the agent stands. Hands back the number of the last notice read.
    pub fn agent_link(&mut self) -> NoticeId {
        self.agent_link += 1;
        self.last
    }

    /// The agent greets: at its start, `ago`, it was `empty` or warm. Once all is read that was missed while
    /// there was no link, what may have been lost on the way is sent again.
    pub fn agent_up(&mut self, now: Us, fresh: Option<Server>, wire: &mut dyn Wire) {
        self.pass(now);
        self.counters.agent_up += 1;
        if let Some(server) = fresh.filter(|_| self.counters.rpcs == 0) {
            self.server = server;
            self.wakes.clear();
            let outcome = self.server.control.started();
            self.carry(outcome, wire);
        }
        if self.up.is_none() {
            self.up = Some(self.now);
            wire.serving(self.healthy && self.kill.is_none());
        }
        self.tag += 1;
        self.resync = Some(self.tag);
        wire.sample(self.tag);
    }

    /// The agent has greeted before.
    pub fn is_up(&self) -> bool {
        self.up.is_some()
    }

    /// What may have been lost with an earlier link is sent again; for what arrived it changes nothing.
    fn send_again(&mut self, wire: &mut dyn Wire) {
        let now = self.agent_link;
        for (id, rpc) in &mut self.open {
            let body = rpc.body.as_ref().map_or(&[][..], |body| &body[..]);
            if let Stage::Running(sent, link) = &mut rpc.stage {
                if std::mem::replace(link, now) < now {
                    match sent {
                        Sent::Launch => wire.launch(*id, &self.methods[rpc.method.0], body),
                        Sent::Deliver => wire.deliver(*id, body),
                        Sent::Skip(asked) => wire.skip(*id, *asked),
                    }
                }
            }
            if rpc.stopped.is_some_and(|link| link < now) {
                rpc.stopped = Some(now);
                wire.stop(*id);
            }
        }
        if !self.exercise.asking.is_empty() {
            wire.exercise(self.exercise.tag);
        }
    }

    pub fn sampled(&mut self, now: Us, tag: u64, values: &[f64], wire: &mut dyn Wire) {
        self.pass(now);
        self.gauges = Some((self.now, agent::gauges(&self.server.gauges, values)));
        if self.resync == Some(tag) {
            self.resync = None;
            self.send_again(wire);
        }
    }

    /// Every numbered notice comes by here first. False if it was read before.
    fn fresh_notice(&mut self, number: NoticeId) -> bool {
        if number <= self.last {
            self.counters.stale += 1;
            return false;
        }
        self.last = number;
        true
    }

    pub fn aside(&mut self, number: NoticeId) {
        self.fresh_notice(number);
    }

    /// A run is over.
    pub fn run_ended(
        &mut self, now: Us, number: NoticeId, id: RpcId, end: RunEnd, result: &[u8], wire: &mut dyn Wire,
    ) {
        self.pass(now);
        if !self.fresh_notice(number) {
            return;
        }
        self.over(id, end, result, wire);
    }

    /// The agent refused a command: a launch that it refuses is not started.
    pub fn refused(&mut self, now: Us, launch: Option<RpcId>, wire: &mut dyn Wire) {
        self.pass(now);
        self.counters.refusals += 1;
        let stage = launch.and_then(|id| Some((id, self.open.get(&id)?.stage)));
        if let Some((id, Stage::Running(Sent::Launch, _))) = stage {
            let conn = self.open.get(&id).map(|rpc| rpc.place.conn);
            self.over(id, RunEnd::NotStarted, &[], wire);
            conn.into_iter().for_each(|conn| self.nonsense(conn, wire));
        }
    }

    fn over(&mut self, id: RpcId, end: RunEnd, result: &[u8], wire: &mut dyn Wire) {
        let Some(rpc) = self.open.get(&id) else {
            self.counters.stale += 1;
            return;
        };
        if matches!(end, RunEnd::Ok | RunEnd::Aborted) {
            let run = Standing { proven: true, nonsense: 0 };
            self.conns.entry(rpc.place.conn).and_modify(|standing| *standing = run);
        }
        match end {
            RunEnd::Ok => self.counters.runs_ok += 1,
            RunEnd::Aborted => self.counters.runs_aborted += 1,
            RunEnd::Stopped => self.counters.runs_stopped += 1,
            RunEnd::NotStarted => self.counters.runs_not_started += 1,
        }
        if let Stage::Calling(_, link, until) = rpc.stage {
            self.calls.remove(&(until, id));
            wire.give_up(link, id);
            self.off_link(link, wire);
        }
        let ok = end == RunEnd::Ok;
        self.answer(id, if ok { Final::Ok(result) } else { Final::Aborted }, wire);
        self.open.remove(&id);
        self.keep_result(id, result, ok);
        let outcome = self.server.control.run_ended(self.now, id, end);
        self.carry(outcome, wire);
        for next in self.joined_to(id) {
            self.end_join(next, Some(result).filter(|_| ok), wire);
        }
    }

    /// The RPCs that wait for this one; only one that is kept has any.
    fn joined_to(&self, id: RpcId) -> Vec<RpcId> {
        let joined = self.open.iter().filter(|(_, r)| r.prior == Some(id) && r.stage == Stage::Joined(id));
        if self.server.fresh > 0 {
            joined.map(|(next, _)| *next).collect()
        } else {
            Vec::new()
        }
    }

    /// A joined RPC gets its own answer, with the result of the run that it waited for.
    fn end_join(&mut self, id: RpcId, result: Option<&[u8]>, wire: &mut dyn Wire) {
        self.answer(id, result.map_or(Final::Aborted, Final::Ok), wire);
        self.open.remove(&id);
        let end = if result.is_some() { RunEnd::Ok } else { RunEnd::Aborted };
        let outcome = self.server.control.run_ended(self.now, id, end);
        self.carry(outcome, wire);
    }

    fn keep_result(&mut self, id: RpcId, result: &[u8], ok: bool) {
        self.keep_until(id, self.now + self.server.fresh);
        let Some(kept) = self.kept.get_mut(&id) else { return };
        kept.result = Some(result).filter(|_| ok).and_then(|result| self.pool.hold(result));
        if kept.result.is_none() {
            self.forget(id);
        }
    }

    fn keep_until(&mut self, id: RpcId, until: Us) {
        if let Some(kept) = self.kept.get_mut(&id) {
            self.kept_until.remove(&(kept.until, id));
            kept.until = until;
            self.kept_until.insert((until, id));
        }
    }

    /// The one place where what is kept for repeats is given back.
    fn forget(&mut self, id: RpcId) {
        if let Some(kept) = self.kept.remove(&id) {
            self.kept_until.remove(&(kept.until, id));
            if self.by_key.get(&kept.key) == Some(&id) {
                self.by_key.remove(&kept.key);
            }
        }
    }

    /// A run waits for a call with this body.
    pub fn call_needed(
        &mut self, now: Us, number: NoticeId, id: RpcId, body: Option<&[u8]>, wire: &mut dyn Wire,
    ) {
        self.pass(now);
        if !self.fresh_notice(number) {
            return;
        }
        let Some(rpc) = self.open.get_mut(&id).filter(|r| matches!(r.stage, Stage::Running(..))) else {
            self.counters.stale += 1;
            return;
        };
        rpc.stage = Stage::AtCall(number);
        rpc.body = body.and_then(|body| self.pool.hold(body));
        let outcome = self.server.control.call_needed(self.now, id);
        self.carry(outcome, wire);
    }

    /// A reply came from below.
    pub fn call_ended(
        &mut self, now: Us, by: LinkId, id: RpcId, end: CallEnd, reply: &[u8], wire: &mut dyn Wire,
    ) {
        self.pass(now);
        match self.open.get(&id).map(|r| r.stage) {
            Some(Stage::Calling(asked, link, until)) if link == by => {
                self.calls.remove(&(until, id));
                self.off_link(link, wire);
                self.end_call(id, asked, end, reply, wire);
            }
            _ => self.counters.late_replies += 1,
        }
    }

    fn end_call(&mut self, id: RpcId, asked: NoticeId, end: CallEnd, reply: &[u8], wire: &mut dyn Wire) {
        let Some(rpc) = self.open.get_mut(&id) else { return };
        let mut end = end;
        rpc.stage = Stage::AtCall(asked);
        if end == CallEnd::Ok {
            match self.pool.hold(reply) {
                Some(held) => {
                    (rpc.stage, rpc.body) = (Stage::Running(Sent::Deliver, self.agent_link), Some(held));
                    wire.deliver(id, reply);
                }
                None => end = CallEnd::Aborted,
            }
        }
        match end {
            CallEnd::Ok => self.counters.calls_ok += 1,
            CallEnd::PushedBack => self.counters.calls_pushed_back += 1,
            CallEnd::Aborted => self.counters.calls_aborted += 1,
            CallEnd::TimedOut => self.counters.calls_timed_out += 1,
        }
        let outcome = self.server.control.call_ended(self.now, id, end);
        self.carry(outcome, wire);
    }

    /// A link below is gone with all calls on it. `refused` proves that none of them ran.
    pub fn link_ended(&mut self, now: Us, by: LinkId, refused: bool, wire: &mut dyn Wire) {
        self.pass(now);
        let end = if refused { CallEnd::PushedBack } else { CallEnd::Aborted };
        let on = |r: &Rpc| matches!(r.stage, Stage::Calling(_, link, _) if link == by);
        let some = self.links.get(by.0).is_some_and(|link| link.calls > 0);
        let lost: Vec<RpcId> = if some {
            self.open.iter().filter(|(_, r)| on(r)).map(|(id, _)| *id).collect()
        } else {
            Vec::new()
        };
        if let Some(link) = self.links.get_mut(by.0) {
            (link.resting, link.old, link.closing) = (true, true, false);
        }
        for id in lost {
            self.call_ended(now, by, id, end, &[], wire);
        }
        if let Some(link) = self.links.get_mut(by.0) {
            link.old = false;
        }
    }

    /// A link below may be made again.
    pub fn link_ready(&mut self, by: LinkId) {
        if let Some(link) = self.links.get_mut(by.0) {
            link.resting = false;
        }
    }

    /// A link below is not used again as it stands: it idles, or it was left without a reply. Its calls go
    /// on.
    pub fn retire(&mut self, by: LinkId, wire: &mut dyn Wire) {
        let Some(link) = self.links.get_mut(by.0).filter(|link| !link.closing && !link.resting) else {
            return;
        };
        link.closing = link.calls == 0 && wire.close_link(by);
        link.old = link.calls > 0;
    }

    /// The layer below is to be found elsewhere. What is in hand may still end where it was.
    pub fn links_moved(&mut self, wire: &mut dyn Wire) {
        for i in 0..self.links.len() {
            self.retire(LinkId(i), wire);
        }
    }

    /// The one place where a call leaves its link.
    fn off_link(&mut self, by: LinkId, wire: &mut dyn Wire) {
        let Some(link) = self.links.get_mut(by.0) else { return };
        link.calls = link.calls.saturating_sub(1);
        if link.old {
            self.retire(by, wire);
        }
    }

    /// The link for a call of an RPC whose last one went by `last`.
    fn pick(&self, last: Option<LinkId>) -> Option<LinkId> {
        let links = self.links.iter().enumerate().map(|(i, link)| (LinkId(i), link));
        let usable = links.filter(|(_, link)| !link.closing && !link.old);
        let order = |(id, link): &(LinkId, &Link)| {
            (link.resting, Some(*id) == last, link.calls, std::cmp::Reverse(link.last))
        };
        usable.min_by_key(order).map(|(id, _)| id)
    }

    /// Calls are in hand on this link.
    pub fn calls_on(&self, by: LinkId) -> bool {
        self.links.get(by.0).is_some_and(|link| link.calls > 0)
    }

    /// The notice to leave: the process is killed after `span`.
    pub fn drain(&mut self, now: Us, span: Us, wire: &mut dyn Wire) {
        self.pass(now);
        if self.kill.is_some() {
            return;
        }
        let kill = self.now + span.saturating_sub(FLUSH);
        self.kill = Some(kill);
        wire.serving(false);
        let outcome = self.server.control.drain(self.now, kill);
        self.carry(outcome, wire);
    }

    /// The notice to leave has run out, and nothing is owed any more.
    pub fn left(&self) -> bool {
        self.kill.is_some_and(|kill| self.now >= kill) && self.owed.is_empty()
    }

    /// When `tick` is wanted next.
    pub fn next(&self) -> Option<Us> {
        let lead = if self.sampled || self.up.is_none() { 0 } else { LEAD };
        let wake = self.wakes.first().map(|at| at.saturating_sub(lead));
        let call = self.calls.first().map(|(at, _)| *at);
        let exercise = Some(self.exercise.until).filter(|_| !self.exercise.asking.is_empty());
        [wake, call, exercise, self.kill.filter(|kill| *kill > self.now)].into_iter().flatten().min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Us, wire: &mut dyn Wire) {
        self.pass(now);
        if !self.exercise.asking.is_empty() && self.exercise.until <= self.now {
            self.answer_checks(false, wire);
        }
        while let Some((until, id)) = self.calls.first().copied().filter(|(until, _)| *until <= self.now) {
            self.calls.remove(&(until, id));
            if let Some(Stage::Calling(asked, link, _)) = self.open.get(&id).map(|r| r.stage) {
                wire.give_up(link, id);
                self.links.iter_mut().skip(link.0).take(1).for_each(|link| link.old = true);
                self.off_link(link, wire);
                self.end_call(id, asked, CallEnd::TimedOut, &[], wire);
            }
        }
        while let Some((_, id)) = self.kept_until.first().copied().filter(|(until, _)| *until <= self.now) {
            self.forget(id);
        }
        let Some(wake) = self.wakes.first().copied() else { return };
        if self.up.is_some() && !self.sampled && wake <= self.now + LEAD {
            self.sampled = true;
            self.tag += 1;
            wire.sample(self.tag);
        }
        if wake <= self.now {
            self.wakes = self.wakes.split_off(&(self.now + 1));
            self.sampled = false;
            let gauges = self.gauges.take().filter(|(at, _)| at + FRESH > self.now).map(|(_, g)| g);
            self.counters.wakes += 1;
            self.counters.wakes_blind += u64::from(gauges.is_none());
            let outcome = self.server.control.woken(self.now, gauges.unwrap_or_default());
            self.carry(outcome, wire);
        }
    }

    /// The clock may be set back; time here never is.
    fn pass(&mut self, now: Us) {
        self.now = self.now.max(now);
    }

    /// Gives the final answer that is owed; nothing if none is.
    fn answer(&mut self, id: RpcId, answer: Final<'_>, wire: &mut dyn Wire) {
        let Some(rpc) = self.open.get(&id).filter(|rpc| rpc.owed) else { return };
        match answer {
            Final::Ok(_) => self.counters.ok += 1,
            Final::PushedBack { .. } => self.counters.pushed_back += 1,
            Final::Aborted => self.counters.aborted += 1,
        }
        wire.answer(rpc.place, answer, self.credit);
        self.owed.remove(&rpc.place);
        self.settle(id, wire);
    }

    /// Nothing is owed for this RPC any more. One that does not run is over; a run ends with its notice.
    fn settle(&mut self, id: RpcId, wire: &mut dyn Wire) {
        let Some(rpc) = self.open.get_mut(&id) else { return };
        rpc.owed = false;
        match rpc.stage {
            Stage::Held => {
                self.open.remove(&id);
                self.forget(id);
                let joined = self.joined_to(id);
                self.later.extend(joined.into_iter().map(Later::JoinEnds));
            }
            Stage::Joined(_) => {
                self.open.remove(&id);
            }
            Stage::Calling(asked, link, until) => {
                rpc.stage = Stage::AtCall(asked);
                self.calls.remove(&(until, id));
                wire.give_up(link, id);
                self.off_link(link, wire);
            }
            _ => {}
        }
    }

    /// Carries out what the module decided, list by list in its order.
    fn carry(&mut self, outcome: Outcome, wire: &mut dyn Wire) {
        for (id, answer) in outcome.answers {
            let answer = match answer {
                Answer::PushedBack { terminal, come_back } => Final::PushedBack { terminal, come_back },
                Answer::Aborted => Final::Aborted,
            };
            self.answer(id, answer, wire);
        }
        for id in outcome.stops {
            if let Some(rpc) = self.open.get_mut(&id) {
                rpc.stopped = Some(self.agent_link);
                wire.stop(id);
            }
        }
        for (id, span) in outcome.keeps {
            self.keep_until(id, self.now + span);
        }
        for id in outcome.forgets {
            self.forget(id);
        }
        for id in outcome.joins {
            self.join(id);
        }
        for id in outcome.runs {
            let Some(rpc) = self.open.get_mut(&id) else { continue };
            rpc.stage = Stage::Running(Sent::Launch, self.agent_link);
            self.counters.runs += 1;
            let body = rpc.body.as_ref().map_or(&[][..], |body| &body[..]);
            wire.launch(id, &self.methods[rpc.method.0], body);
        }
        for (id, wait) in outcome.calls {
            self.call(id, wait, wire);
        }
        for id in outcome.skips {
            let Some(rpc) = self.open.get_mut(&id) else { continue };
            if let Stage::AtCall(asked) = rpc.stage {
                rpc.stage = Stage::Running(Sent::Skip(asked), self.agent_link);
                self.counters.skips += 1;
                wire.skip(id, asked);
            }
        }
        self.credit = outcome.credit.or(self.credit);
        if let Some(healthy) = outcome.health {
            self.healthy = healthy;
            if self.up.is_some() {
                wire.serving(healthy && self.kill.is_none());
            }
        }
        if let Some(span) = outcome.close_idle {
            wire.close_idle(span);
            if span == 0 {
                wire.leaving();
            }
        }
        if let Some(span) = outcome.wake {
            let at = self.now + span;
            self.sampled &= self.wakes.first().is_some_and(|first| *first <= at);
            self.wakes.insert(at);
        }
        for line in outcome.log {
            wire.log(&line);
        }
        // What came of it at once is told to the module only now, so that nothing older overtakes it.
        while let Some(later) = self.later.pop_front() {
            match later {
                Later::CallRefused(id) => {
                    if let Some(Stage::Calling(asked, ..)) = self.open.get(&id).map(|r| r.stage) {
                        self.end_call(id, asked, CallEnd::PushedBack, &[], wire);
                    }
                }
                Later::JoinEnds(id) => {
                    let prior = self.open.get(&id).and_then(|r| r.prior);
                    let kept = prior.and_then(|prior| self.kept.get(&prior)?.result.as_ref());
                    let copy = kept.and_then(|result| self.pool.hold(result));
                    self.end_join(id, copy.as_ref().map(|result| &result[..]), wire);
                }
            }
        }
    }

    /// Joins an RPC to the one it repeats, which is open or ended a short while ago.
    fn join(&mut self, id: RpcId) {
        let Some(prior) = self.open.get(&id).and_then(|r| r.prior) else { return };
        self.counters.joined += 1;
        if !self.open.contains_key(&prior) {
            self.later.push_back(Later::JoinEnds(id));
        }
        self.open.entry(id).and_modify(|r| r.stage = Stage::Joined(prior));
    }

    fn call(&mut self, id: RpcId, wait: Us, wire: &mut dyn Wire) {
        let Some(rpc) = self.open.get(&id) else { return };
        let Stage::AtCall(asked) = rpc.stage else { return };
        self.counters.calls += 1;
        let until = self.now + wait + REPLY;
        let by = self.pick(rpc.link);
        let sent = match (by, rpc.body.as_ref()) {
            (Some(by), Some(body)) => wire.call(by, id, wait, body),
            _ => false,
        };
        let link = by.unwrap_or(LinkId(usize::MAX));
        self.open.entry(id).and_modify(|r| (r.stage, r.link) = (Stage::Calling(asked, link, until), by));
        if sent {
            self.placed += 1;
            self.calls.insert((until, id));
            let placed = self.placed;
            let link = self.links.iter_mut().skip(link.0).take(1);
            link.for_each(|link| (link.calls, link.last) = (link.calls + 1, placed));
        } else {
            self.later.push_back(Later::CallRefused(id));
        }
    }
}
