//! All decisions of one server: what it takes, runs, turns away, calls below and tells its callers.
//!
//! How callers reach it: a server keeps one `Control`, made by `Control::new` from its parts. For each thing
//! that happens it calls `rpc_read`, `caller_gone`, `run_ended`, `call_needed`, `call_ended`, `drain` or
//! `woken`, and carries out the `Outcome` it gets back, list by list. That interface (ids, `Arrival`,
//! `Outcome`) is defined in `types.rs`; the wire of the bench ends in `drill/`. After every input `RULES`,
//! at the end of this file, are gone through in order until none fires. `docs/design.md` has the reasons.

use crate::{records::*, types::*};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Runs above the target before RPCs wait: the room between target_parallel_reqs and max_parallel_reqs.
const HEADROOM: f64 = 1.25;
/// Share of the crowd, the memory and the calls below that are survived, of which we make use.
const SAFE: f64 = 0.8;
/// buf_limit over MRR, as a share of the shortest latency target: a burst of it still waits in good time.
const BUF_SPAN: f64 = 0.5;
/// A buffer holds at least this many of the dearest RPC, or a thin account could never take one.
const BUF_RPCS: f64 = 2.0;
/// Constant factor of congestion_penalty.
const PENALTY: f64 = 0.25;
/// Share of buf_limit that an account keeps for its more critical RPCs once RPCs are held.
const RESERVE: f64 = 0.5;
/// First max_cost of a method, as a share of its latency target.
const FIRST_COST: f64 = 0.2;
/// Runs of any method that the server's pace remembers, and the most that one run may say.
const PACE_MEMORY: f64 = 12.0;
const PACE_MOST: f64 = 10.0;
/// A pace within this factor may be chance, within its square for runs still going: work varies by its mean.
const PACE_NOISE: f64 = 1.6;
/// RPCs that a method's learned cost remembers.
const COST_MEMORY: f64 = 40.0;
/// Serving times this far above base mean that the target is too high.
const SLOW: f64 = 1.5;
/// The target's rise at each beat; it falls half as fast.
const RISE: f64 = 1.1;
/// Beats in the time that callers are counted as active.
const BEATS: u64 = 10;
/// Callers heard of within it share the target.
const ACTIVE: Us = 1_000_000;
/// Bound on calls in hand for each core where no share is told.
const CALLS_PER_CORE: f64 = 3.0;
/// Failures in a row that open the breaker; it tries again after this share of the shortest latency target.
const FAILURES: u32 = 5;
const BREAK: f64 = 0.5;
/// Share of a method's mean cost that is kept free after a call to finish in time.
const FINISH: f64 = 1.5;
/// Mean time unread, as a share of the shortest latency target, above which reading is the bottleneck.
const UNREAD: f64 = 0.1;
/// Beyond this multiple of it what is read is too old to be ok: callers are asked to stay away.
const STALE: f64 = 5.0;
/// The credit is published when it moved by this share.
const CREDIT_STEP: f64 = 0.1;
/// Burst of a tenant above its share here, in seconds of it.
const TENANT_BURST: f64 = 2.0;
/// What runs has taken this many times its cost: work stopped finishing.
const STALL: f64 = 5.0;

/// What serving an RPC of one method costs, learned from runs that ended ok. In microseconds.
struct Cost {
    n: f64,
    mean: f64,
    square: f64,
    whole: f64,
}

impl Cost {
    fn new(first: f64) -> Cost {
        Cost { n: 1.0, mean: first, square: first * first, whole: first * 1.5 }
    }
    fn learn(&mut self, served: f64, whole: f64) {
        self.n = (self.n + 1.0).min(COST_MEMORY);
        self.mean += (served - self.mean) / self.n;
        self.square += (served * served - self.square) / self.n;
        self.whole += (whole - self.whole) / self.n;
    }
    /// The upper estimate: mean and one deviation.
    fn max_cost(&self) -> f64 {
        self.mean + (self.square - self.mean.powi(2)).max(0.0).sqrt()
    }
}

pub(crate) struct Account {
    pub(crate) buf_value: f64,
    buf_correction: f64,
    last_update: Us,
    last_seen: Us,
}

/// The accounts of the callers, in nanoseconds of serving time.
pub struct Accounts {
    of: BTreeMap<CallerId, Account>,
    span: f64,
    active: f64,
    pub(crate) mrr: f64,
    pub(crate) buf_limit: f64,
}

