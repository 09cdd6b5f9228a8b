//! The table of open RPCs and what becomes of each. No decision about an RPC is taken here: the module is told
//! what happened, and what it hands back is carried out list by list.

use crate::idempotency::{IdempotencyKey, IdempotencyKeys};
use crate::outputs::{EngineStats, Outputs, Served, UpstreamLinkId};
use crate::response_cache::Kept;
use asterrill::{
    Arrival, CallEnd, CallRequest, CallerId, Control, FinalAnswer, Gauges, Idempotency, KeyRetention,
    LearnedState, MethodId, Outcome, RecoveryLimits, Reply, RpcId, RunEnd, SettingsUpdate, StagedTable,
    Status, Us,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeBounds;

const LEAD: Us = 5_000; // gauges are asked for this long before the wake that they are for
const FRESH: Us = 50_000; // older gauges are not passed on
const REPLY: Us = 30_000; // beyond the time-out of a call, until its reply is not waited for any more

/// What an [`Engine`] is made with.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// For each method, in the order of their ids: whether idempotent RPCs of it may share the result of one run.
    pub coalescible_methods: Vec<bool>,
    /// What applies to all methods alike.
    pub limits: RetentionLimits,
}

/// How long, and how much of, what has ended is retained for repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long the result of a read may be served to others, in microseconds; 0 switches the cache off.
    pub result_ttl: Us,
    /// Total bytes of results retained for repeats with the same idempotency key.
    pub idempotency_result_bytes: usize,
    /// The longest that any RPC may be open, in microseconds.
    pub max_rpc_lifetime: Us,
}

/// Makes the copy of a body that is held; none while there is no room for it.
pub type Hold<B> = Box<dyn Fn(&[u8]) -> Option<B> + Send>;

/// One RPC as a front read it.
#[derive(Clone, Debug)]
pub struct IncomingRpc {
    pub id: RpcId,
    pub method: MethodId,
    pub tenant: Option<usize>,
    pub caller: CallerId,
    /// When its caller stops waiting, where that is told; else the deadline of its method stats from its arrival.
    pub deadline: Option<Us>,
    /// How long it lay unread here, in microseconds.
    pub time_unread: Us,
    /// Memory taken while it is held, in kB.
    pub size_kb: f64,
    /// What a read is about, where told.
    pub cache_key: Option<u64>,
    /// It may be joined to another of its key, and others to it.
    pub coalescible: bool,
    /// Of a tokened RPC: by what its repeats are known.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The last thing that the executor of a run was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    Launch(MethodId, &'a [u8]),
    Resume(&'a [u8]),
    Skip,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Launch,
    Resume,
    Skip,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    /// Waits for the RPC that it repeats.
    Joined(RpcId),
    Running(Sent),
    /// Off the cores, until a call is placed or left out.
    AtCall,
    /// By this way, until then.
    Calling(UpstreamLinkId, Us),
}

/// What the module is told once it has been heard out.
enum Later {
    CallRefused(RpcId),
    JoinEnds(RpcId),
    /// The RPC that it waited for never ran.
    Again(RpcId),
}

struct Rpc<P, B> {
    place: P,
    prior: Option<RpcId>,
    owed: bool,
    read: IncomingRpc,
    stage: Stage,
    /// Of the RPC until it has been started, then of its call, then the reply to that.
    body: Option<B>,
    route: Option<UpstreamLinkId>, // of its last call
    since: Us,                     // its arrival
    spoilt: bool,                  // a call of it has failed
}

/// See the package's page.
pub struct Engine<P, B> {
    control: Control,
    shares: StagedTable<bool>, // by method
    fresh: Us,
    hold: Hold<B>,
    now: Us,
    open: BTreeMap<RpcId, Rpc<P, B>>,
    owed: BTreeMap<P, RpcId>,
    /// Those that wait for another, by that one.
    joined: BTreeSet<(RpcId, RpcId)>,
    kept: Kept<B>,
    idempotency: IdempotencyKeys,
    wakes: BTreeSet<Us>,
    attended: bool, // gauges can be had
    sampled: bool,  // for the first of the wakes
    gauges: Option<(Us, Gauges)>,
    calls: BTreeSet<(Us, RpcId)>,
    credit: Option<f64>,
    /// When the notice to leave came, and by when all is to be answered.
    leaves: Option<(Us, Us)>,
    later: VecDeque<Later>,
    settling: bool, // what came of an outcome is being told to the module
    pub stats: EngineStats,
}

impl<P: Copy + Ord, B: AsRef<[u8]>> Engine<P, B> {
    /// `hold` makes the copy of a body that is held, and hands back none while there is no room for it.
    pub fn new(now: Us, control: Control, terms: EngineConfig, hold: Hold<B>) -> Engine<P, B> {
        let tokens =
            IdempotencyKeys::new(terms.limits.idempotency_result_bytes, terms.limits.max_rpc_lifetime);
        Engine {
            control,
            shares: StagedTable::new(terms.coalescible_methods),
            fresh: terms.limits.result_ttl,
            hold,
            now,
            open: BTreeMap::new(),
            owed: BTreeMap::new(),
            joined: BTreeSet::new(),
            kept: Kept::new(),
            idempotency: tokens,
            wakes: BTreeSet::new(),
            attended: false,
            sampled: false,
            gauges: None,
            calls: BTreeSet::new(),
            credit: None,
            leaves: None,
            later: VecDeque::new(),
            settling: false,
            stats: EngineStats::default(),
        }
    }

