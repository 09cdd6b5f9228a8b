//! All decisions of one server: what it takes, runs, turns away, calls below and tells its callers.
//!
//! A server keeps one `Control`, made by `Control::new` from its parts. For each thing that happens it calls
//! one method and carries out the `Outcome` handed back (`types.rs`). `RULES` below are gone through in order
//! until none fires. Reasons: `docs/design.md`.

#[path = "snapshot.rs"]
mod snapshot;

use crate::terms::{Ranked, SettingsUpdate, StagedTable};
use crate::types::*;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

const HEADROOM: f64 = 1.25; // max_parallel_reqs over target_parallel_reqs: runs above it before RPCs wait
const SAFE: f64 = 0.8; // share made use of, of the crowd, the memory and the calls below that are survived
const BUF_SPAN: f64 = 0.5; // buf_limit over mrr, in shortest latency targets: such a burst is still in time
const BUF_RPCS: f64 = 2.0; // buf_limit in dearest RPCs at the least, or a thin account could never take one
const PENALTY: f64 = 0.25; // the constant factor of congestion_penalty
const RESERVE: f64 = 0.5; // share of buf_limit kept for more critical RPCs once RPCs are held
const FIRST_COST: f64 = 0.2; // first max_cost of a method, as a share of its latency target
const COST_MEMORY: f64 = 40.0; // runs that a method's learned cost remembers
const PACE_MEMORY: f64 = 12.0; // runs of any method that the server's pace remembers
const VARIES: f64 = 1.6; // max_cost over the mean; a pace within it may be chance: work varies by its mean
const FAR: f64 = 5.0; // times max_cost without a run ending: broken, not just busy
const RISE: f64 = 1.1; // of the target at each beat; it falls half as fast
const ACTIVE: Us = 1_000_000; // callers heard of within it share the target (the source's last second)
const BEATS: u64 = 10; // beats in that time
const AHEAD: f64 = 2.5; // a wait over the work that stands ahead: more that ranks above is still to come
const CALLS_PER_CORE: f64 = 3.0; // bound on calls in hand where no share is told
const CALLING: f64 = 0.5; // of a run that counts while it calls: it comes back to cores that others took
const FEW: f64 = 3.0; // repeats of calls that are always allowed in BUDGET: a lone server may need them
const BUDGET: Us = 10 * ACTIVE; // over which repeats are counted against first calls
const TRIES: u32 = 2; // failures of a call after which it is left out or its RPC given up
const FAILURES: u32 = 5; // failed calls in a row that open the breaker
const BREAK: f64 = 0.5; // its pause before a trial, in shortest latency targets
const FINISH: f64 = 1.5; // mean costs of a method that are kept free after a call, to finish in time
const UNREAD: f64 = 0.1; // mean time unread, in shortest latency targets: above it reading is behind
const SPARE_PART: f64 = 0.5; // over a caller's part of a busy server, from an RPC up: demand varies by chance
const CREDIT_STEP: f64 = 0.1; // share by which the credit moves before it is published anew
const LINKS: f64 = 2.0; // open connections for each active caller, above which idle ones close sooner
const LINKS_PER_CORE: f64 = 10.0; // that stay open anyway: a table holds more, and each handshake is work
const TENANT_RPCS: f64 = 10.0; // by which a tenant may exceed its share here: fewer are chance

/// A sum that forgets: brought up to date when read.
struct Fading {
    value: f64,
    at: Us,
    span: f64,
}

impl Fading {
    fn new(span: Us) -> Fading {
        Fading { value: 0.0, at: 0, span: span.max(1) as f64 }
    }
    /// Adds an amount, which may be 0, and reads the sum.
    fn add(&mut self, now: Us, amount: f64) -> f64 {
        self.value = self.value * (-(now.saturating_sub(self.at) as f64) / self.span).exp() + amount;
        self.at = now;
        self.value
    }
}

/// Order among the waiting: criticality, then relative buffer, then age.
type Place = (Reverse<u64>, Reverse<u64>, u64, RpcId);

/// What is known of one RPC in hand.
struct Rpc {
    a: Arrival,
    stage: Stage,
    place: Place,
    due: Us,          // when it must have its answer
    last_good: Us,    // the last moment at which an ok answer earns anything
    alarm: Us,        // when it is looked at next
    work: f64,        // expected serving time when it was read
    taken: f64,       // from its account, in nanoseconds
    since: (Us, f64), // on the cores since, and the integral of its band then
    served: f64,      // serving time before that
    penalty: f64,     // congestion_penalty before that, without its factor
    answered: bool,
    tries: u32,          // failures left for its call
    effect: Idempotency, // these three as they were when it was read
    skip_value_ratio: f64,
    booked: f64,
}

/// On the cores: of each band of criticality a count, and the integral of parallel_reqs, bands above
/// included, over target; when something last came on or off.
#[derive(Default)]
struct Cores {
    bands: BTreeMap<Reverse<u64>, (usize, f64)>,
    running: usize,
    touched: Us,
}