impl Accounts {
    /// `shortest`: the shortest latency target; `callers`: those known at the start.
    pub fn new(shortest: Us, callers: usize) -> Accounts {
        let (active, span) = (callers.max(1) as f64, shortest as f64 / 1e3 * BUF_SPAN);
        Accounts { of: BTreeMap::new(), span, active, mrr: 1e6, buf_limit: 0.0 }
    }

    /// Shares target_parallel_reqs out over the active callers; accounts long unused are forgotten.
    pub(crate) fn share_out(&mut self, now: Us, target: f64, dearest: f64) {
        self.of.retain(|_, a| a.last_seen + 60 * ACTIVE > now);
        let active = self.of.values().filter(|a| a.last_seen + ACTIVE > now).count();
        self.active = active.max(1) as f64;
        self.mrr = target * 1e6 / self.active;
        self.buf_limit = (self.mrr * self.span).max(dearest * BUF_RPCS);
    }

    pub(crate) fn recharge(&mut self, now: Us, caller: CallerId) -> &mut Account {
        let limit = self.buf_limit;
        let fresh = Account { buf_value: limit, buf_correction: 0.0, last_update: now, last_seen: now };
        let a = self.of.entry(caller).or_insert(fresh);
        a.buf_value = (a.buf_value + self.mrr * (now - a.last_update) as f64 / 1e3).min(limit);
        a.last_update = now;
        a
    }

    /// Takes max_cost, or what there is of it; hands back what was taken and the relative buffer.
    pub(crate) fn take(&mut self, now: Us, caller: CallerId, max_cost: f64) -> (f64, f64) {
        let limit = self.buf_limit;
        let a = self.recharge(now, caller);
        let taken = max_cost.min(a.buf_value);
        a.buf_value -= taken;
        (taken, a.buf_value / limit)
    }

    /// The source's correction, in its order, on what was really taken.
    pub(crate) fn correct(&mut self, now: Us, caller: CallerId, taken: f64, real_cost: f64, penalty: f64) {
        let limit = self.buf_limit;
        let a = self.recharge(now, caller);
        a.buf_correction = (a.buf_correction - penalty).min(0.0);
        if real_cost < taken {
            a.buf_correction += taken - real_cost;
        }
        if a.buf_correction > 0.0 {
            a.buf_value = (a.buf_value + a.buf_correction).min(limit);
            a.buf_correction = 0.0;
        }
    }
}

/// target_parallel_reqs and max_parallel_reqs.
pub struct Target {
    cores: f64,
    pub(crate) target: f64,
    tip: f64,
    cold_from: f64,
    ramp: f64,
    start: Us,
}

impl Target {
    /// `tip`: running RPCs a core that a warm server survives. A cold one opens at `cold_from` of its speed
    /// and is warm after `ramp`; `cold_from` is 1 for one that starts warm.
    pub fn new(now: Us, cores: usize, tip: f64, cold_from: f64, ramp: Us) -> Target {
        let (cores, ramp) = (cores.max(1) as f64, ramp.max(1) as f64);
        Target { cores, target: cores, tip, cold_from, ramp, start: now }
    }
    pub(crate) fn survives(&self, now: Us) -> f64 {
        let warmed = (1.0 - self.cold_from) * ((now - self.start) as f64 / self.ramp).min(1.0);
        SAFE * (1.0 + (self.tip - 1.0).max(0.0) * (self.cold_from + warmed)) * self.cores
    }
    pub(crate) fn max_parallel_reqs(&self, now: Us) -> f64 {
        (self.target * HEADROOM).min(self.survives(now)).max(1.0)
    }
    pub(crate) fn adjust(&mut self, now: Us, gauges: Gauges, parallel: f64, pace: f64) {
        let idle = gauges.on_cores.is_some_and(|n| n < self.cores);
        if pace > SLOW {
            self.target /= RISE.sqrt();
        } else if idle && parallel + 1.0 >= self.target {
            self.target *= RISE;
        }
        let most = (self.survives(now) / HEADROOM).max(1.0);
        self.target = self.target.max(self.cores).min(most);
    }
}

/// Held RPCs by criticality, then relative buffer, then age.
#[derive(Default)]
pub struct Hold {
    order: BTreeSet<Place>,
    work: BTreeMap<Reverse<u64>, f64>,
}