    /// The start: the module says what to publish.
    pub fn start(&mut self, now: Us, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        let outcome = self.control.start();
        self.carry(outcome, out);
    }

    /// The same for a module made anew, before any RPC was read.
    pub fn restart(&mut self, now: Us, control: Control, terms: EngineConfig, out: &mut dyn Outputs<P>) {
        self.take_bounds(terms.limits);
        self.shares = StagedTable::new(terms.coalescible_methods);
        self.control = control;
        self.wakes.clear();
        self.start(now, out);
        if let Some((noticed, kill)) = self.leaves {
            let outcome = self.control.drain(self.now, noticed, kill);
            self.carry(outcome, out);
        }
    }

    /// Takes terms in beside those in force: nothing of them shows until [`Engine::apply_staged`]. See
    /// [`Control::stage`].
    pub fn stage(&mut self, terms: &[SettingsUpdate]) {
        for term in terms {
            if let SettingsUpdate::Method(MethodId(at), method) = term {
                let shares = method.as_ref().map(|method| method.idempotency == Idempotency::Idempotent);
                self.shares.stage(*at, shares);
            }
        }
        self.control.stage(terms);
    }

    /// All that was staged is in force from now on, at once, with the settings of `frame` and these bounds where
    /// there are any: see [`Control::change`]. What is kept of reads serves nobody under the new terms.
    pub fn apply_staged(
        &mut self, now: Us, frame: Option<Control>, bounds: Option<RetentionLimits>, out: &mut dyn Outputs<P>,
    ) {
        self.advance_to(now);
        self.shares.commit();
        bounds.into_iter().for_each(|bounds| self.take_bounds(bounds));
        self.kept.forget_ended();
        let outcome = self.control.commit(self.now, frame);
        self.carry(outcome, out);
    }
    fn take_bounds(&mut self, bounds: RetentionLimits) {
        self.idempotency.bounds(bounds.idempotency_result_bytes, bounds.max_rpc_lifetime);
        self.fresh = bounds.result_ttl;
    }
    /// RPCs of this method can be read now.
    pub fn has_method(&self, method: MethodId) -> bool {
        self.control.has_method(method)
    }
    /// This tenant has a share now.
    pub fn has_tenant(&self, tenant: usize) -> bool {
        self.control.has_tenant(tenant)
    }
    /// What serving an RPC of a method takes, as learned so far, in microseconds.
    pub fn cost(&self, method: MethodId) -> f64 {
        self.control.mean_cost(method)
    }
    /// Memory of what is held and runs, in kB.
    pub fn memory_in_use_kb(&self) -> f64 {
        self.control.memory_used_kb()
    }