impl Cores {
    fn pass(&mut self, target: f64, passed: f64) {
        let mut above = 0.0;
        for (running, integral) in self.bands.values_mut() {
            above += *running as f64;
            *integral += (above - target) * passed;
        }
    }
    fn enter(&mut self, r: &mut Rpc, now: Us) {
        let band = self.bands.entry(r.place.0).or_default();
        band.0 += 1;
        (self.running, self.touched) = (self.running + 1, now);
        (r.stage, r.since) = (Stage::Running, (now, band.1));
    }
    fn leave(&mut self, r: &mut Rpc, now: Us) {
        let band = self.bands.entry(r.place.0).or_default();
        band.0 -= 1;
        (self.running, self.touched, r.stage) = (self.running - 1, now, Stage::AtCall);
        r.served += (now - r.since.0) as f64;
        r.penalty += band.1 - r.since.1;
    }
}

/// What serving an RPC of one method costs, learned from runs that ended ok. In microseconds.
#[derive(Clone)]
pub(crate) struct Cost {
    n: f64,
    mean: f64,
}

impl Cost {
    pub(crate) fn new(m: &Method) -> Cost {
        Cost { n: 1.0, mean: m.latency_target as f64 * FIRST_COST }
    }
    fn learn(&mut self, served: f64) {
        self.n = (self.n + 1.0).min(COST_MEMORY);
        self.mean += (served - self.mean) / self.n;
    }
    /// The upper estimate: work varies by its mean.
    fn max_cost(&self) -> f64 {
        self.mean * VARIES
    }
}

pub(crate) struct Account {
    pub(crate) buf_value: f64,
    buf_correction: f64,
    last_update: Us,
    last_seen: Us,
}

/// The accounts of the callers, in nanoseconds of serving time.
pub struct CallerAccounts {
    pub(crate) of: BTreeMap<CallerId, Account>,
    heard: BTreeSet<(Us, CallerId)>,
    span: f64,
    known: f64, // callers there were at the start
    active: f64,
    pub(crate) mrr: f64,
    pub(crate) buf_limit: f64,
}

impl CallerAccounts {
    /// `shortest`: the shortest latency target; `callers`: those known at the start.
    pub fn new(shortest: Us, callers: usize) -> CallerAccounts {
        let (known, span) = (callers.max(1) as f64, shortest as f64 / 1e3 * BUF_SPAN);
        CallerAccounts {
            of: BTreeMap::new(),
            heard: BTreeSet::new(),
            span,
            known,
            active: known,
            mrr: 1e6,
            buf_limit: 0.0,
        }
    }

    /// Shares target_parallel_reqs out over the active callers; accounts long unused are forgotten.
    pub(crate) fn share_out(&mut self, now: Us, target: f64, dearest: f64) {
        while let Some((_, caller)) = self.heard.first().copied().filter(|(at, _)| at + 60 * ACTIVE <= now) {
            self.heard.pop_first();
            self.of.remove(&caller);
        }
        self.active = self.heard.range((now.saturating_sub(ACTIVE), CallerId(0))..).count().max(1) as f64;
        self.mrr = target * 1e6 / self.active;
        self.buf_limit = (self.mrr * self.span).max(dearest * 1e3 * BUF_RPCS);
    }

    /// The caller sent an RPC. Hands back its buf_value.
    pub(crate) fn hear(&mut self, now: Us, caller: CallerId) -> f64 {
        let a = self.recharge(now, caller);
        let (before, buf_value) = (std::mem::replace(&mut a.last_seen, now), a.buf_value);
        self.heard.remove(&(before, caller));
        self.heard.insert((now, caller));
        buf_value
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
        a.buf_correction = (a.buf_correction - penalty).min(0.0) + (taken - real_cost).max(0.0);
        a.buf_value = (a.buf_value + a.buf_correction.max(0.0)).min(limit);
        a.buf_correction = a.buf_correction.min(0.0);
    }
}

/// target_parallel_reqs and max_parallel_reqs.
pub struct ConcurrencyLimit {
    cores: f64,
    pub(crate) target: f64,
    tip: f64,
    cold_from: f64,
    ramp: f64,
    start: Us,
}

impl ConcurrencyLimit {
    /// `tip`: running RPCs a core that a warm server survives. A cold one opens at `cold_from` of its speed
    /// and is warm after `ramp`; `cold_from` is 1 for one that starts warm.
    pub fn new(now: Us, cores: usize, tip: f64, cold_from: f64, ramp: Us) -> ConcurrencyLimit {
        let (cores, ramp) = (cores.max(1) as f64, ramp.max(1) as f64);
        ConcurrencyLimit { cores, target: cores, tip, cold_from, ramp, start: now }
    }
    /// Its least speed now over the warm one.
    fn speed(&self, now: Us) -> f64 {
        self.cold_from + (1.0 - self.cold_from) * (now.saturating_sub(self.start) as f64 / self.ramp).min(1.0)
    }
    pub(crate) fn survives(&self, now: Us) -> f64 {
        SAFE * (1.0 + (self.tip - 1.0).max(0.0) * self.speed(now)) * self.cores
    }
    pub(crate) fn max_parallel_reqs(&self, now: Us) -> f64 {
        (self.target * HEADROOM).min(self.survives(now)).max(1.0)
    }
    pub(crate) fn adjust(&mut self, now: Us, gauges: Gauges, parallel: f64, pace: f64) {
        let idle = gauges.runnable.is_some_and(|n| n < self.cores);
        if pace > VARIES {
            self.target /= RISE.sqrt();
        } else if idle && parallel + 1.0 >= self.target {
            self.target *= RISE;
        }
        self.set(now, self.target);
    }
    fn set(&mut self, now: Us, target: f64) {
        self.target = target.max(self.cores).min((self.survives(now) / HEADROOM).max(1.0));
    }
}