impl Hold {
    fn drop(&mut self, place: Place, work: f64) {
        if self.order.remove(&place) {
            *self.work.entry(place.0).or_default() -= work;
        }
    }
    fn ahead(&self, band: Reverse<u64>) -> f64 {
        self.work.range(..=band).map(|(_, w)| w).sum::<f64>().max(0.0)
    }
}

/// Calls below: the bound on those in hand, and the breaker.
pub struct Calls {
    bound: f64,
    window: f64,
    linger: Us,
    pause: f64,
    pub(crate) placed: usize,
    lingering: Vec<Us>,
    mean: Fading,
    failures: u32,
    open_until: Us,
    pub(crate) trial: Option<RpcId>,
}

impl Calls {
    /// `linger`: how long an abandoned call may stay below; `shortest`: the shortest latency target.
    pub fn new(below: Below, cores: usize, linger: Us, shortest: Us) -> Calls {
        let (bound, window) = match below {
            Below::Nothing => (f64::INFINITY, 1),
            Below::Shared { share, window } => (share * SAFE, window),
            Below::Tier => ((CALLS_PER_CORE * cores as f64).floor(), 1),
        };
        let (pause, mean, window) = (shortest as f64 * BREAK, Fading::new(window), window as f64);
        let (placed, lingering, failures, open_until, trial) = (0, Vec::new(), 0, 0, None);
        Calls { bound, window, linger, pause, placed, lingering, mean, failures, open_until, trial }
    }
    /// Calls below count until they end; abandoned ones as long as they may linger.
    fn in_hand(&mut self, now: Us) -> f64 {
        self.lingering.retain(|t| *t > now);
        (self.placed + self.lingering.len()) as f64
    }
    /// Room for one more. A share's fraction is used by a further call while the mean over its window allows.
    pub(crate) fn room(&mut self, now: Us) -> bool {
        let with = self.in_hand(now) + 1.0;
        let spare = self.mean.read(now) / self.window + 1.0 / BEATS as f64 <= self.bound;
        with <= self.bound || (with < self.bound + 1.0 && spare)
    }
    /// Guards against a layer below that fails or hangs: after failures in a row calls stop and return by
    /// single trials. Harm: some calls that would have been ok are left out for a pause.
    pub(crate) fn shut(&self, now: Us) -> bool {
        self.failures >= FAILURES && (now < self.open_until || self.trial.is_some())
    }
    pub(crate) fn ended(&mut self, now: Us, id: RpcId, end: CallEnd, chance: f64) {
        self.placed = self.placed.saturating_sub(1);
        if end == CallEnd::TimedOut {
            self.lingering.push(now + self.linger);
        }
        let trial = self.trial.take_if(|t| *t == id).is_some();
        if end == CallEnd::Ok {
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
            if trial || self.failures == FAILURES {
                self.open_until = now + (self.pause * (0.75 + 0.5 * chance)) as Us;
            }
        }
    }
}

/// The table of keys: what each entry needs, and until when it lives.
pub struct Keys {
    kb: f64,
    fresh: Us,
    until: BTreeMap<RpcId, Us>,
}

impl Keys {
    /// `kb`: memory of one entry; `fresh`: how long a read's answer may serve others, 0 for never.
    pub fn new(kb: f64, fresh: Us) -> Keys {
        Keys { kb, fresh, until: BTreeMap::new() }
    }
    fn used(&self) -> f64 {
        self.until.len() as f64 * self.kb
    }
}

/// Memory of held and running RPCs, counted before anything is done.
pub struct Memory {
    ram: f64,
    factor: f64,
    used: f64,
    seen: f64,
}

impl Memory {
    /// `ram` in kB; a running RPC takes `factor` times what it takes while held.
    pub fn new(ram: f64, factor: f64) -> Memory {
        Memory { ram, factor: factor.max(1.0), used: 0.0, seen: 1.0 }
    }
    fn fits(&self, keys: f64, more: f64) -> bool {
        (self.used + more) * self.seen + keys <= self.ram * SAFE
    }
    /// The gauge above our own count means that some methods weigh more than told.
    fn compare(&mut self, heap_share: f64, keys: f64) {
        if self.used > self.ram * 0.05 {
            let seen = (heap_share * self.ram - keys) / self.used;
            self.seen = seen.clamp(1.0, 4.0).max(self.seen * 0.99);
        }
    }
}

/// The notice to leave.
pub struct Drain {
    grace: Us,
    notice: Option<(Us, Us)>,
}