    /// What the module has learned, and where it stands.
    pub fn learned(&self) -> LearnedState {
        self.control.learned_state()
    }
    pub fn standing(&self) -> Status {
        self.control.status()
    }
    /// What the module is to recall of what was learned before this start.
    pub fn recall(&mut self, now: Us, told: LearnedState, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        let outcome = self.control.restore(self.now, told);
        self.carry(outcome, out);
    }
    /// How carefully the module comes back, from now on.
    pub fn careful(&mut self, now: Us, care: RecoveryLimits, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        let outcome = self.control.set_recovery_limits(self.now, care);
        self.carry(outcome, out);
    }

    /// This server's part of what the settings divide among servers: see [`Control::share`].
    pub fn share(&mut self, now: Us, part: f64, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        let outcome = self.control.set_quota_fraction(self.now, part);
        self.carry(outcome, out);
    }

    /// From now on the gauges can be had.
    pub fn gauges_available(&mut self) {
        self.attended = true;
    }

    /// The clock may be set back; time here never is. Hands back the time that it is here.
    pub fn advance_to(&mut self, now: Us) -> Us {
        self.now = self.now.max(now);
        self.now
    }

    /// An RPC came whole. False if its id is that of an open one: nothing was taken then.
    pub fn request_received(
        &mut self, now: Us, place: P, read: IncomingRpc, body: &[u8], out: &mut dyn Outputs<P>,
    ) -> bool {
        self.advance_to(now);
        let (id, since) = (read.id, self.now.saturating_sub(read.time_unread));
        if self.open.contains_key(&id) || self.owed.contains_key(&place) {
            return false;
        }
        let known = read.idempotency_key.is_none_or(|token| self.idempotency.prior(token, since).is_some());
        if !known && self.idempotency.full() {
            self.stats.idempotency_keys_full += 1;
            self.reject(now, place, out);
            return true;
        }
        let Some(body) = (self.hold)(body) else {
            self.stats.no_buffer += 1;
            self.abort_unserviceable(now, place, out);
            return true;
        };
        self.stats.requests += 1;
        let (stage, body) = (Stage::Held, Some(body));
        let rpc =
            Rpc { place, prior: None, owed: true, read, stage, body, route: None, since, spoilt: false };
        self.open.insert(id, rpc);
        self.owed.insert(place, id);
        self.offer(id, out);
        true
    }

    /// Reads of this method may share the result of one run.
    pub fn is_coalescible(&self, method: MethodId) -> bool {
        self.fresh > 0 && self.shares.get(method.0).copied().unwrap_or(false)
    }

    /// Tells the module of an RPC that has come, and of the one that it repeats.
    fn offer(&mut self, id: RpcId, out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get_mut(&id) else { return };
        let read = &rpc.read;
        let shares = self.fresh > 0 && self.shares.get(read.method.0).copied().unwrap_or(false);
        let key = read.cache_key.filter(|_| read.coalescible && shares).map(|key| (read.method, key));
        let prior = match (read.idempotency_key, key) {
            (Some(token), _) => self.idempotency.prior(token, rpc.since),
            (None, Some(key)) => self.kept.prior(key, self.now),
            (None, None) => None,
        };
        if let (Some(key), None, None) = (key, prior, read.idempotency_key) {
            self.kept.offer(key, id);
        }
        rpc.prior = prior;
        let arrival = Arrival {
            id,
            method: read.method,
            caller: read.caller,
            deadline: read.deadline,
            size_kb: read.size_kb,
            unread_for: self.now.saturating_sub(rpc.since),
            original: prior,
            cache_key: read.cache_key,
        };
        let outcome = self.control.rpc_read(self.now, arrival, read.tenant);
        self.carry(outcome, out);
    }

    /// An RPC came that could never be run here: it is aborted at once.
    pub fn abort_unserviceable(&mut self, now: Us, place: P, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        self.stats.requests += 1;
        self.stats.aborted += 1;
        out.answer(place, FinalAnswer::Aborted, self.credit, None);
    }

    /// An RPC of somebody who is not to be served here: it never runs, and is told so at once.
    pub fn reject(&mut self, now: Us, place: P, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        self.stats.requests += 1;
        self.stats.rejected += 1;
        out.answer(place, FinalAnswer::Rejected { terminal: true, retry_after: 0 }, self.credit, None);
    }