/// Held RPCs by criticality, then relative buffer, then age.
#[derive(Default)]
pub struct AdmissionQueue {
    order: BTreeSet<Place>,
    work: BTreeMap<Reverse<u64>, f64>,
}

impl AdmissionQueue {
    fn drop(&mut self, place: Place, work: f64) {
        if self.order.remove(&place) {
            *self.work.entry(place.0).or_default() -= work;
        }
    }
    fn ahead(&self, band: Reverse<u64>) -> f64 {
        AHEAD * self.work.range(..=band).map(|(_, w)| w).sum::<f64>().max(0.0)
    }
}

/// Calls below: the bound on those in hand, and the breaker.
pub struct UpstreamCalls {
    bound: f64,
    divided: bool, // the bound is this server's part of what all servers share
    part: f64,
    window: f64,
    linger: Us,
    pause: f64,
    pub(crate) placed: usize,
    lingering: Vec<Us>,
    mean: Fading,
    failures: u32,
    open_until: Us,
    pub(crate) trial: Option<RpcId>,
    firsts: Fading,
    repeats: Fading,
}

impl UpstreamCalls {
    /// `linger`: how long an abandoned call may stay below; `shortest`: the shortest latency target.
    pub fn new(below: Upstream, cores: usize, linger: Us, shortest: Us) -> UpstreamCalls {
        let (bound, window, divided) = match below {
            Upstream::Absent => (f64::INFINITY, 1, false),
            Upstream::Shared { share, window } => (share * SAFE, window, true),
            Upstream::Tier => ((CALLS_PER_CORE * cores as f64).floor(), 1, false),
        };
        let (pause, mean, window) = (shortest as f64 * BREAK, Fading::new(window), window as f64);
        let (placed, lingering, failures, open_until, trial) = (0, Vec::new(), 0, 0, None);
        let (firsts, repeats) = (Fading::new(BUDGET), Fading::new(BUDGET));
        #[rustfmt::skip]
        let calls = UpstreamCalls {
            bound, divided, part: 1.0, window, linger, pause, placed, lingering, mean, failures, open_until, trial,
            firsts, repeats,
        };
        calls
    }
    /// Calls below count until they end; abandoned ones as long as they may linger.
    fn in_hand(&mut self, now: Us) -> f64 {
        self.lingering.retain(|t| *t > now);
        (self.placed + self.lingering.len()) as f64
    }
    /// Room for one more. A share's fraction is used by a further call while the mean over its window allows.
    pub(crate) fn room(&mut self, now: Us, opened: f64) -> bool {
        let with = self.in_hand(now) + 1.0;
        if with > opened.max(1.0) {
            return false;
        }
        let bound = if self.divided { self.bound * self.part } else { self.bound };
        let spare = self.mean.add(now, 0.0) / self.window + 1.0 / BEATS as f64 <= bound;
        with <= bound || (with < bound + 1.0 && spare)
    }
    /// Guards against repeats that multiply the load of a layer below that fails. Harm: a call that a second
    /// try would have made good is left out, or its RPC given up.
    fn may_repeat(&mut self, now: Us, budget: f64) -> bool {
        let most = if budget.is_finite() { FEW + budget * self.firsts.add(now, 0.0) } else { budget };
        let may = self.repeats.add(now, 0.0) < most;
        self.repeats.add(now, f64::from(u8::from(may)));
        may
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
        self.failures = if end == CallEnd::Ok { 0 } else { self.failures.saturating_add(1) };
        if end != CallEnd::Ok && (trial || self.failures == FAILURES) {
            self.open_until = now + (self.pause * (0.75 + 0.5 * chance)) as Us;
        }
    }
}

/// The table of keys: what each entry needs, and until when it lives.
pub struct IdempotencyKeys {
    kb: f64,
    fresh: Us,
    until: BTreeMap<RpcId, Us>,
}

impl IdempotencyKeys {
    /// `kb`: memory of one entry; `fresh`: how long a read's answer may serve others, 0 for never.
    pub fn new(kb: f64, fresh: Us) -> IdempotencyKeys {
        IdempotencyKeys { kb, fresh, until: BTreeMap::new() }
    }
    fn used(&self) -> f64 {
        self.until.len() as f64 * self.kb
    }
}

/// Memory of held and running RPCs, counted before anything is done.
pub struct MemoryBudget {
    ram: f64,
    factor: f64,
    used: f64,
}

impl MemoryBudget {
    /// `ram` in kB; a running RPC takes `factor` times what it takes while held.
    pub fn new(ram: f64, factor: f64) -> MemoryBudget {
        MemoryBudget { ram, factor: factor.max(1.0), used: 0.0 }
    }
    fn fits(&self, keys: f64, more: f64) -> bool {
        self.used + more + keys <= self.ram * SAFE
    }
}

/// The notice to leave.
pub struct Drain {
    grace: Us, // what arrives later than this after the notice is not run
    ends: Us,  // the grace, once there was a notice
    last: Us,  // when all must be answered
    open: bool,
}