impl Drain {
    /// `grace`: what arrives later than this after the notice is not run.
    pub fn new(grace: Us) -> Drain {
        Drain { grace, notice: None }
    }
}

/// What is told to callers.
pub struct Credit {
    say: Say,
    come_back: Us,
    unread: Fading,
    read: Fading,
    fine: f64,
    said: f64,
    healthy: Option<bool>,
}

impl Credit {
    /// `come_back`: the longest time to come back that is relayed; 0 where none is.
    pub fn new(say: Say, come_back: Us, shortest: Us) -> Credit {
        let (unread, read, fine) = (Fading::new(ACTIVE), Fading::new(ACTIVE), shortest as f64 * UNREAD);
        Credit { say, come_back, unread, read, fine, said: -1.0, healthy: None }
    }
}

/// Tenants' shares here: what exceeds them is worth less, so it waits behind the rest.
pub struct Shares {
    rates: Vec<(f64, f64, Us)>,
    worth: f64,
}

impl Shares {
    /// `rates`: RPCs a second of each tenant over the whole fleet; `worth`: of what exceeds them.
    pub fn new(rates: &[f64], replicas: usize, worth: f64) -> Shares {
        let here = |r: &f64| (r / replicas.max(1) as f64).max(0.01);
        Shares { rates: rates.iter().map(here).map(|r| (r, r * TENANT_BURST, 0)).collect(), worth }
    }
    fn worth(&mut self, now: Us, tenant: Option<usize>) -> f64 {
        let Some((rate, room, at)) = tenant.and_then(|t| self.rates.get_mut(t)) else { return 1.0 };
        *room = (*room + *rate * (now - *at) as f64 / 1e6).min((*rate * TENANT_BURST).max(1.0));
        *at = now;
        if *room < 1.0 {
            return self.worth;
        }
        *room -= 1.0;
        1.0
    }
}

/// One server's decisions.
pub struct Control {
    now: Us,
    chance: WyRand,
    step: Us,
    stop_mode: StopMode,
    methods: Vec<Method>,
    costs: Vec<Cost>,
    pub(crate) accounts: Accounts,
    target: Target,
    hold: Hold,
    calls: Calls,
    keys: Keys,
    memory: Memory,
    drain: Drain,
    credit: Credit,
    shares: Shares,
    rpcs: BTreeMap<RpcId, Rpc>,
    alarms: BTreeSet<(Us, RpcId)>,
    at_call: BTreeSet<Place>,
    cores: Cores,
    pace: f64,
    beat: Us,
    woken_at: Us,
    seq: u64,
    out: Outcome,
}

impl Control {
    /// `step` is the least time between two inputs; answers keep two of them clear of their due time.
    #[allow(clippy::too_many_arguments)] // each part takes its own few figures; no record holds them all
    pub fn new(
        now: Us, seed: u64, step: Us, stop_mode: StopMode, methods: Vec<Method>, accounts: Accounts,
        target: Target, calls: Calls, keys: Keys, memory: Memory, drain: Drain, credit: Credit,
        shares: Shares,
    ) -> Control {
        let costs = methods.iter().map(|m| Cost::new(m.latency_target as f64 * FIRST_COST)).collect();
        let (chance, hold, out, rpcs) =
            (WyRand::new_seed(seed), Hold::default(), Outcome::default(), BTreeMap::new());
        let (alarms, at_call, cores, pace) = (BTreeSet::new(), BTreeSet::new(), Cores::default(), 1.0);
        let (beat, woken_at, seq) = (now, Us::MAX, 0);
        #[rustfmt::skip]
        let mut control = Control {
            now, chance, step, stop_mode, methods, costs, accounts, target, hold, calls, keys, memory, drain,
            credit, shares, rpcs, alarms, at_call, cores, pace, beat, woken_at, seq, out,
        };
        control.share_out();
        control
    }

    /// The start: what to publish and when to wake first.
    pub fn started(&mut self) -> Outcome {
        self.settle()
    }

    /// An RPC was read and is held from now on.
    pub fn rpc_read(&mut self, now: Us, arrival: Arrival, tenant: Option<usize>) -> Outcome {
        self.pass_time(now);
        self.take(arrival, tenant);
        self.settle()
    }

    /// No one waits for this RPC any longer. Held ones are over; the rest end with `run_ended`.
    pub fn caller_gone(&mut self, now: Us, id: RpcId) -> Outcome {
        self.pass_time(now);
        self.answered(id);
        self.settle()
    }