    /// Nobody waits for the answer at this place any more. False if none was owed.
    pub fn caller_gone(&mut self, now: Us, place: P, out: &mut dyn Outputs<P>) -> bool {
        self.advance_to(now);
        let Some(id) = self.owed.remove(&place) else { return false };
        self.stats.callers_gone += 1;
        self.settle(id, out);
        let outcome = self.control.caller_cancelled(self.now, id);
        self.carry(outcome, out);
        true
    }

    /// The places in a range at which an answer is owed.
    pub fn unanswered_in(&self, places: impl RangeBounds<P>) -> impl Iterator<Item = &P> {
        self.owed.range(places).map(|(place, _)| place)
    }
    /// Answers owed in all.
    pub fn unanswered(&self) -> usize {
        self.owed.len()
    }
    /// RPCs that are not over.
    pub fn open_rpcs(&self) -> usize {
        self.open.len()
    }
    /// The number published to callers, where there is one.
    pub fn credit(&self) -> Option<f64> {
        self.credit
    }
    /// An answer is owed at this place, and its run was started.
    pub fn is_launched(&self, place: P) -> bool {
        let rpc = self.owed.get(&place).and_then(|id| self.open.get(id));
        rpc.is_some_and(|rpc| !matches!(rpc.stage, Stage::Held | Stage::Joined(_)))
    }
    /// The last thing that the executor of this RPC was told, while its run goes on.
    pub fn last_command(&self, id: RpcId) -> Option<Command<'_>> {
        let rpc = self.open.get(&id)?;
        let body = rpc.body.as_ref().map_or(&[][..], B::as_ref);
        match rpc.stage {
            Stage::Running(Sent::Launch) => Some(Command::Launch(rpc.read.method, body)),
            Stage::Running(Sent::Resume) => Some(Command::Resume(body)),
            Stage::Running(Sent::Skip) => Some(Command::Skip),
            _ => None,
        }
    }

    /// The gauges that were asked for.
    pub fn gauges_sampled(&mut self, now: Us, gauges: Gauges) {
        self.advance_to(now);
        self.gauges = Some((self.now, gauges));
    }

    /// A run is over.
    pub fn run_ended(&mut self, now: Us, id: RpcId, end: RunEnd, result: &[u8], out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        let Some(rpc) = self.open.get(&id) else {
            self.stats.stale_events += 1;
            return;
        };
        if matches!(end, RunEnd::Ok | RunEnd::Aborted) {
            out.run_completed(rpc.place);
        }
        match end {
            RunEnd::Ok => self.stats.runs_ok += 1,
            RunEnd::Aborted => self.stats.runs_aborted += 1,
            RunEnd::Stopped => self.stats.runs_stopped += 1,
            RunEnd::NotStarted => self.stats.runs_not_started += 1,
        }
        if let Stage::Calling(route, until) = rpc.stage {
            self.calls.remove(&(until, id));
            out.cancel_call(route, id);
            out.call_finished(route, false);
        }
        let ok = end == RunEnd::Ok;
        self.answer(id, if ok { FinalAnswer::Ok(result) } else { FinalAnswer::Aborted }, out);
        self.close(id, out);
        let (hold, until) = (&self.hold, self.now + self.fresh);
        self.kept.ended(id, until, || Some(result).filter(|_| ok).and_then(hold));
        self.stats.results_evicted += self.idempotency.ended(id, Some(result).filter(|_| ok));
        let outcome = self.control.run_ended(self.now, id, end);
        self.carry(outcome, out);
        for next in self.joined_to(id) {
            self.end_join(next, Some(result).filter(|_| ok), out);
        }
    }

    /// The executor can't run what it was told to launch. Hands back the place, if that was so.
    pub fn launch_failed(&mut self, now: Us, id: RpcId, out: &mut dyn Outputs<P>) -> Option<P> {
        let rpc = self.open.get(&id).filter(|rpc| rpc.stage == Stage::Running(Sent::Launch))?;
        let place = rpc.place;
        self.run_ended(now, id, RunEnd::NotStarted, &[], out);
        Some(place)
    }