impl Drain {
    pub fn new(grace: Us) -> Drain {
        Drain { grace, ends: Us::MAX, last: Us::MAX, open: true }
    }
}

/// What callers hear: the free number, health, and how long a connection may idle.
pub struct CallerFeedback {
    say: FeedbackMode,
    retry_after: Us,
    unread: Fading,
    read: Fading,
    fine: f64,
    said: f64,
    healthy: Option<bool>,
    longest: Us,
    idle: Us,
}

impl CallerFeedback {
    /// `retry_after`: the longest time to come back that is relayed, 0 where none is; `longest`: when callers
    /// close an idle connection by themselves.
    pub fn new(say: FeedbackMode, retry_after: Us, shortest: Us, longest: Us) -> CallerFeedback {
        let (unread, read, fine) = (Fading::new(ACTIVE), Fading::new(ACTIVE), shortest as f64 * UNREAD);
        CallerFeedback {
            say,
            retry_after,
            unread,
            read,
            fine,
            said: -1.0,
            healthy: None,
            longest,
            idle: longest,
        }
    }
    /// Guards against a table full of connections that bring nothing: they tax the cores and leave callers
    /// without one. While more are open than twice the active callers need, idle ones close sooner. It also
    /// covers a fleet or a crowd of callers that has grown. Harm: a handshake for a caller that pauses.
    fn close_idle(&mut self, open: f64, active: f64, cores: f64) -> Option<Us> {
        let (before, least) = (self.idle, ACTIVE / BEATS);
        if open > (LINKS * active).max(LINKS_PER_CORE * cores) {
            self.idle = (before / 2).max(least).min(self.longest);
        } else if open < LINKS * active / 2.0 {
            self.idle = (before * 2).min(self.longest);
        }
        Some(self.idle).filter(|idle| *idle != before)
    }
}

/// Tenants' shares here: what exceeds them is worth less, so it waits behind the rest.
pub struct TenantQuotas {
    rates: StagedTable<f64>, // over the whole fleet
    rooms: Vec<(f64, Us)>,
    replicas: f64,
    worth: f64,
    pub(crate) part: f64,
}

impl TenantQuotas {
    /// `rates`: RPCs a second of each tenant over the whole fleet; `worth`: of what exceeds them.
    pub fn new(rates: &[f64], replicas: usize, worth: f64) -> TenantQuotas {
        let (rates, rooms) = (StagedTable::new(rates.iter().copied()), vec![(TENANT_RPCS, 0); rates.len()]);
        TenantQuotas { rates, rooms, replicas: replicas.max(1) as f64, worth, part: 1.0 }
    }
    /// One that is new here has a full room: time that passes adds nothing to that.
    fn stage(&mut self, tenant: usize, rate: Option<f64>) {
        if rate.is_some() && self.rates.get(tenant).is_none() {
            self.rooms.resize(self.rooms.len().max(tenant + 1), (TENANT_RPCS, 0));
            self.rooms[tenant] = (TENANT_RPCS, 0);
        }
        self.rates.stage(tenant, rate);
    }
    pub(crate) fn worth(&mut self, now: Us, tenant: Option<usize>) -> f64 {
        let Some((t, rate)) = tenant.and_then(|t| Some((t, self.rates.get(t)?))) else { return 1.0 };
        let Some((room, at)) = self.rooms.get_mut(t) else { return 1.0 };
        *room = (*room + rate / self.replicas * self.part * (now - *at) as f64 / 1e6).min(TENANT_RPCS);
        *at = now;
        let whole = if *room >= 1.0 { 1.0 } else { 0.0 };
        *room -= whole;
        self.worth.max(whole)
    }
}