    /// A run or a join has ended.
    pub fn run_ended(&mut self, now: Us, id: RpcId, end: RunEnd) -> Outcome {
        self.pass_time(now);
        self.finish(id, end);
        self.settle()
    }

    /// A run can't go on without a call below.
    pub fn call_needed(&mut self, now: Us, id: RpcId) -> Outcome {
        self.pass_time(now);
        if let Some(r) = self.rpcs.get_mut(&id).filter(|r| r.stage == Stage::Running) {
            self.cores.leave(r, now);
            self.wait_for_call(id);
        }
        self.settle()
    }

    /// A call below has ended.
    pub fn call_ended(&mut self, now: Us, id: RpcId, end: CallEnd) -> Outcome {
        self.pass_time(now);
        if let Some(r) = self.rpcs.get_mut(&id).filter(|r| r.stage == Stage::Calling) {
            let again = self.methods[r.method.0].effect == Effect::Idempotent || end == CallEnd::PushedBack;
            r.failed_calls += 1;
            r.may_call = again && r.failed_calls == 1; // tried once more
            self.calls.ended(now, id, end, self.chance.generate::<f64>());
            if end == CallEnd::Ok {
                (r.failed_calls, r.may_call) = (0, true);
                self.on_cores(id);
            } else {
                self.wait_for_call(id);
            }
        }
        self.settle()
    }

    /// The notice to leave: the process is stopped at `kill`.
    pub fn drain(&mut self, now: Us, kill: Us) -> Outcome {
        self.pass_time(now);
        let last = kill.saturating_sub(2 * self.step);
        self.drain.notice = Some((now, last));
        for id in self.rpcs.iter().filter(|(_, r)| !r.answered).map(|(id, _)| *id).collect::<Vec<_>>() {
            let r = self.rpcs.entry(id);
            r.and_modify(|r| (r.due, r.last_good) = (r.due.min(last), r.last_good.min(last)));
            self.set_alarm(id, self.rpcs[&id].alarm.min(last));
        }
        self.out.log.push("notice to leave".into());
        self.settle()
    }

    /// A wake asked for has come.
    pub fn woken(&mut self, now: Us, gauges: Gauges) -> Outcome {
        self.pass_time(now);
        self.woken_at = if now >= self.woken_at { Us::MAX } else { self.woken_at };
        if now >= self.beat {
            self.beat = now + ACTIVE / BEATS;
            self.keys.until.retain(|_, until| *until > now);
            self.memory.compare(gauges.heap_share.unwrap_or(0.0), self.keys.used());
            self.target.adjust(now, gauges, self.cores.running as f64, self.pace);
            self.share_out();
            // With nothing to run, nothing tells of a recovery: the pace is forgiven step by step.
            if self.cores.running == 0 {
                self.pace += (1.0 - self.pace) / PACE_MEMORY / BEATS as f64;
            }
        }
        self.settle()
    }

    fn share_out(&mut self) {
        let dearest = self.costs.iter().map(Cost::max_cost).fold(0.0, f64::max) * 1e3;
        self.accounts.share_out(self.now, self.target.target, dearest);
    }

    /// Brings the integrals up to now.
    fn pass_time(&mut self, now: Us) {
        let passed = now.saturating_sub(self.now) as f64;
        self.cores.pass(self.target.target, passed * 1e3);
        let calls = self.calls.in_hand(now);
        self.calls.mean.add(now, calls * passed);
        self.now = now.max(self.now);
    }

    /// Time so far of what runs over its expected cost.
    fn overdue(&self) -> f64 {
        self.cores.overdue(self.now, self.target.cores * self.costs[0].mean)
    }

    /// How many times slower than learned work goes now: from runs that ended, and that should have.
    fn pace(&self) -> f64 {
        let pace = self.pace.max(self.overdue() / PACE_NOISE);
        if pace > PACE_NOISE {
            pace
        } else {
            1.0
        }
    }