    /// The one place where an RPC leaves the table.
    fn close(&mut self, id: RpcId, out: &mut dyn Outputs<P>) {
        if let Some(rpc) = self.open.remove(&id) {
            self.joined.remove(&(rpc.prior.unwrap_or(id), id));
            out.closed(id);
        }
    }

    /// The RPCs that wait for this one.
    fn joined_to(&self, id: RpcId) -> Vec<RpcId> {
        self.joined.range((id, RpcId::MIN)..=(id, RpcId::MAX)).map(|(_, next)| *next).collect()
    }

    /// A joined RPC gets its own answer, with the result of the run that it waited for.
    fn end_join(&mut self, id: RpcId, result: Option<&[u8]>, out: &mut dyn Outputs<P>) {
        self.answer(id, result.map_or(FinalAnswer::Aborted, FinalAnswer::Ok), out);
        self.close(id, out);
        let end = if result.is_some() { RunEnd::Ok } else { RunEnd::Aborted };
        let outcome = self.control.run_ended(self.now, id, end);
        self.carry(outcome, out);
    }

    /// A run waits for a call with this body; none where that is too long to be passed on. False if no run of
    /// this RPC goes on.
    pub fn call_needed(&mut self, now: Us, id: RpcId, body: Option<&[u8]>, out: &mut dyn Outputs<P>) -> bool {
        self.advance_to(now);
        let Some(rpc) = self.open.get_mut(&id).filter(|r| matches!(r.stage, Stage::Running(..))) else {
            self.stats.stale_events += 1;
            return false;
        };
        rpc.stage = Stage::AtCall;
        rpc.body = body.and_then(&self.hold);
        let outcome = self.control.call_needed(self.now, id);
        self.carry(outcome, out);
        true
    }

    /// A reply came from below, by this way.
    pub fn call_ended(
        &mut self, now: Us, by: UpstreamLinkId, id: RpcId, end: CallEnd, reply: &[u8],
        out: &mut dyn Outputs<P>,
    ) {
        self.advance_to(now);
        match self.open.get(&id).map(|r| r.stage) {
            Some(Stage::Calling(route, until)) if route == by => {
                self.calls.remove(&(until, id));
                out.call_finished(route, false);
                self.end_call(id, end, reply, out);
            }
            _ => self.stats.late_replies += 1,
        }
    }

    /// A way below is gone with all calls on it, which end so.
    pub fn upstream_link_ended(
        &mut self, now: Us, by: UpstreamLinkId, end: CallEnd, out: &mut dyn Outputs<P>,
    ) {
        self.advance_to(now);
        let on = |r: &Rpc<P, B>| matches!(r.stage, Stage::Calling(route, _) if route == by);
        let lost: Vec<RpcId> = self.open.iter().filter(|(_, r)| on(r)).map(|(id, _)| *id).collect();
        for id in lost {
            self.call_ended(now, by, id, end, &[], out);
        }
    }

    fn end_call(&mut self, id: RpcId, end: CallEnd, reply: &[u8], out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get_mut(&id) else { return };
        let mut end = end;
        rpc.stage = Stage::AtCall;
        if end == CallEnd::Ok {
            match (self.hold)(reply) {
                Some(held) => {
                    (rpc.stage, rpc.body) = (Stage::Running(Sent::Resume), Some(held));
                    out.resume(id, reply);
                }
                None => end = CallEnd::Aborted,
            }
        }
        rpc.spoilt |= matches!(end, CallEnd::Aborted | CallEnd::TimedOut);
        match end {
            CallEnd::Ok => self.stats.calls_ok += 1,
            CallEnd::Rejected => self.stats.calls_rejected += 1,
            CallEnd::Aborted => self.stats.calls_aborted += 1,
            CallEnd::TimedOut => self.stats.calls_timed_out += 1,
        }
        let outcome = self.control.call_ended(self.now, id, end);
        self.carry(outcome, out);
    }

    /// The notice to leave: all is to be answered by `kill`. A second one changes nothing.
    pub fn drain(&mut self, now: Us, kill: Us, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        if self.leaves.is_some() {
            return;
        }
        self.leaves = Some((self.now, kill));
        let outcome = self.control.drain(self.now, self.now, kill);
        self.carry(outcome, out);
    }