/// One server's decisions.
pub struct Control {
    now: Us,
    chance: WyRand,
    step: Us,
    stop_mode: StopMode,
    methods: Ranked<Method>, // by criticality
    costs: Ranked<Cost>,     // by mean
    pub(crate) accounts: CallerAccounts,
    target: ConcurrencyLimit,
    hold: AdmissionQueue,
    pub(crate) calls: UpstreamCalls,
    keys: IdempotencyKeys,
    memory: MemoryBudget,
    drain: Drain,
    pub(crate) credit: CallerFeedback,
    pub(crate) shares: TenantQuotas,
    care: RecoveryLimits,
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
        now: Us, seed: u64, step: Us, stop_mode: StopMode, methods: Vec<Method>, accounts: CallerAccounts,
        target: ConcurrencyLimit, calls: UpstreamCalls, keys: IdempotencyKeys, memory: MemoryBudget,
        drain: Drain, credit: CallerFeedback, shares: TenantQuotas,
    ) -> Control {
        let costs = Ranked::new(methods.iter().map(Cost::new).collect(), |cost| cost.mean);
        let methods = Ranked::new(methods, |method| method.criticality);
        let (alarms, at_call, hold) = (BTreeSet::new(), BTreeSet::new(), AdmissionQueue::default());
        let (chance, cores, out) = (WyRand::new_seed(seed), Cores::default(), Outcome::default());
        let care = RecoveryLimits {
            calls_in_flight: f64::INFINITY,
            retry_ratio: f64::INFINITY,
            retry_after_jitter: 0.0,
        };
        #[rustfmt::skip]
        let mut control = Control {
            now, chance, step, stop_mode, methods, costs, accounts, target, hold, calls, keys, memory, drain,
            credit, shares, care, rpcs: BTreeMap::new(), alarms, at_call, cores, out, pace: 1.0, beat: now,
            woken_at: Us::MAX, seq: 0,
        };
        control.share_out();
        control
    }

    /// The start: what to publish and when to wake first.
    pub fn start(&mut self) -> Outcome {
        self.after(self.now, |_| ())
    }

    /// An RPC was read and is held from now on.
    pub fn rpc_read(&mut self, now: Us, arrival: Arrival, tenant: Option<usize>) -> Outcome {
        self.after(now, |c| c.take(arrival, tenant))
    }

    /// No one waits for this RPC any longer. Held ones are over; the rest end with `run_ended`.
    pub fn caller_cancelled(&mut self, now: Us, id: RpcId) -> Outcome {
        self.after(now, |c| c.answered(id))
    }

    /// A run or a join has ended.
    pub fn run_ended(&mut self, now: Us, id: RpcId, end: RunEnd) -> Outcome {
        self.after(now, |c| c.finish(id, end))
    }

    /// A run can't go on without a call below.
    pub fn call_needed(&mut self, now: Us, id: RpcId) -> Outcome {
        self.after(now, |c| c.wait_for_call(id))
    }

    /// A call below has ended.
    pub fn call_ended(&mut self, now: Us, id: RpcId, end: CallEnd) -> Outcome {
        self.after(now, |c| {
            let Some(r) = c.rpcs.get_mut(&id).filter(|r| r.stage == Stage::Calling) else { return };
            let again = r.effect == Idempotency::Idempotent || end == CallEnd::Rejected;
            let again = again && (end == CallEnd::Ok || c.calls.may_repeat(c.now, c.care.retry_ratio));
            r.tries = if again { r.tries - 1 } else { 0 };
            c.calls.ended(c.now, id, end, c.chance.generate::<f64>());
            if end == CallEnd::Ok {
                r.tries = TRIES;
                c.on_cores(id);
            } else {
                c.wait_for_call(id);
            }
        })
    }

    /// The notice to leave came at `noticed`: the process is stopped at `kill`.
    pub fn drain(&mut self, now: Us, noticed: Us, kill: Us) -> Outcome {
        self.after(now, |c| {
            let last = kill.saturating_sub(2 * c.step);
            (c.drain.ends, c.drain.last) = (noticed + c.drain.grace, last);
            for (id, r) in c.rpcs.iter_mut().filter(|(_, r)| !r.answered) {
                c.alarms.remove(&(r.alarm, *id));
                (r.due, r.last_good, r.alarm) = (r.due.min(last), r.last_good.min(last), r.alarm.min(last));
                c.alarms.insert((r.alarm, *id));
            }
            c.out.log.push("notice to leave".into());
        })
    }

    /// Takes terms in beside those in force, in place of what was staged at their places before: nothing of them
    /// shows until `change`. A method that is over stays at its place for what is in hand, with criticality 0,
    /// and what was learned of its cost is there when it is taken up again; a tenant then starts anew.
    pub fn stage(&mut self, terms: &[SettingsUpdate]) {
        for term in terms {
            match term {
                SettingsUpdate::Tenant(tenant, rate) => self.shares.stage(*tenant, *rate),
                SettingsUpdate::Method(MethodId(at), method) => {
                    if self.costs.get(*at).is_none() {
                        self.costs.stage(*at, method.as_ref().map(Cost::new));
                    }
                    self.methods.stage(*at, method.clone());
                }
            }
        }
    }

    /// All that was staged is in force from now on, at once, with the settings of `frame`, of whose methods and
    /// tenants nothing is taken. CallerAccounts, learned costs, target, breaker, what tenants have left, and the terms
    /// under which each RPC was read go on.
    pub fn commit(&mut self, now: Us, frame: Option<Control>) -> Outcome {
        self.after(now, |c| {
            c.methods.commit();
            c.costs.commit();
            c.shares.rates.commit();
            if let Some(frame) = &frame {
                c.take_frame(frame);
            }
            c.share_out();
        })
    }

    fn take_frame(&mut self, frame: &Control) {
        let (target, calls, credit) = (&frame.target, &frame.calls, &frame.credit);
        self.target.target *= target.cores / self.target.cores;
        (self.target.cores, self.target.tip) = (target.cores, target.tip);
        (self.calls.bound, self.calls.window, self.calls.linger) = (calls.bound, calls.window, calls.linger);
        self.calls.divided = calls.divided;
        (self.calls.pause, self.calls.mean.span) = (calls.pause, calls.mean.span);
        (self.keys.kb, self.keys.fresh) = (frame.keys.kb, frame.keys.fresh);
        (self.memory.ram, self.memory.factor) = (frame.memory.ram, frame.memory.factor);
        self.drain.grace = frame.drain.grace;
        (self.credit.say, self.credit.retry_after) = (credit.say, credit.retry_after);
        (self.credit.fine, self.credit.longest) = (credit.fine, credit.longest);
        self.credit.idle = self.credit.idle.min(self.credit.longest);
        (self.shares.replicas, self.shares.worth) = (frame.shares.replicas, frame.shares.worth);
        (self.step, self.stop_mode, self.accounts.span) = (frame.step, frame.stop_mode, frame.accounts.span);
    }

    /// How carefully it comes back, from now on.
    pub fn set_recovery_limits(&mut self, now: Us, care: RecoveryLimits) -> Outcome {
        self.after(now, |c| c.care = care)
    }

    /// Of what the settings divide among servers, this one's part from now on, over what they give it.
    pub fn set_quota_fraction(&mut self, now: Us, part: f64) -> Outcome {
        self.after(now, |c| (c.shares.part, c.calls.part) = (part, part))
    }

    /// What serving an RPC of a method takes, as learned so far, in microseconds; 0 for an unknown one.
    pub fn mean_cost(&self, method: MethodId) -> f64 {
        self.costs.get(method.0).map_or(0.0, |cost| cost.mean)
    }
    /// Memory of what is held and runs, in kB.
    pub fn memory_used_kb(&self) -> f64 {
        self.memory.used
    }

    /// A wake asked for has come.
    pub fn timer_fired(&mut self, now: Us, gauges: Gauges) -> Outcome {
        self.after(now, |c| {
            c.woken_at = if c.now >= c.woken_at { Us::MAX } else { c.woken_at };
            if c.now < c.beat {
                return;
            }
            c.beat = c.now + ACTIVE / BEATS;
            c.keys.until.retain(|_, until| *until > c.now);
            c.target.adjust(c.now, gauges, c.cores.running as f64, c.pace);
            c.share_out();
            let close_idle = |open| c.credit.close_idle(open, c.accounts.active, c.target.cores);
            c.out.close_idle_after = gauges.connections.and_then(close_idle);
            // With nothing to run, nothing tells of a recovery: the pace is forgiven step by step.
            if c.cores.running == 0 {
                c.pace += (1.0 - c.pace) / PACE_MEMORY / BEATS as f64;
            }
        })
    }

    /// Brings the integrals up to now, takes the input in, goes through the rules and hands back what to do.
    fn after(&mut self, now: Us, input: impl FnOnce(&mut Control)) -> Outcome {
        let passed = now.saturating_sub(self.now) as f64;
        self.cores.pass(self.target.target, passed * 1e3);
        let calls = self.calls.in_hand(now);
        self.calls.mean.add(now, calls * passed);
        self.now = now.max(self.now);
        input(self);
        while RULES.iter().any(|rule| rule(self)) {}
        self.publish();
        let next = self.alarms.first().map_or(self.beat, |(t, _)| self.beat.min(*t)).max(self.now + 1);
        if next < self.woken_at {
            self.woken_at = next;
            self.out.wake_after = Some(next - self.now);
        }
        std::mem::take(&mut self.out)
    }

    /// max_cost of the dearest method.
    fn dearest(&self) -> f64 {
        self.costs.greatest(0.0) * VARIES
    }
    fn share_out(&mut self) {
        self.accounts.share_out(self.now, self.target.target, self.dearest());
    }

    /// Guards against work that stops finishing (hang, pause, dead disk): nothing comes on or off the cores.
    /// Harm: a rare run of several times its cost with no other beside it.
    fn still(&self) -> bool {
        let far = FAR * self.dearest();
        self.cores.running > 0 && (self.now - self.cores.touched) as f64 > far
    }

    fn take(&mut self, a: Arrival, tenant: Option<usize>) {
        let (now, id, pace) = (self.now, a.id, if self.pace > VARIES { self.pace } else { 1.0 });
        let (m, cost) = (self.methods.last(a.method.0), self.costs.get(a.method.0));
        let (Some(m), Some(cost)) = (m, cost) else { return self.push_back(id, true, 0.0) };
        let (max_cost, work, whole) = (cost.max_cost() * 1e3 * pace, cost.mean, cost.mean * pace);
        self.credit.unread.add(now, a.unread_for as f64);
        self.credit.read.add(now, 1.0);
        let buf_value = self.accounts.hear(now, a.caller);
        let arrived = now.saturating_sub(a.unread_for);
        let (late, last) = (arrived >= self.drain.ends, self.drain.last);
        let due = a.deadline.unwrap_or(arrived + m.deadline).saturating_sub(2 * self.step).min(last);
        // While RPCs wait, one that would be late is not worth the cores that one in time could have.
        let good = due.min(arrived + m.latency_target);
        let last_good = if m.late_value_ratio > 0.0 { due } else { good };
        let criticality = if self.has_method(a.method) { m.criticality } else { 0.0 };
        let worth = criticality * self.shares.worth(now, tenant);
        self.seq += 1;
        let mut place = (Reverse((worth * 1e6) as u64), Reverse(0), self.seq, id);
        let keep = match m.idempotency {
            Idempotency::Keyed => m.idempotency_window.saturating_sub(a.unread_for) + self.step,
            Idempotency::Idempotent if a.cache_key.is_some() && self.keys.fresh > 0 => {
                whole as Us + self.keys.fresh
            }
            _ => 0,
        };
        // A repeat waits for the one it repeats. That one may have run, so a repeat is never pushed back.
        let joins = a.original.is_some() && m.idempotency != Idempotency::NonIdempotent;
        let (effect, skip_value_ratio, booked) = (m.idempotency, m.skip_value_ratio, a.size_kb);
        let (caller, stage) = (a.caller, if joins { Stage::Joined } else { Stage::Held });
        self.memory.used += a.size_kb;
        #[rustfmt::skip]
        self.rpcs.insert(id, Rpc {
            a, stage, place, due, last_good, alarm: Us::MAX, work, taken: 0.0, since: (now, 0.0), served: 0.0,
            penalty: 0.0, answered: false, tries: TRIES, effect, skip_value_ratio, booked,
        });
        if joins {
            let room = now < due && self.memory.fits(self.keys.used(), 0.0);
            self.out.coalesced.extend(Some(id).filter(|_| room));
            return self.set_alarm(id, if room { due } else { now });
        }
        let fits = self.memory.fits(self.keys.used() + if keep > 0 { self.keys.kb } else { 0.0 }, 0.0);
        let over = now as f64 + self.hold.ahead(place.0) * pace / self.target.target + whole - good as f64;
        let (hopeless, still) = (over > 0.0 && self.cores.running > 0, self.still());
        if late || now >= due || !fits || hopeless || still {
            return self.push_back(id, hopeless && !still, if hopeless { over } else { 0.0 });
        }
        let top = self.methods.greatest(f64::MIN_POSITIVE);
        let reserve = self.accounts.buf_limit * RESERVE * (1.0 - worth / top);
        let full = self.cores.running as f64 >= self.target.target && !self.hold.order.is_empty();
        if full && buf_value < max_cost + reserve {
            return self.push_back(id, true, (max_cost + reserve - buf_value) / self.accounts.mrr * 1e3);
        }
        let (taken, fill) = self.accounts.take(now, caller, max_cost);
        place.1 = Reverse((fill * 1e6) as u64);
        self.rpcs.entry(id).and_modify(|r| (r.taken, r.place) = (taken, place));
        self.hold.order.insert(place);
        *self.hold.work.entry(place.0).or_default() += work;
        if keep > 0 {
            self.keys.until.insert(id, now + keep);
            self.out.retained_keys.push((id, keep));
        }
        // With nothing on the cores this one is a trial, whatever the estimates say.
        let start = if self.cores.running > 0 { good.saturating_sub(whole as Us) } else { good };
        self.set_alarm(id, start.max(now));
    }

    fn set_alarm(&mut self, id: RpcId, at: Us) {
        if let Some(r) = self.rpcs.get_mut(&id) {
            self.alarms.remove(&(r.alarm, id));
            r.alarm = at;
            self.alarms.insert((at, id));
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
        let runs = |r: &&mut Rpc| matches!(r.stage, Stage::Running | Stage::Calling);
        let Some(r) = self.rpcs.get_mut(&id).filter(runs) else { return };
        if r.stage == Stage::Running {
            self.cores.leave(r, self.now);
        }
        r.stage = Stage::AtCall;
        if !r.answered {
            self.at_call.insert(r.place);
            let mean = self.costs.get(r.a.method.0).map_or(0.0, |cost| cost.mean);
            let finish = (mean * FINISH) as Us + 2 * self.step;
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
            Stage::Running if self.stop_mode != StopMode::Off => self.out.cancellations.push(id),
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
        self.memory.used -= r.booked;
        if r.taken > 0.0 {
            self.accounts.correct(self.now, r.a.caller, r.taken, 0.0, 0.0);
        }
        if self.keys.until.remove(&id).is_some() {
            self.out.released_keys.push(id);
        }
    }

    /// `wait`: from now until an RPC like it could be taken. Waiting for long costs clients their target.
    fn push_back(&mut self, id: RpcId, terminal: bool, wait: f64) {
        // Guards against callers who were turned away together and come back so. Harm: some wait longer.
        let far = if self.care.retry_after_jitter > 0.0 {
            self.care.retry_after_jitter * self.chance.generate::<f64>()
        } else {
            0.0
        };
        let retry_after = ((wait.min(self.credit.fine) * (1.0 + far)) as Us).min(self.credit.retry_after);
        self.out.answers.push((id, Answer::Rejected { terminal, retry_after }));
        self.answered(id);
    }

    fn finish(&mut self, id: RpcId, end: RunEnd) {
        if let Some(r) = self.rpcs.get_mut(&id).filter(|r| r.stage == Stage::Running) {
            self.cores.leave(r, self.now);
        }
        self.answered(id);
        let Some(r) = self.rpcs.remove(&id) else { return };
        self.memory.used -= r.booked;
        // A quick failure spent what it was taken for: it must not refill the account.
        let real_cost = if end == RunEnd::Aborted { r.taken } else { r.served * 1e3 };
        self.accounts.correct(self.now, r.a.caller, r.taken, real_cost, r.penalty * PENALTY);
        // A run that was stopped took at least as long; what a slow server takes is not learned as the cost.
        let Some(Cost { n, mean }) = self.costs.get(r.a.method.0) else { return };
        let (few, ratio) = (*n < PACE_MEMORY, (r.served / mean).min(2.0 * FAR));
        if end == RunEnd::Ok || ratio > self.pace {
            self.pace += (ratio - self.pace) / PACE_MEMORY;
        }
        if end == RunEnd::Ok && (self.pace < VARIES || few) {
            self.costs.alter(r.a.method.0, |cost| cost.learn(r.served));
        }
    }

    fn publish(&mut self) {
        // Guards against arrivals outrunning the reading: what callers send is cut as the time unread grows.
        let unread = self.credit.unread.add(self.now, 0.0) / self.credit.read.add(self.now, 0.0).max(1.0);
        let (crowd, target) = ((unread / self.credit.fine).max(1.0), self.target.target);
        let still = self.still();
        let healthy = self.drain.ends == Us::MAX && !still;
        if self.credit.healthy.replace(healthy) != Some(healthy) {
            self.out.healthy = Some(healthy);
            self.out.log.extend(still.then(|| "health off: work stopped finishing".into()));
        }
        // Leaving, it takes what comes within the grace: those who stay may not have room for all at once.
        let over = self.now >= self.drain.ends.saturating_sub(ACTIVE / BEATS);
        if over && std::mem::take(&mut self.drain.open) {
            self.out.close_idle_after = Some(0);
        }
        let idle = (self.cores.running as f64) < target && self.hold.order.is_empty() && crowd <= 1.0;
        let share =
            target / (target + self.hold.order.len() as f64) / crowd * f64::from(u8::from(!over && !still));
        let part = (target + self.calls.in_hand(self.now)) / self.accounts.active;
        // Guards a cold server against the sum of what all callers send, those not met yet included: what they
        // may have out here together is what it survives now. Harm: callers that are few use a part of that.
        let speed = self.target.speed(self.now);
        let callers = self.accounts.known.max(self.accounts.active);
        let most = if speed < 1.0 { self.target.survives(self.now) / callers } else { f64::INFINITY };
        let value = match self.credit.say {
            FeedbackMode::Off => return,
            FeedbackMode::Threshold => 1.0 - share.min(speed),
            FeedbackMode::AcceptProbability => share.min(speed),
            FeedbackMode::Credit if over || still => 0.0,
            FeedbackMode::Credit if idle => self.target.max_parallel_reqs(self.now).min(most),
            FeedbackMode::Credit => (part * (1.0 + SPARE_PART * part.min(1.0)) / crowd).min(most),
        };
        if (value - self.credit.said).abs() > CREDIT_STEP * self.credit.said.max(0.0) {
            self.credit.said = value;
            self.out.credit = Some(value);
        }
    }

    /// What falls due is answered. A held RPC that can't be ok in time any more is pushed back; at a call
    /// that can be skipped, what remains is done without it.
    fn rule_due(&mut self) -> bool {
        let first = self.alarms.first().filter(|(t, _)| *t <= self.now);
        let Some((_, id)) = first.copied() else { return false };
        match self.rpcs.get(&id) {
            Some(r) if r.stage == Stage::Held => self.push_back(id, true, 0.0),
            Some(r) if r.stage == Stage::AtCall && self.skippable(r) => {
                self.at_call.remove(&r.place);
                self.out.skipped_calls.push(id);
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
        r.skip_value_ratio > 0.0 && self.now < r.last_good
    }

    /// A call is placed within the bound; it is skipped, or the RPC given up, once calling has no prospect.
    fn rule_call(&mut self) -> bool {
        let shut = self.calls.shut(self.now);
        let room = !shut && self.calls.room(self.now, self.care.calls_in_flight);
        let ready = |p: &&Place| {
            self.rpcs.get(&p.3).is_some_and(|r| room || r.tries == 0 || shut && self.skippable(r))
        };
        let Some(place) = self.at_call.iter().find(ready).copied() else { return false };
        let (id, r) = (place.3, &self.rpcs[&place.3]);
        let (wait, due) = (r.alarm.saturating_sub(self.now), r.due);
        if !room || r.tries == 0 || wait == 0 {
            self.set_alarm(id, self.now);
            return self.rule_due();
        }
        self.at_call.remove(&place);
        self.calls.placed += 1;
        self.calls.firsts.add(self.now, f64::from(u8::from(r.tries == TRIES)));
        self.calls.trial = Some(id).filter(|_| self.calls.failures >= FAILURES);
        self.out.calls.push((id, wait));
        self.rpcs.entry(id).and_modify(|r| r.stage = Stage::Calling);
        self.set_alarm(id, due);
        true
    }

    /// The first in the hold starts while fewer than max_parallel_reqs run and its memory fits.
    fn rule_run(&mut self) -> bool {
        // All that is at a call may come back at once: together they stay under the crowd survived.
        let placed = self.calls.placed as f64;
        let survives = self.target.survives(self.now).max(1.0) - placed - self.at_call.len() as f64;
        let most = (self.target.max_parallel_reqs(self.now) - CALLING * placed).min(survives);
        let Some(place) = self.hold.order.first().copied() else { return false };
        let r = &self.rpcs[&place.3];
        let (more, work) = (r.a.size_kb * (self.memory.factor - 1.0), r.work);
        if self.cores.running as f64 + 1.0 > most || !self.memory.fits(self.keys.used(), more) {
            return false;
        }
        self.memory.used += more;
        self.rpcs.entry(place.3).and_modify(|r| r.booked += more);
        self.hold.drop(place, work);
        self.on_cores(place.3);
        self.out.starts.push(place.3);
        true
    }
}

/// Gone through in this order after every input until none fires.
const RULES: &[fn(&mut Control) -> bool] = &[Control::rule_due, Control::rule_call, Control::rule_run];