    fn take(&mut self, a: Arrival, tenant: Option<usize>) {
        let (now, m, id) = (self.now, &self.methods[a.method.0], a.id);
        let cost = &self.costs[a.method.0];
        let pace = self.pace();
        let (max_cost, work) = (cost.max_cost() * 1e3 * pace, cost.mean);
        // What can go without its call needs only its own work: a slow layer below is no reason to refuse.
        let whole = if m.skip_share > 0.0 { work } else { cost.whole } * pace;
        self.credit.unread.add(now, a.unread as f64);
        self.credit.read.add(now, 1.0);
        let Account { buf_value, last_seen, .. } = self.accounts.recharge(now, a.caller);
        *last_seen = now;
        let buf_value = *buf_value;
        let arrived = now.saturating_sub(a.unread);
        let (notice, last) = self.drain.notice.unwrap_or((Us::MAX - self.drain.grace, Us::MAX));
        let late = arrived >= notice + self.drain.grace;
        let due = a.due.unwrap_or(arrived + m.deadline).saturating_sub(2 * self.step).min(last);
        // While RPCs wait, one that would be late is not worth the cores that one in time could have.
        let good = due.min(arrived + m.latency_target);
        let last_good = if m.late_share > 0.0 { due } else { good };
        let worth = m.criticality * self.shares.worth(now, tenant);
        self.seq += 1;
        let mut place = (Reverse((worth * 1e6) as u64), Reverse(0), self.seq, id);
        let keep = match m.effect {
            Effect::Tokened => m.window.saturating_sub(a.unread) + self.step,
            Effect::Idempotent if a.key.is_some() && self.keys.fresh > 0 => whole as Us + self.keys.fresh,
            _ => 0,
        };
        #[rustfmt::skip]
        let mut rpc = Rpc {
            method: a.method, caller: a.caller, stage: Stage::Held, place, due, last_good, alarm: Us::MAX,
            size_kb: a.size_kb, work, taken: 0.0, begun: now, since: (now, 0.0), served: 0.0, penalty: 0.0,
            answered: false, failed_calls: 0, may_call: true,
        };
        self.memory.used += a.size_kb;
        // A repeat waits for the one it repeats. That one may have run, so a repeat is never pushed back.
        if a.prior.is_some() && m.effect != Effect::NonIdempotent {
            rpc.stage = Stage::Joined;
            self.rpcs.insert(id, rpc);
            let room = now < due && self.memory.fits(self.keys.used(), 0.0);
            self.out.joins.extend(Some(id).filter(|_| room));
            return self.set_alarm(id, if room { due } else { now });
        }
        self.rpcs.insert(id, rpc);
        let keys = self.keys.used() + if keep > 0 { self.keys.kb } else { 0.0 };
        let wait = self.hold.ahead(place.0) * pace / self.target.target;
        let hopeless = now as f64 + wait + whole > good as f64 && self.cores.running > 0;
        if late || now >= due || !self.memory.fits(keys, 0.0) || hopeless {
            return self.push_back(id, hopeless && self.overdue() < STALL);
        }
        let top = self.methods.iter().map(|m| m.criticality).fold(f64::MIN_POSITIVE, f64::max);
        let reserve = self.accounts.buf_limit * RESERVE * (1.0 - worth / top);
        let full = self.cores.running as f64 >= self.target.target && !self.hold.order.is_empty();
        if full && buf_value < max_cost + reserve {
            return self.push_back(id, true);
        }
        let (taken, fill) = self.accounts.take(now, a.caller, max_cost);
        place.1 = Reverse((fill * 1e6) as u64);
        self.rpcs.entry(id).and_modify(|r| (r.taken, r.place) = (taken, place));
        self.hold.order.insert(place);
        *self.hold.work.entry(place.0).or_default() += work;
        if keep > 0 {
            self.keys.until.insert(id, now + keep);
            self.out.keeps.push((id, keep));
        }
        // With nothing on the cores this one is a trial, whatever the estimates say.
        let start = if self.cores.running > 0 { good.saturating_sub(whole as Us) } else { good };
        self.set_alarm(id, start.max(now));
    }

    fn set_alarm(&mut self, id: RpcId, at: Us) {
        if let Some(r) = self.rpcs.get_mut(&id) {
            self.alarms.remove(&(r.alarm, id));
            r.alarm = at;
            if !r.answered {
                self.alarms.insert((at, id));
            }
        }
    }

    fn on_cores(&mut self, id: RpcId) {
        if let Some(r) = self.rpcs.get_mut(&id) {
            self.cores.enter(r, self.now);
            let due = r.due;
            self.set_alarm(id, due);
        }
    }