    /// There was a notice to leave.
    pub fn is_draining(&self) -> bool {
        self.leaves.is_some()
    }

    /// The notice to leave has run out, and nothing is owed any more.
    pub fn is_drained(&self) -> bool {
        self.leaves.is_some_and(|(_, kill)| self.now >= kill) && self.owed.is_empty()
    }

    /// When `tick` is wanted next.
    pub fn next_timer(&self) -> Option<Us> {
        let lead = if self.sampled || !self.attended { 0 } else { LEAD };
        let wake = self.wakes.first().map(|at| at.saturating_sub(lead));
        let call = self.calls.first().map(|(at, _)| *at);
        let kill = self.leaves.map(|(_, kill)| kill).filter(|kill| *kill > self.now);
        [wake, call, kill].into_iter().flatten().min()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Us, out: &mut dyn Outputs<P>) {
        self.advance_to(now);
        while let Some((until, id)) = self.calls.first().copied().filter(|(until, _)| *until <= self.now) {
            self.calls.remove(&(until, id));
            if let Some(Stage::Calling(route, _)) = self.open.get(&id).map(|r| r.stage) {
                out.cancel_call(route, id);
                out.call_finished(route, true);
                self.end_call(id, CallEnd::TimedOut, &[], out);
            }
        }
        self.kept.forget_until(self.now);
        self.idempotency.forget_until(self.now);
        let Some(wake) = self.wakes.first().copied() else { return };
        if self.attended && !self.sampled && wake <= self.now + LEAD {
            self.sampled = true;
            out.request_gauges();
        }
        if wake <= self.now {
            self.wakes = self.wakes.split_off(&(self.now + 1));
            self.sampled = false;
            let gauges = self.gauges.take().filter(|(at, _)| at + FRESH > self.now).map(|(_, g)| g);
            self.stats.wakeups += 1;
            self.stats.wakeups_without_gauges += u64::from(gauges.is_none());
            let outcome = self.control.timer_fired(self.now, gauges.unwrap_or_default());
            self.carry(outcome, out);
        }
    }

    /// Gives the final answer that is owed; nothing if none is.
    fn answer(&mut self, id: RpcId, answer: FinalAnswer<'_>, out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get(&id).filter(|rpc| rpc.owed) else { return };
        match answer {
            FinalAnswer::Ok(_) => self.stats.ok += 1,
            FinalAnswer::Rejected { .. } => self.stats.rejected += 1,
            FinalAnswer::Aborted => self.stats.aborted += 1,
        }
        let took = self.now.saturating_sub(rpc.since);
        let of = Served { method: rpc.read.method, latency: took, upstream_failed: rpc.spoilt };
        out.answer(rpc.place, answer, self.credit, Some(of));
        self.owed.remove(&rpc.place);
        self.settle(id, out);
    }

    /// Nothing is owed for this RPC any more. One that does not run is over; a run ends by itself.
    fn settle(&mut self, id: RpcId, out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get_mut(&id) else { return };
        rpc.owed = false;
        match rpc.stage {
            Stage::Held => {
                self.close(id, out);
                self.kept.forget(id);
                self.idempotency.forget(id);
                let joined = self.joined_to(id);
                self.later.extend(joined.into_iter().map(Later::Again));
            }
            Stage::Joined(_) => self.close(id, out),
            Stage::Calling(route, until) => {
                rpc.stage = Stage::AtCall;
                self.calls.remove(&(until, id));
                out.cancel_call(route, id);
                out.call_finished(route, false);
            }
            _ => {}
        }
    }