    /// Off the cores until a call is placed, or skipped while there is still time to finish.
    fn wait_for_call(&mut self, id: RpcId) {
        let Some(r) = self.rpcs.get_mut(&id) else { return };
        r.stage = Stage::AtCall;
        if !r.answered {
            self.at_call.insert(r.place);
            let finish = (self.costs[r.method.0].mean * FINISH) as Us + 2 * self.step;
            let alarm = r.last_good.saturating_sub(finish).min(r.due).max(self.now);
            self.set_alarm(id, alarm);
        }
    }

    /// A final answer was given, or none is owed. Held work is over, running work is stopped or left.
    fn answered(&mut self, id: RpcId) {
        let Some(r) = self.rpcs.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        self.alarms.remove(&(r.alarm, id));
        self.at_call.remove(&r.place);
        match r.stage {
            Stage::Held | Stage::Joined => self.end_unrun(id),
            Stage::Running if self.stop_mode != StopMode::Off => self.out.stops.push(id),
            Stage::Calling => {
                r.stage = Stage::AtCall;
                // A caller that left says nothing of the layer below: it lingers there, but is no failure.
                let failures = std::mem::take(&mut self.calls.failures);
                self.calls.ended(self.now, id, CallEnd::TimedOut, self.chance.generate::<f64>());
                self.calls.failures = failures;
            }
            _ => {}
        }
    }

    /// An RPC that never ran leaves: its account gets back what was taken.
    fn end_unrun(&mut self, id: RpcId) {
        let Some(r) = self.rpcs.remove(&id) else { return };
        self.alarms.remove(&(r.alarm, id));
        self.hold.drop(r.place, r.work);
        self.memory.used -= r.size_kb;
        if r.taken > 0.0 {
            self.accounts.correct(self.now, r.caller, r.taken, 0.0, 0.0);
        }
        if self.keys.until.remove(&id).is_some() {
            self.out.forgets.push(id);
        }
    }

    fn push_back(&mut self, id: RpcId, terminal: bool) {
        let dear = self.rpcs.get(&id).map_or(0.0, |r| self.costs[r.method.0].max_cost());
        let come_back = ((dear * 1e6 / self.accounts.mrr) as Us).min(self.credit.come_back);
        self.out.answers.push((id, Answer::PushedBack { terminal, come_back }));
        self.answered(id);
    }

    fn finish(&mut self, id: RpcId, end: RunEnd) {
        if let Some(r) = self.rpcs.get_mut(&id).filter(|r| r.stage == Stage::Running) {
            self.cores.leave(r, self.now);
            r.stage = Stage::AtCall;
        }
        self.answered(id);
        let Some(r) = self.rpcs.remove(&id) else { return };
        self.memory.used -= r.size_kb * self.memory.factor;
        let real_cost = match end {
            // A quick failure spent what it was taken for: it must not refill the account.
            RunEnd::Aborted => r.taken,
            RunEnd::NotStarted => 0.0,
            _ => r.served * 1e3,
        };
        self.accounts.correct(self.now, r.caller, r.taken, real_cost, r.penalty * PENALTY);
        // A run that was stopped took at least as long; what a slow server takes is not learned as the cost.
        let cost = &mut self.costs[r.method.0];
        let ratio = (r.served / cost.mean).min(PACE_MOST);
        if end == RunEnd::Ok || ratio > self.pace {
            self.pace += (ratio - self.pace) / PACE_MEMORY;
        }
        if end == RunEnd::Ok && (self.pace < PACE_NOISE || cost.n < PACE_MEMORY) {
            cost.learn(r.served, (self.now - r.begun) as f64);
        }
    }

    fn settle(&mut self) -> Outcome {
        while RULES.iter().any(|rule| rule(self)) {}
        self.publish();
        let next = self.alarms.first().map_or(self.beat, |(t, _)| self.beat.min(*t)).max(self.now + 1);
        if next < self.woken_at {
            self.woken_at = next;
            self.out.wake = Some(next - self.now);
        }
        std::mem::take(&mut self.out)
    }