    /// Carries out what the module decided, list by list in its order.
    fn carry(&mut self, outcome: Outcome, out: &mut dyn Outputs<P>) {
        for Reply { id, answer } in outcome.answers {
            self.answer(id, answer.into(), out);
        }
        for id in outcome.cancellations {
            if self.open.contains_key(&id) {
                out.stop(id);
            }
        }
        for KeyRetention { id, span } in outcome.retained_keys {
            self.kept.keep_until(id, self.now + span);
            if let Some(token) = self.open.get(&id).and_then(|rpc| rpc.read.idempotency_key) {
                self.idempotency.record(token, id, self.now + span);
            }
        }
        for id in outcome.released_keys {
            self.kept.forget(id);
            self.idempotency.forget(id);
        }
        for id in outcome.coalesced {
            self.join(id);
        }
        for id in outcome.starts {
            let Some(rpc) = self.open.get_mut(&id) else { continue };
            rpc.stage = Stage::Running(Sent::Launch);
            self.stats.runs += 1;
            out.launch(rpc.place, id, rpc.read.method, rpc.body.as_ref().map_or(&[][..], B::as_ref));
        }
        for CallRequest { id, timeout: wait } in outcome.calls {
            self.call(id, wait, out);
        }
        for id in outcome.skipped_calls {
            let Some(rpc) = self.open.get_mut(&id).filter(|rpc| rpc.stage == Stage::AtCall) else { continue };
            rpc.stage = Stage::Running(Sent::Skip);
            self.stats.calls_skipped += 1;
            out.skip(id);
        }
        self.credit = outcome.credit.or(self.credit);
        if let Some(healthy) = outcome.healthy {
            out.set_health(healthy);
        }
        if let Some(span) = outcome.close_idle_after {
            out.close_idle(span);
        }
        if let Some(span) = outcome.wake_after {
            let at = self.now + span;
            self.sampled &= self.wakes.first().is_some_and(|first| *first <= at);
            self.wakes.insert(at);
        }
        for line in outcome.log {
            out.log(&line);
        }
        // What came of it at once is told to the module only now, so that nothing older overtakes it.
        if std::mem::replace(&mut self.settling, true) {
            return;
        }
        while let Some(later) = self.later.pop_front() {
            match later {
                Later::CallRefused(id) => {
                    if let Some(Stage::Calling(..)) = self.open.get(&id).map(|r| r.stage) {
                        self.end_call(id, CallEnd::Rejected, &[], out);
                    }
                }
                Later::JoinEnds(id) => {
                    let prior = self.open.get(&id).and_then(|r| r.prior);
                    let kept = prior.and_then(|prior| self.kept.result(prior)).map(B::as_ref);
                    let kept = kept.or_else(|| prior.and_then(|prior| self.idempotency.result(prior)));
                    let copy = kept.and_then(|result| (self.hold)(result));
                    self.end_join(id, copy.as_ref().map(B::as_ref), out);
                }
                Later::Again(id) => self.again(id, out),
            }
        }
        self.settling = false;
    }

    /// What a joined RPC waited for never ran: it is taken as if it came now, and others may wait for it.
    fn again(&mut self, id: RpcId, out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get_mut(&id).filter(|rpc| matches!(rpc.stage, Stage::Joined(_))) else {
            return;
        };
        rpc.stage = Stage::Held;
        self.joined.remove(&(rpc.prior.unwrap_or(id), id));
        let outcome = self.control.run_ended(self.now, id, RunEnd::NotStarted);
        self.carry(outcome, out);
        self.offer(id, out);
    }

    /// Joins an RPC to the one it repeats, which is open or ended a short while ago.
    fn join(&mut self, id: RpcId) {
        let Some(prior) = self.open.get(&id).and_then(|r| r.prior) else { return };
        self.stats.coalesced += 1;
        if !self.open.contains_key(&prior) {
            self.later.push_back(Later::JoinEnds(id));
        }
        self.joined.insert((prior, id));
        self.open.entry(id).and_modify(|r| r.stage = Stage::Joined(prior));
    }

    fn call(&mut self, id: RpcId, wait: Us, out: &mut dyn Outputs<P>) {
        let Some(rpc) = self.open.get_mut(&id).filter(|rpc| rpc.stage == Stage::AtCall) else { return };
        self.stats.calls += 1;
        let until = self.now + wait + REPLY;
        let by = rpc.body.as_ref().and_then(|body| out.send_call(rpc.route, id, wait, body.as_ref()));
        (rpc.stage, rpc.route) =
            (Stage::Calling(by.unwrap_or(UpstreamLinkId(usize::MAX)), until), by.or(rpc.route));
        if by.is_some() {
            self.calls.insert((until, id));
        } else {
            self.later.push_back(Later::CallRefused(id));
        }
    }
}