    fn publish(&mut self) {
        // Guards against arrivals outrunning the reading: what callers send is cut as the time unread grows.
        let unread = self.credit.unread.read(self.now) / self.credit.read.read(self.now).max(1.0);
        let (crowd, target) = ((unread / self.credit.fine).max(1.0), self.target.target);
        // Reading and runs that share the cores explain a pace of up to 1 + HEADROOM; beyond it the cores are slow.
        let sick = self.overdue() > STALL || crowd > STALE && self.pace() > 1.0 + HEADROOM;
        let healthy = self.drain.notice.is_none() && !sick;
        let before = self.credit.healthy.replace(healthy);
        if before != Some(healthy) {
            self.out.health = Some(healthy);
        }
        if before.is_some_and(|b| b != healthy) {
            let (pace, unread) = (self.pace().max(self.overdue()), unread / 1e3);
            self.out.log.push(format!("health {healthy}: runs at {pace:.1} of cost, {unread:.0} ms unread"));
        }
        let idle = (self.cores.running as f64) < target && self.hold.order.is_empty() && crowd <= 1.0;
        let share = target / (target + self.hold.order.len() as f64) / crowd * f64::from(u8::from(healthy));
        let value = match self.credit.say {
            Say::Off => return,
            Say::Threshold => 1.0 - share,
            Say::ShareOf => share,
            Say::Credit if !healthy => 0.0,
            Say::Credit if idle => self.target.max_parallel_reqs(self.now),
            Say::Credit => (target + self.calls.in_hand(self.now)) / self.accounts.active / crowd,
        };
        if (value - self.credit.said).abs() > CREDIT_STEP * self.credit.said.max(0.0) {
            self.credit.said = value;
            self.out.credit = Some(value);
        }
    }

    /// What falls due is answered. A held RPC that can't be ok in time any more is pushed back; at a call
    /// that can be skipped, what remains is done without it.
    fn rule_due(&mut self) -> bool {
        let first = self.alarms.first().copied().filter(|(t, _)| *t <= self.now);
        let Some((_, id)) = first else { return false };
        match self.rpcs.get(&id) {
            Some(r) if r.stage == Stage::Held => self.push_back(id, true),
            Some(r) if r.stage == Stage::AtCall && self.skippable(r) => {
                self.at_call.remove(&r.place);
                self.out.skips.push(id);
                self.on_cores(id);
            }
            _ => {
                self.out.answers.push((id, Answer::Aborted));
                self.answered(id);
            }
        }
        true
    }

    fn skippable(&self, r: &Rpc) -> bool {
        self.methods[r.method.0].skip_share > 0.0 && self.now < r.last_good
    }

    /// A call is placed within the bound; it is skipped, or the RPC given up, once calling has no prospect.
    fn rule_call(&mut self) -> bool {
        let shut = self.calls.shut(self.now);
        let room = !shut && self.calls.room(self.now);
        let ready = |p: &&Place| {
            self.rpcs.get(&p.3).is_some_and(|r| room || !r.may_call || shut && self.skippable(r))
        };
        let Some(place) = self.at_call.iter().find(ready).copied() else { return false };
        let (id, r) = (place.3, &self.rpcs[&place.3]);
        let (wait, due) = (if room && r.may_call { r.alarm.saturating_sub(self.now) } else { 0 }, r.due);
        if wait == 0 {
            self.set_alarm(id, self.now);
            return self.rule_due();
        }
        self.at_call.remove(&place);
        self.calls.placed += 1;
        self.calls.trial = Some(id).filter(|_| self.calls.failures >= FAILURES);
        self.out.calls.push((id, wait));
        self.rpcs.entry(id).and_modify(|r| r.stage = Stage::Calling);
        self.set_alarm(id, due);
        true
    }

    /// The first in the hold starts while fewer than max_parallel_reqs run and its memory fits.
    fn rule_run(&mut self) -> bool {
        // All that is at a call may come back at once: together they stay under the crowd survived.
        let back = (self.at_call.len() + self.calls.placed) as f64;
        let most = self.target.max_parallel_reqs(self.now);
        let room = most.min(self.target.survives(self.now).max(1.0) - back) - self.cores.running as f64;
        if room < 1.0 {
            return false;
        }
        let Some(place) = self.hold.order.first().copied() else { return false };
        let r = &self.rpcs[&place.3];
        let (more, work, keys) = (r.size_kb * (self.memory.factor - 1.0), r.work, self.keys.used());
        if !self.memory.fits(keys, more) {
            return false;
        }
        self.memory.used += more;
        self.hold.drop(place, work);
        self.rpcs.entry(place.3).and_modify(|r| r.begun = self.now);
        self.on_cores(place.3);
        self.out.runs.push(place.3);
        true
    }
}

/// Gone through in this order after every input until none fires.
const RULES: &[fn(&mut Control) -> bool] = &[Control::rule_due, Control::rule_call, Control::rule_run];
