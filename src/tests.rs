//! Seeded random runs that check the four rules after every step by a count of their own, and plain cases.

use crate::caller_accounts::Charge;
use crate::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};

const MS: Us = 1_000;
const STEP: Us = 2 * MS;
const SLACK: Us = 100 * MS;
const GRACE: Us = 400 * MS;
const CORES: usize = 4;

/// One server as drawn for a run.
#[derive(Clone, Debug)]
struct Drawn {
    effects: Vec<Idempotency>,
    skip: f64,
    late: f64,
    stop_mode: StopMode,
    below: Upstream,
    say: FeedbackMode,
    cold: f64,
    tip: f64,
    ram: f64,
    passes_due: bool,
}

impl Default for Drawn {
    fn default() -> Drawn {
        let (effects, below) = (vec![Idempotency::Idempotent; 2], Upstream::Absent);
        let (stop_mode, say, ram) = (StopMode::Abort, FeedbackMode::Credit, 1e6);
        Drawn {
            effects,
            skip: 0.0,
            late: 0.0,
            stop_mode,
            below,
            say,
            cold: 1.0,
            tip: 8.0,
            ram,
            passes_due: true,
        }
    }
}

impl Drawn {
    fn from(g: &mut Gen) -> Drawn {
        let effects = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
        let quota = *g.choose(&[0.7, 2.0, 5.5]).unwrap();
        Drawn {
            effects: vec![*g.choose(&effects).unwrap(), *g.choose(&effects).unwrap()],
            skip: *g.choose(&[0.0, 0.5]).unwrap(),
            late: *g.choose(&[0.0, 0.2]).unwrap(),
            stop_mode: *g.choose(&[StopMode::Off, StopMode::Abort, StopMode::Suspend]).unwrap(),
            below: *g
                .choose(&[Upstream::Absent, Upstream::Tier, Upstream::Shared { quota, window: 5_000 * MS }])
                .unwrap(),
            say: *g
                .choose(&[
                    FeedbackMode::Off,
                    FeedbackMode::Credit,
                    FeedbackMode::Threshold,
                    FeedbackMode::AcceptProbability,
                ])
                .unwrap(),
            cold: *g.choose(&[0.2, 1.0]).unwrap(),
            tip: *g.choose(&[3.0, 8.0]).unwrap(),
            ram: *g.choose(&[150.0, 400.0, 1e6]).unwrap(),
            passes_due: *g.choose(&[true, true, false]).unwrap(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum At {
    Held,
    Joined(RpcId),
    Running,
    Stalled,
    Calling(Us),
}

#[derive(Clone, Debug)]
struct Seen {
    method: usize,
    arrived: Us,
    due: Us,
    at: At,
    owed: bool,
    ran: bool,
    unsafe_call: bool,
    over: bool,
}

/// What an onlooker knows of one server; every rule is checked on it, never on the module's own figures.
struct World {
    drawn: Drawn,
    control: Control,
    now: Us,
    wakes: BTreeSet<Us>,
    rpcs: BTreeMap<RpcId, Seen>,
    keys: BTreeMap<RpcId, Us>,
    lingering: Vec<Us>,
    load: Vec<(Us, f64, f64)>,
    drain: Option<(Us, Us)>,
    credit: Option<f64>,
    health: Option<bool>,
    last: Outcome,
    next: u64,
}

const KB: f64 = 10.0;
const FACTOR: f64 = 4.0;
const KEY_KB: f64 = 3.0;

impl World {
    fn new(drawn: Drawn, seed: u64) -> World {
        let now = 5_000 * MS;
        let method = |(i, effect): (usize, &Idempotency)| Method {
            latency_target: 500 * MS,
            deadline: 1_500 * MS,
            idempotency: *effect,
            criticality: 1.0 + 2.0 * i as f64,
            late_value_ratio: drawn.late,
            idempotency_window: 2_000 * MS,
            skip_value_ratio: drawn.skip,
        };
        let methods: Vec<Method> = drawn.effects.iter().enumerate().map(method).collect();
        let control = Control::new(
            now,
            seed,
            ControlParts {
                step: STEP,
                stop_mode: drawn.stop_mode,
                methods,
                accounts: CallerAccounts::new(500 * MS, 3),
                concurrency: ConcurrencyLimit::new(now, CORES, drawn.tip, drawn.cold, 3_000 * MS),
                calls: UpstreamCalls::new(drawn.below, CORES, 200 * MS, 500 * MS),
                keys: IdempotencyKeys::new(KEY_KB, 0),
                memory: MemoryBudget::new(drawn.ram, FACTOR),
                drain: Drain::new(GRACE),
                feedback: CallerFeedback::new(drawn.say, 1_000 * MS, 500 * MS, 30_000 * MS),
                quotas: TenantQuotas::new(&[], 3, 1.0),
            },
        );
        let (wakes, rpcs, keys) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let (lingering, load, last) = (Vec::new(), Vec::new(), Outcome::default());
        let mut world = World {
            drawn,
            control,
            now,
            wakes,
            rpcs,
            keys,
            lingering,
            load,
            drain: None,
            credit: None,
            health: None,
            last,
            next: 0,
        };
        let first = world.control.start();
        world.apply(first);
        world
    }

    fn id(&self, n: u64) -> RpcId {
        RpcId::new(&format!("rpc-{n}")).unwrap()
    }

    fn read(&mut self, method: usize, caller: u64, unread: Us, patience: Us, prior: Option<RpcId>) -> RpcId {
        let id = self.id(self.next);
        self.next += 1;
        let arrived = self.now - unread;
        let due = if self.drawn.passes_due { arrived + patience } else { arrived + 1_500 * MS };
        let at = prior.map_or(At::Held, At::Joined);
        let (due_seen, method_id) = (due.max(self.now), MethodId(method));
        let seen = Seen {
            method,
            arrived,
            due: due_seen,
            at,
            owed: true,
            ran: false,
            unsafe_call: false,
            over: false,
        };
        self.rpcs.insert(id, Seen { at: At::Held, ..seen });
        let due = self.drawn.passes_due.then_some(due);
        let (caller, size_kb) = (CallerId(caller), KB);
        let a = Arrival {
            id,
            method: method_id,
            caller,
            deadline: due,
            size_kb,
            unread_for: unread,
            retry_or_hedge: false,
            original: prior,
            cache_key: None,
        };
        let out = self.control.rpc_read(self.now, a, None);
        self.apply(out);
        id
    }

    /// Carries an outcome out as the wire would, checking what it may do.
    fn apply(&mut self, out: Outcome) {
        for (id, answer) in &out.answers {
            let r = self.rpcs.get_mut(id).expect("an RPC that was read");
            assert!(r.owed, "{id:?} answered twice");
            r.owed = false;
            let single = self.drawn.effects[r.method] != Idempotency::Idempotent;
            if let Answer::Rejected { .. } = answer {
                assert!(!(single && r.ran), "{id:?} pushed back after it ran");
            }
            r.over = matches!(r.at, At::Held | At::Joined(_));
            if let At::Calling(_) = r.at {
                self.lingering.push(self.now + 200 * MS);
            }
            if matches!(r.at, At::Calling(_) | At::Stalled) {
                r.at = At::Stalled;
            }
        }
        for id in &out.cancellations {
            assert!(self.drawn.stop_mode != StopMode::Off);
            assert!(!self.rpcs[id].owed, "{id:?} stopped with its answer owed");
        }
        for (id, span) in &out.retained_keys {
            self.keys.insert(*id, self.now + span);
        }
        for id in &out.released_keys {
            self.keys.remove(id);
        }
        for id in &out.coalesced {
            self.rpcs.get_mut(id).unwrap().at = At::Joined(*id);
        }
        for id in &out.starts {
            let r = self.rpcs.get_mut(id).unwrap();
            assert!(r.at == At::Held && r.owed && !r.ran, "{id:?} started out of turn");
            assert!(
                self.drain.is_none_or(|(notice, _)| r.arrived < notice + GRACE),
                "{id:?} run after the grace"
            );
            let tokened = self.drawn.effects[r.method] == Idempotency::Keyed;
            assert!(!tokened || self.keys.contains_key(id), "{id:?} run without its key kept");
            (r.at, r.ran) = (At::Running, true);
        }
        for (id, wait) in &out.calls {
            let r = self.rpcs.get_mut(id).unwrap();
            assert!(r.at == At::Stalled && r.owed && *wait > 0);
            assert!(!r.unsafe_call, "{id:?} calls again after a call that may have run");
            r.at = At::Calling(self.now + wait);
        }
        for id in &out.skipped_calls {
            let r = self.rpcs.get_mut(id).unwrap();
            assert!(r.at == At::Stalled && self.drawn.skip > 0.0);
            r.at = At::Running;
        }
        self.credit = out.credit.or(self.credit);
        self.health = out.healthy.or(self.health);
        assert!(out.credit.is_none() || self.drawn.say != FeedbackMode::Off);
        assert!(out.credit.is_none_or(|c| c >= 0.0 && c.is_finite()));
        self.wakes.extend(out.wake_after.map(|span| self.now + span));
        self.last = out;
        let now = self.now;
        self.keys.retain(|_, until| *until > now);
        self.lingering.retain(|until| *until > now);
        let open = self.rpcs.values().filter(|r| !r.over);
        let need = |r: &Seen| if matches!(r.at, At::Held | At::Joined(_)) { KB } else { KB * FACTOR };
        let memory = open.map(need).sum::<f64>() + self.keys.len() as f64 * KEY_KB;
        let ram = self.drawn.ram;
        assert!(memory <= ram, "memory {memory} over {ram}");
        let running = self.count(|r| r.at == At::Running);
        let calls = self.count(|r| matches!(r.at, At::Calling(_))) + self.lingering.len() as f64;
        self.load.push((now, running, calls));
    }

    fn count(&self, of: impl Fn(&Seen) -> bool) -> f64 {
        self.rpcs.values().filter(|r| !r.over && of(r)).count() as f64
    }

    /// Mean over a span that ends now.
    fn mean(&self, span: Us, of: impl Fn(&(Us, f64, f64)) -> f64) -> f64 {
        let (from, mut sum, mut until) = (self.now.saturating_sub(span), 0.0, self.now);
        for point in self.load.iter().rev() {
            sum += of(point) * until.saturating_sub(point.0.max(from)) as f64;
            until = until.min(point.0.max(from));
        }
        sum / span as f64
    }

    fn check(&self) {
        for (id, r) in &self.rpcs {
            assert!(!r.owed || self.now < r.due + SLACK, "{id:?} lost: due {} now {}", r.due, self.now);
            assert!(
                !r.owed || self.drain.is_none_or(|(_, kill)| self.now < kill),
                "{id:?} unanswered at the kill"
            );
        }
        let speed =
            self.drawn.cold + (1.0 - self.drawn.cold) * (self.now as f64 / 1e3 - 5_000.0).min(3_000.0) / 3e3;
        let survives = (1.0 + (self.drawn.tip - 1.0) * speed) * CORES as f64;
        assert!(self.mean(2_000 * MS, |p| p.1) <= survives, "the cores are crowded");
        if let Upstream::Shared { quota, window } = self.drawn.below {
            assert!(self.mean(window, |p| p.2) <= quota.max(1.0), "the dependency is loaded past our share");
        }
    }

    /// Lets time pass, with every wake and time-out on the way.
    fn pass(&mut self, span: Us) {
        let until = self.now + span;
        loop {
            let wake = self.wakes.first().copied().unwrap_or(Us::MAX);
            let timeout = |(id, r): (&RpcId, &Seen)| match r.at {
                At::Calling(at) if !r.over => Some((at, *id)),
                _ => None,
            };
            let call = self.rpcs.iter().filter_map(timeout).min();
            let next = wake.min(call.map_or(Us::MAX, |(at, _)| at));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            match call {
                Some((at, id)) if at <= wake => self.end_call(id, CallEnd::TimedOut),
                _ => {
                    self.wakes.remove(&wake);
                    let out = self
                        .control
                        .timer_fired(self.now, Gauges { runnable: Some(1.0), ..Gauges::default() });
                    self.apply(out);
                }
            }
            self.check();
        }
        self.now = until;
    }

    fn end_run(&mut self, id: RpcId, end: RunEnd) {
        let r = self.rpcs.get_mut(&id).unwrap();
        r.over = true;
        r.owed &= !matches!(end, RunEnd::Ok | RunEnd::Aborted);
        let out = self.control.run_ended(self.now, id, end);
        self.apply(out);
    }

    fn need_call(&mut self, id: RpcId) {
        self.rpcs.get_mut(&id).unwrap().at = At::Stalled;
        let out = self.control.call_needed(self.now, id);
        self.apply(out);
    }

    fn end_call(&mut self, id: RpcId, end: CallEnd) {
        let r = self.rpcs.get_mut(&id).unwrap();
        r.at = if end == CallEnd::Ok { At::Running } else { At::Stalled };
        r.unsafe_call |= self.drawn.effects[r.method] != Idempotency::Idempotent
            && matches!(end, CallEnd::Aborted | CallEnd::TimedOut);
        if end == CallEnd::TimedOut {
            self.lingering.push(self.now + 200 * MS);
        }
        let out = self.control.call_ended(self.now, id, end);
        self.apply(out);
    }

    fn leave(&mut self, id: RpcId) {
        let r = self.rpcs.get_mut(&id).unwrap();
        r.owed = false;
        r.over = matches!(r.at, At::Held | At::Joined(_));
        if let At::Calling(_) = r.at {
            self.lingering.push(self.now + 200 * MS);
            r.at = At::Stalled;
        }
        let out = self.control.caller_cancelled(self.now, id);
        self.apply(out);
    }

    fn pick(&self, n: usize, of: impl Fn(&Seen) -> bool) -> Option<RpcId> {
        let ids: Vec<RpcId> = self.rpcs.iter().filter(|(_, r)| !r.over && of(r)).map(|(id, _)| *id).collect();
        ids.get(n % ids.len().max(1)).copied()
    }

    fn step(&mut self, what: u8, n: usize) {
        let span = (n as Us % 40) * MS;
        match what % 16 {
            0..=4 => {
                let patience = [40, 300, 1_500][n % 3] * MS;
                self.read(n % 2, n as u64 % 3, span.min(30 * MS), patience, None);
            }
            5 => {
                let tokened =
                    |r: &Seen| self.drawn.effects[r.method] == Idempotency::Keyed && r.at == At::Held;
                if let Some(prior) = self.pick(n, tokened).filter(|id| self.keys.contains_key(id)) {
                    let method = self.rpcs[&prior].method;
                    self.read(method, n as u64 % 3, 0, 1_000 * MS, Some(prior));
                }
            }
            6..=8 => {
                if let Some(id) = self.pick(n, |r| r.at == At::Running) {
                    let answered = !self.rpcs[&id].owed;
                    let end = if n.is_multiple_of(7) { RunEnd::Aborted } else { RunEnd::Ok };
                    self.end_run(id, if answered { RunEnd::Stopped } else { end });
                }
            }
            9 | 10 => {
                if let Some(id) =
                    self.pick(n, |r| r.at == At::Running).filter(|_| self.drawn.below != Upstream::Absent)
                {
                    self.need_call(id);
                }
            }
            11 => {
                if let Some(id) = self.pick(n, |r| matches!(r.at, At::Calling(_))) {
                    let ends =
                        [CallEnd::Ok, CallEnd::Ok, CallEnd::Aborted, CallEnd::TimedOut, CallEnd::Rejected];
                    self.end_call(id, ends[n % 5]);
                }
            }
            12 => {
                if let Some(id) = self.pick(n, |r| !r.owed && r.at == At::Stalled) {
                    self.end_run(id, RunEnd::Stopped);
                }
                if let Some(id) = self.pick(n, |r| r.owed).filter(|_| n.is_multiple_of(3)) {
                    self.leave(id);
                }
            }
            13 if self.drain.is_none() && n.is_multiple_of(10) => {
                let kill = self.now + [600, 3_000][n / 10 % 2] * MS;
                self.drain = Some((self.now, kill));
                let out = self.control.drain(self.now, self.now, kill);
                self.apply(out);
            }
            _ => self.pass(span),
        }
        self.check();
    }
}

#[test]
fn the_rules_hold_after_every_step() {
    fn holds(seed: u64, steps: Vec<(u8, u16)>) -> bool {
        let mut g = Gen::from_size_and_seed(10, seed);
        let mut world = World::new(Drawn::from(&mut g), seed);
        for (what, n) in &steps {
            world.step(*what, usize::from(*n));
        }
        world.pass(4_000 * MS);
        world.check();
        true
    }
    let mut runs = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(400, 7));
    runs.quickcheck(holds as fn(u64, Vec<(u8, u16)>) -> bool);
}

fn quiet() -> World {
    World::new(Drawn::default(), 1)
}

fn busy(world: &mut World, runs: usize) -> Vec<RpcId> {
    (0..runs).map(|_| world.read(0, 0, 0, 1_500 * MS, None)).collect()
}

#[test]
fn an_account_recharges_by_mrr_and_is_corrected_in_the_order_of_the_source() {
    let (caller, mut accounts) = (CallerId(1), CallerAccounts::new(500 * MS, 1));
    accounts.redistribute(0, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.buf_limit), (4e6, 1e9));
    assert_eq!(accounts.charge(0, caller, 6e8), Charge { amount: 6e8, relative_buffer: 0.4 });
    accounts.correct(0, caller, 6e8, 5e8, 3e8);
    assert_eq!(accounts.recharge(0, caller).buf_value, 4e8, "the penalty ate the positive correction");
    accounts.correct(0, caller, 6e8, 1e8, -9e9);
    assert_eq!(accounts.recharge(0, caller).buf_value, 9e8, "a debt is never turned into a gift");
    assert_eq!(accounts.recharge(10 * MS, caller).buf_value, 9.4e8);
    assert_eq!(accounts.recharge(1_000 * MS, caller).buf_value, 1e9, "capped at buf_limit");
    assert_eq!(accounts.charge(1_000 * MS, caller, 3e9).amount, 1e9, "no more is taken than there is");
}

#[test]
fn a_quick_failure_refills_nothing() {
    let mut world = quiet();
    let before = world.control.accounts.recharge(world.now, CallerId(0)).buf_value;
    let id = world.read(0, 0, 0, 1_500 * MS, None);
    let taken = before - world.control.accounts.recharge(world.now, CallerId(0)).buf_value;
    assert!(taken > 0.0);
    world.end_run(id, RunEnd::Aborted);
    assert_eq!(before - world.control.accounts.recharge(world.now, CallerId(0)).buf_value, taken);
}

#[test]
fn the_hold_goes_by_criticality_then_by_relative_buffer() {
    let mut world = quiet();
    let running = busy(&mut world, CORES + 1);
    let thick = world.read(0, 0, 0, 1_500 * MS, None);
    let thin = world.read(0, 1, 0, 1_500 * MS, None);
    let dear = world.read(1, 2, 0, 1_500 * MS, None);
    for (i, next) in [dear, thin, thick].into_iter().enumerate() {
        world.end_run(running[i], RunEnd::Ok);
        assert_eq!(world.rpcs[&next].at, At::Running, "turn {i}");
    }
}

#[test]
fn an_account_short_of_max_cost_is_pushed_back_early_with_a_time_to_come_back() {
    let mut world = quiet();
    busy(&mut world, 40);
    let early = world.rpcs.values().filter(|r| !r.owed).count();
    assert!(early > 0);
    let answer = world.last.answers.last().expect("the last one is short").1;
    let told = matches!(answer, Answer::Rejected { retry_after: 1..=50_000, .. });
    assert!(told, "a tenth of the shortest latency target at most");
}

#[test]
fn the_target_rises_while_cores_idle_and_never_falls_below_cores() {
    let mut target = ConcurrencyLimit::new(0, 4, 8.0, 1.0, MS);
    let idle = Gauges { runnable: Some(2.0), ..Gauges::default() };
    target.adjust(MS, idle, 4.0, 1.0);
    assert!(target.target > 4.0);
    (0..50).for_each(|_| target.adjust(MS, idle, 99.0, 1.0));
    assert!(target.max_parallel_reqs(MS) <= target.survivable(MS) + 1e-9);
    (0..500).for_each(|_| target.adjust(MS, idle, 99.0, 9.0));
    assert_eq!(target.target, 4.0);
    let cold = ConcurrencyLimit::new(0, 4, 8.0, 0.2, 1_000 * MS);
    assert!(
        cold.survivable(0) < cold.survivable(500 * MS)
            && cold.survivable(500 * MS) < cold.survivable(MS * MS)
    );
}

#[test]
fn calls_stop_after_failures_in_a_row_and_return_by_a_single_trial() {
    let mut calls = UpstreamCalls::new(Upstream::Tier, 4, 0, 500 * MS);
    let id = RpcId::new("a").unwrap();
    for _ in 0..20 {
        calls.call_ended(0, id, CallEnd::Aborted, 0.5);
    }
    assert!(calls.breaker_open(100 * MS) && !calls.breaker_open(400 * MS));
    calls.trial = Some(id);
    assert!(calls.breaker_open(400 * MS), "one trial at a time");
    calls.call_ended(400 * MS, id, CallEnd::TimedOut, 0.5);
    assert!(calls.breaker_open(500 * MS), "a failed trial opens it again");
    calls.call_ended(900 * MS, id, CallEnd::Ok, 0.5);
    assert!(!calls.breaker_open(900 * MS));
}

#[test]
fn work_that_stops_finishing_stops_the_taking_until_a_run_ends() {
    let mut world = quiet();
    let running = busy(&mut world, CORES);
    world.pass(1_200 * MS);
    assert_eq!(world.health, Some(false));
    let turned_away = world.read(1, 2, 0, 1_500 * MS, None);
    assert!(!world.rpcs[&turned_away].owed);
    world.end_run(running[0], RunEnd::Ok);
    assert_eq!(world.health, Some(true));
}

#[test]
fn connections_that_bring_nothing_close_sooner_and_stay_open_again_once_they_are_few() {
    let mut world = quiet();
    world.read(0, 0, 0, 1_500 * MS, None);
    let mut beat = |links| {
        world.now += 100 * MS;
        world
            .control
            .timer_fired(world.now, Gauges { connections: Some(links), ..Gauges::default() })
            .close_idle_after
    };
    assert_eq!(beat(10.0 * CORES as f64), None, "a few for each core are no crowd");
    assert_eq!((beat(90.0), beat(90.0)), (Some(15_000 * MS), Some(7_500 * MS)));
    for _ in 0..20 {
        assert!(beat(90.0).is_none_or(|span| span >= 100 * MS), "never shorter than a beat");
    }
    let grown: Vec<Us> = (0..20).filter_map(|_| beat(0.0)).collect();
    assert_eq!(grown.last(), Some(&(30_000 * MS)), "and no longer than callers keep them");
}

#[test]
fn an_idle_server_takes_callers_whose_patience_differs() {
    let mut world = quiet();
    world.read(0, 0, 0, 1_500 * MS, None);
    let hasty = world.read(0, 0, 0, 400 * MS, None);
    assert_eq!(world.rpcs[&hasty].at, At::Running, "a shorter wait is no sign of an old try");
}

#[test]
fn a_server_that_is_slow_and_behind_stays_on_the_list() {
    let mut world = quiet();
    for _ in 0..40 {
        let id = world.read(0, 0, 400 * MS, 1_500 * MS, None);
        world.pass(400 * MS);
        if world.rpcs[&id].ran && !world.rpcs[&id].over {
            world.end_run(id, RunEnd::Ok);
        }
    }
    assert!(world.credit.unwrap() < 1.0, "callers are asked to send less");
    assert_eq!(world.health, Some(true), "leaving would push the others over");
}

#[test]
fn what_ranks_low_is_pushed_back_early_when_its_wait_would_be_in_vain() {
    let mut world = quiet();
    busy(&mut world, CORES + 1);
    let high: Vec<RpcId> = (1..8).map(|caller| world.read(1, caller, 0, 1_500 * MS, None)).collect();
    assert!(high.iter().all(|id| world.rpcs[id].owed));
    let low = world.read(0, 9, 0, 1_500 * MS, None);
    assert!(!world.rpcs[&low].owed, "seven above it, and more of them to come");
}

#[test]
fn thousands_of_callers_share_the_target_by_those_heard_in_the_last_second() {
    let mut accounts = CallerAccounts::new(500 * MS, 3_000);
    for caller in 0..3_000 {
        accounts.record_seen(caller * MS, CallerId(caller));
    }
    accounts.redistribute(3_000 * MS, 4.0, 1.6e3);
    assert_eq!(accounts.mrr, 4e6 / 1_000.0);
    accounts.redistribute(90_000 * MS, 4.0, 1.6e3);
    assert_eq!((accounts.mrr, accounts.accounts.len()), (4e6, 0), "long unused accounts are forgotten");
}

#[test]
fn a_tenant_ranks_lower_only_well_above_its_share() {
    let mut shares = TenantQuotas::new(&[10.0], 5, 0.1);
    let taken =
        |shares: &mut TenantQuotas, now| (0..20).filter(|_| shares.take_weight(now, Some(0)) == 1.0).count();
    assert_eq!(taken(&mut shares, 0), 10, "ten at once are chance where two a second are its share");
    assert_eq!(taken(&mut shares, 2_000 * MS), 4);
    assert_eq!(shares.take_weight(2_000 * MS, None), 1.0, "no tenant, no share");
}

#[test]
fn credit_is_cut_while_arrivals_lie_unread() {
    let mut world = quiet();
    let open = world.credit.unwrap();
    for _ in 0..4 {
        world.read(0, 0, 300 * MS, 1_500 * MS, None);
    }
    assert!(world.credit.unwrap() < open / 3.0);
}

#[test]
fn a_notice_to_leave_turns_health_off_and_the_credit_once_what_arrives_is_late() {
    let mut world = quiet();
    let kill = world.now + 3_000 * MS;
    world.drain = Some((world.now, kill));
    let out = world.control.drain(world.now, world.now, kill);
    world.apply(out);
    assert!(world.health == Some(false) && world.credit > Some(0.0), "what comes within the grace is run");
    let early = world.read(0, 0, 0, 1_500 * MS, None);
    world.pass(GRACE);
    assert_eq!((world.health, world.credit), (Some(false), Some(0.0)));
    let late = world.read(0, 1, 0, 1_500 * MS, None);
    assert!(world.rpcs[&early].ran && !world.rpcs[&late].ran && !world.rpcs[&late].owed);
}

#[test]
fn a_slow_server_takes_only_what_can_be_ok_and_comes_back() {
    let mut world = quiet();
    let run = |world: &mut World, span: Us| {
        let id = world.read(0, 0, 0, 1_500 * MS, None);
        world.pass(span);
        let ran = world.rpcs[&id].ran;
        if ran && !world.rpcs[&id].over {
            world.end_run(id, RunEnd::Ok);
        }
        ran
    };
    (0..40).for_each(|_| assert!(run(&mut world, 100 * MS), "nothing else is here"));
    (0..20).for_each(|_| assert!(run(&mut world, 700 * MS), "one at a time is a trial"));
    let trial = world.read(0, 0, 0, 1_500 * MS, None);
    let beside = world.read(0, 1, 0, 1_500 * MS, None);
    assert!(world.rpcs[&trial].ran && !world.rpcs[&beside].owed, "beside a trial nothing hopeless is taken");
    world.end_run(trial, RunEnd::Ok);
    (0..30).for_each(|_| assert!(run(&mut world, 100 * MS)));
    busy(&mut world, 2);
    assert_eq!(world.count(|r| r.at == At::Running), 2.0, "back at its pace");
}

#[test]
fn a_call_that_can_be_skipped_leaves_time_to_finish_without_it() {
    let drawn = Drawn { below: Upstream::Tier, skip: 0.5, ..Drawn::default() };
    let mut world = World::new(drawn, 1);
    let id = world.read(0, 0, 0, 1_500 * MS, None);
    world.need_call(id);
    assert!(matches!(world.rpcs[&id].at, At::Calling(_)));
    world.pass(490 * MS);
    assert_eq!(world.rpcs[&id].at, At::Running, "skipped before the latency target");
}

#[test]
fn what_calls_counts_by_half_as_running() {
    let mut world = World::new(Drawn { below: Upstream::Tier, ..Drawn::default() }, 1);
    let running = busy(&mut world, CORES + 1);
    let held = [world.read(0, 1, 0, 1_500 * MS, None), world.read(0, 2, 0, 1_500 * MS, None)];
    world.need_call(running[0]);
    assert_eq!(world.rpcs[&held[0]].at, At::Held, "half a run has left the cores");
    world.need_call(running[1]);
    let started = held.iter().filter(|id| world.rpcs[*id].at == At::Running).count();
    assert_eq!(started, 1, "two halves make room for one");
}

#[test]
fn callers_that_leave_do_not_stop_the_calls() {
    let mut world = World::new(Drawn { below: Upstream::Tier, ..Drawn::default() }, 1);
    for _ in 0..8 {
        let id = world.read(0, 0, 0, 1_500 * MS, None);
        world.need_call(id);
        world.leave(id);
        world.end_run(id, RunEnd::Stopped);
        world.pass(250 * MS);
    }
    let next = world.read(0, 0, 0, 1_500 * MS, None);
    world.need_call(next);
    assert!(matches!(world.rpcs[&next].at, At::Calling(_)));
}

#[test]
fn a_busy_server_tells_callers_more_than_their_part_but_not_where_that_is_a_fraction() {
    let credit = |callers: u64| {
        let mut world = quiet();
        for n in 0..callers.max(8) {
            world.read(0, n % callers, 0, 1_500 * MS, None);
        }
        world.pass(100 * MS);
        (world.credit.unwrap(), CORES as f64 / callers as f64)
    };
    let (few, part) = credit(1);
    assert!(part >= 1.0 && few > 1.3 * part && few < 1.7 * part, "{few} of {part}");
    let (many, part) = credit(40);
    assert!(part < 0.2 && many < 1.3 * part, "{many} of {part}");
}

/// A module with one method more or less, other cores, memory and tenants, for `change`.
mod changes {
    use crate::*;

    const MS: Us = 1_000;

    fn made(now: Us, criticality: &[f64], cores: usize, ram: f64) -> Control {
        with(now, criticality, cores, ram, 2.0)
    }
    fn method(criticality: f64) -> Method {
        Method {
            latency_target: 400 * MS,
            deadline: 900 * MS,
            idempotency: Idempotency::Idempotent,
            criticality,
            late_value_ratio: 0.0,
            idempotency_window: 0,
            skip_value_ratio: 0.5,
        }
    }
    fn with(now: Us, criticality: &[f64], cores: usize, ram: f64, factor: f64) -> Control {
        Control::new(
            now,
            3,
            ControlParts {
                step: 4 * MS,
                stop_mode: StopMode::Abort,
                methods: criticality.iter().copied().map(method).collect(),
                accounts: CallerAccounts::new(400 * MS, 1),
                concurrency: ConcurrencyLimit::new(now, cores, 8.0, 1.0, 1),
                calls: UpstreamCalls::new(Upstream::Tier, cores, 0, 400 * MS),
                keys: IdempotencyKeys::new(0.0, 0),
                memory: MemoryBudget::new(ram, factor),
                drain: Drain::new(400 * MS),
                feedback: CallerFeedback::new(FeedbackMode::Credit, 0, 400 * MS, 0),
                quotas: TenantQuotas::new(&[1.0], 1, 0.5),
            },
        )
    }
    fn ask(c: &mut Control, now: Us, n: u64, method: usize) -> Outcome {
        let (id, caller) = (RpcId::from_number(n), CallerId(n % 2));
        let (method, due) = (MethodId(method), Some(now + 900 * MS));
        let arrival = Arrival {
            id,
            method,
            caller,
            deadline: due,
            size_kb: 10.0,
            unread_for: 0,
            retry_or_hedge: false,
            original: None,
            cache_key: None,
        };
        c.rpc_read(now, arrival, Some(0))
    }

    #[test]
    fn a_change_keeps_what_runs_and_is_held_and_counts_from_the_next_rpc_on() {
        let mut c = made(0, &[1.0, 2.0], 1, 1_000.0);
        assert_eq!(ask(&mut c, 0, 1, 0).starts, [RpcId::from_number(1)]);
        assert!(ask(&mut c, 0, 2, 1).starts.is_empty());
        // Four cores, and a method more in front: the known ones stay at their places.
        let at = |place, worth: Option<f64>| SettingsUpdate::Method(MethodId(place), worth.map(method));
        c.stage(&[
            at(2, Some(9.0)),
            at(0, Some(1.0)),
            at(1, Some(2.0)),
            SettingsUpdate::Tenant(0, Some(1.0)),
        ]);
        let out = c.commit(MS, Some(made(MS, &[], 4, 1_000.0)));
        assert_eq!(out.starts, [RpcId::from_number(2)], "there is room for what was held");
        assert!(ask(&mut c, 2 * MS, 3, 2).starts == [RpcId::from_number(3)]);
        // Back to one method: what runs of the others is finished and given back like any other.
        c.stage(&[at(0, None), at(1, Some(2.0)), at(2, None)]);
        let out = c.commit(3 * MS, Some(made(3 * MS, &[], 1, 1_000.0)));
        assert!(out.answers.is_empty() && out.cancellations.is_empty());
        for n in 1..=3 {
            assert!(c.run_ended(10 * MS, RpcId::from_number(n), RunEnd::Ok).answers.is_empty());
        }
        assert_eq!(ask(&mut c, 11 * MS, 4, 1).starts, [RpcId::from_number(4)]);
    }

    #[test]
    fn a_call_for_what_does_not_run_is_none() {
        let mut c = made(0, &[1.0], 1, 1_000.0);
        assert_eq!(ask(&mut c, 0, 1, 0).starts, [RpcId::from_number(1)]);
        assert!(ask(&mut c, 0, 2, 0).starts.is_empty());
        let out = c.call_needed(MS, RpcId::from_number(2));
        assert!(out.calls.is_empty() && out.skipped_calls.is_empty() && out.answers.is_empty(), "{out:?}");
        assert_eq!(c.status().waiting_to_call, 0);
        assert_eq!(c.run_ended(2 * MS, RpcId::from_number(1), RunEnd::Ok).starts, [RpcId::from_number(2)]);
        let answers = c.timer_fired(900 * MS, Gauges::default()).answers;
        assert_eq!(answers, [(RpcId::from_number(2), Answer::Aborted)], "once, and it is over");
        assert!(c.timer_fired(901 * MS, Gauges::default()).answers.is_empty());
    }

    #[test]
    fn a_change_while_cold_goes_on_warming_up_where_it_was() {
        let cold = |now: Us, tip: f64| {
            let mut c = made(now, &[1.0], 4, 100_000.0);
            c = {
                let fresh = ConcurrencyLimit::new(now, 4, tip, 0.25, 1_000 * MS);
                let method = Method {
                    latency_target: 400 * MS,
                    deadline: 900 * MS,
                    idempotency: Idempotency::Idempotent,
                    criticality: 1.0,
                    late_value_ratio: 0.0,
                    idempotency_window: 0,
                    skip_value_ratio: 0.0,
                };
                drop(c);
                Control::new(
                    now,
                    3,
                    ControlParts {
                        step: 4 * MS,
                        stop_mode: StopMode::Abort,
                        methods: vec![method],
                        accounts: CallerAccounts::new(400 * MS, 1),
                        concurrency: fresh,
                        calls: UpstreamCalls::new(Upstream::Absent, 4, 0, 400 * MS),
                        keys: IdempotencyKeys::new(0.0, 0),
                        memory: MemoryBudget::new(100_000.0, 2.0),
                        drain: Drain::new(400 * MS),
                        feedback: CallerFeedback::new(FeedbackMode::Credit, 0, 400 * MS, 0),
                        quotas: TenantQuotas::new(&[1.0], 1, 0.5),
                    },
                )
            };
            c
        };
        // Two that began together; one has its settings changed to the same half way up.
        let (mut kept, mut changed) = (cold(0, 1.5), cold(0, 1.5));
        kept.start();
        changed.start();
        let same = Method { skip_value_ratio: 0.0, ..method(1.0) };
        changed
            .stage(&[SettingsUpdate::Method(MethodId(0), Some(same)), SettingsUpdate::Tenant(0, Some(1.0))]);
        changed.commit(500 * MS, Some(cold(500 * MS, 1.5)));
        let count = |c: &mut Control, now: Us, from: u64| {
            (from..from + 40).map(|n| ask(c, now, n, 0).starts.len()).sum::<usize>()
        };
        let [kept, changed] = [&mut kept, &mut changed].map(|c| count(c, 600 * MS, 1));
        assert_eq!(kept, changed, "it would be colder if the change had begun the warming anew");
        let mut anew = cold(590 * MS, 1.5);
        anew.start();
        assert!(count(&mut anew, 600 * MS, 1) < kept);
    }

    #[test]
    fn memory_is_given_back_as_it_was_booked_whatever_was_changed_meanwhile() {
        let mut c = made(0, &[1.0], 8, 100.0); // room for 80 kB: four that run
        for n in 0..3 {
            assert_eq!(ask(&mut c, 0, n, 0).starts.len(), 1);
        }
        c.commit(MS, Some(with(MS, &[], 8, 100.0, 8.0)));
        for n in 0..3 {
            c.run_ended(2 * MS, RpcId::from_number(n), RunEnd::Ok);
        }
        // All of it is free again: one that takes the whole of 80 kB by the new factor runs.
        assert_eq!(ask(&mut c, 3 * MS, 9, 0).starts.len(), 1);
        assert!(ask(&mut c, 3 * MS, 10, 0).starts.is_empty(), "and no second one");
    }

    const NONE: RecoveryLimits = RecoveryLimits {
        calls_in_flight: f64::INFINITY,
        retry_ratio: f64::INFINITY,
        retry_after_jitter: 0.0,
    };

    /// So many RPCs run and want their call; how many are placed at once.
    fn calls_placed(c: &mut Control, now: Us, rpcs: std::ops::Range<u64>) -> usize {
        for n in rpcs.clone() {
            ask(c, now, n, 0);
        }
        rpcs.map(|n| c.call_needed(now, RpcId::from_number(n)).calls.len()).sum()
    }

    #[test]
    fn calls_below_are_placed_within_what_is_opened_and_go_on_as_it_opens() {
        let mut c = made(0, &[1.0], 8, 1e6);
        c.set_recovery_limits(0, RecoveryLimits { calls_in_flight: 2.0, ..NONE });
        assert_eq!(calls_placed(&mut c, 0, 1..7), 2);
        assert_eq!((c.status().calls_in_flight, c.status().waiting_to_call), (2, 4));
        assert_eq!(c.set_recovery_limits(MS, RecoveryLimits { calls_in_flight: 3.5, ..NONE }).calls.len(), 1);
        assert_eq!(c.set_recovery_limits(2 * MS, NONE).calls.len(), 3);
        // Never none at all, or nothing could tell that the layer below is back.
        let mut c = made(0, &[1.0], 8, 1e6);
        c.set_recovery_limits(0, RecoveryLimits { calls_in_flight: 0.0, ..NONE });
        assert_eq!(calls_placed(&mut c, 0, 1..3), 1);
    }

    #[test]
    fn repeats_of_calls_stay_within_their_budget_and_what_is_left_is_done_without() {
        let repeats = |budget: f64| {
            let mut c = made(0, &[1.0], 8, 1e6);
            c.set_recovery_limits(0, RecoveryLimits { retry_ratio: budget, ..NONE });
            let mut again = 0;
            for n in 1..=40 {
                // One whose call goes well comes first, so that the breaker stays closed.
                let (now, other) = (n * 10 * MS, RpcId::from_number(100 + n));
                ask(&mut c, now, 100 + n, 0);
                c.call_needed(now, other);
                c.call_ended(now, other, CallEnd::Ok);
                c.run_ended(now, other, RunEnd::Ok);
                ask(&mut c, now, n, 0);
                c.call_needed(now, RpcId::from_number(n));
                let out = c.call_ended(now + MS, RpcId::from_number(n), CallEnd::Rejected);
                again += out.calls.len();
                assert_eq!(out.calls.len() + out.skipped_calls.len(), 1, "placed again, or done without");
                if out.calls.len() == 1 {
                    c.call_ended(now + 2 * MS, RpcId::from_number(n), CallEnd::Ok);
                }
                c.run_ended(now + 3 * MS, RpcId::from_number(n), RunEnd::Ok);
            }
            again
        };
        assert_eq!(repeats(f64::INFINITY), 40);
        let few = repeats(0.1);
        assert!((8..=12).contains(&few), "three, and one for each ten of 80 calls: {few}");
    }

    #[test]
    fn what_was_learned_is_recalled_and_an_open_breaker_is_not_open_again() {
        let mut c = made(0, &[1.0, 2.0], 2, 1e6);
        for n in 0..60 {
            let now = n * 20 * MS;
            ask(&mut c, now, n, 0);
            c.run_ended(now + 8 * MS, RpcId::from_number(n), RunEnd::Ok);
        }
        let mut learned = c.learned_state();
        assert!(
            (learned.costs[0].mean - 8_000.0).abs() < 3_500.0 && learned.costs[0].runs > 30.0,
            "{learned:?}"
        );
        assert_eq!((learned.costs[1].runs, learned.accounts.len()), (0.0, 2), "the second was never run");
        learned.call_failures = 9;
        learned.accounts = vec![LearnedBalance { caller: CallerId(5), ratio: 0.25 }];
        learned.tenants = vec![LearnedAllowance { tenant: 0, rpcs: 2.0 }];
        let mut fresh = made(0, &[1.0, 2.0], 2, 1e6);
        fresh.restore(0, learned.clone());
        let again = fresh.learned_state();
        assert_eq!(again.costs[0], learned.costs[0]);
        assert_eq!((again.accounts.len(), again.accounts[0].caller), (1, CallerId(5)));
        assert!((again.accounts[0].ratio - 0.25).abs() < 0.01 && again.tenants[0].rpcs == 2.0, "{again:?}");
        assert!(!fresh.status().breaker_open);
        ask(&mut fresh, MS, 1, 0);
        assert_eq!(
            fresh.call_needed(2 * MS, RpcId::from_number(1)).calls.len(),
            1,
            "calls are placed at once"
        );
        fresh.call_ended(3 * MS, RpcId::from_number(1), CallEnd::TimedOut);
        assert!(fresh.status().breaker_open, "and one failure shuts it again");
    }

    #[test]
    fn a_part_of_what_servers_divide_bounds_calls_and_tenants_and_goes_on_over_a_change() {
        let shared = |calls: Upstream| {
            let mut c = made(0, &[1.0], 4, 1e6);
            c.calls = UpstreamCalls::new(calls, 4, 0, 400 * MS);
            c.quotas = TenantQuotas::new(&[100.0], 1, 0.0);
            c
        };
        let below = Upstream::Shared { quota: 5.0, window: 1_000 * MS };
        let placed = |c: &mut Control, from: u64| calls_placed(c, from * MS, from..from + 20);
        assert_eq!(placed(&mut shared(below), 0), 4, "0.8 of the share");
        for (part, calls) in [(0.5, 2), (0.25, 1), (1.5, 6)] {
            let mut c = shared(below);
            c.set_quota_fraction(0, part);
            assert_eq!(placed(&mut c, 0), calls, "at a part of {part}");
        }
        let mut c = shared(Upstream::Tier);
        c.set_quota_fraction(0, 0.25);
        let whole = placed(&mut shared(Upstream::Tier), 0);
        assert_eq!((placed(&mut c, 0), whole > 6), (whole, true), "what is not divided stays");
        // Of a tenant's 100 a second ten at once, and then its part.
        let inside = |part: f64| {
            let mut shares = TenantQuotas::new(&[100.0], 1, 0.0);
            shares.fraction = part;
            (0..400).filter(|n| shares.take_weight(n * 5 * MS, Some(0)) > 0.0).count()
        };
        assert!((inside(1.0) as i64 - 208).abs() < 4, "{}", inside(1.0));
        assert!((inside(0.25) as i64 - 59).abs() < 4, "{}", inside(0.25));
        let mut c = shared(below);
        c.set_quota_fraction(0, 0.5);
        c.stage(&[SettingsUpdate::Tenant(0, Some(100.0))]);
        c.commit(MS, Some(shared(below)));
        assert_eq!(placed(&mut c, 2), 2, "other settings divide the same");
    }

    #[test]
    fn times_to_come_back_are_spread_and_stay_within_what_is_relayed() {
        let waits = |spread: f64| -> Vec<Us> {
            let mut c = made(0, &[1.0], 1, 1e6);
            c.feedback = CallerFeedback::new(FeedbackMode::Credit, 60 * MS, 400 * MS, 0);
            c.set_recovery_limits(0, RecoveryLimits { retry_after_jitter: spread, ..NONE });
            let wait = |(_, answer): &(RpcId, Answer)| match answer {
                Answer::Rejected { retry_after, .. } => *retry_after,
                Answer::Aborted => 0,
            };
            (0..60).flat_map(|n| ask(&mut c, 0, n, 0).answers.iter().map(wait).collect::<Vec<_>>()).collect()
        };
        let (plain, spread) = (waits(0.0), waits(1.0));
        assert!(spread.len() > 10 && spread.len() == plain.len());
        let longer: Vec<Us> = spread.iter().zip(&plain).map(|(far, near)| far - near).collect();
        assert!(spread.iter().zip(&plain).all(|(far, near)| *far <= (2 * near).min(60 * MS)), "{spread:?}");
        assert!(longer.iter().filter(|by| **by > 0).count() > longer.len() / 2, "{longer:?}");
    }
}

/// Staging and changes at random against a plain map of what is in force.
#[test]
fn what_is_staged_shows_only_after_the_change_and_the_peak_is_the_greatest_of_all() {
    use crate::max_tree::MaxTree;
    use nanorand::{Rng, WyRand};
    for seed in 0..2_000 {
        let mut chance = WyRand::new_seed(seed);
        let (mut staged, mut peak) = (StagedTable::new([1.0, 2.0]), MaxTree::new([1.0, 2.0]));
        let mut now = BTreeMap::from([(0, 1.0), (1, 2.0)]);
        let (mut last, mut next) = (now.clone(), now.clone());
        for _ in 0..60 {
            let place = chance.generate_range(0..12_usize);
            if chance.generate_range(0..8) == 0 {
                staged.commit();
                peak.commit();
                now = next.clone();
                last.extend(now.clone());
            } else {
                // A value, an end, or the way back to what is in force.
                let value = match chance.generate_range(0..4) {
                    0 => None,
                    1 => now.get(&place).copied(),
                    _ => Some(chance.generate_range(0..100_u32) as f64),
                };
                staged.stage(place, value);
                match value {
                    Some(value) => _ = next.insert(place, value),
                    None => _ = next.remove(&place),
                }
                peak.set(place, now.get(&place).copied(), value);
            }
            for place in 0..13 {
                assert_eq!(staged.get(place), now.get(&place), "seed {seed}");
                assert_eq!(staged.latest(place), last.get(&place), "seed {seed}");
                assert_eq!(staged.next(place), next.get(&place), "seed {seed}");
            }
            let fold = now.values().copied().fold(f64::NEG_INFINITY, f64::max);
            assert_eq!(peak.greatest().to_bits(), fold.to_bits(), "seed {seed}");
        }
    }
}

/// The same inputs to one that has terms staged and one that has none: nothing of what they hand back differs, until
/// the change.
#[test]
fn decisions_are_the_same_with_terms_staged_and_without() {
    for seed in 0..100 {
        let (mut plain, mut staged) =
            (World::new(Drawn::default(), seed), World::new(Drawn::default(), seed));
        let method = |n: u64| Method {
            latency_target: (1 + n) * 300 * MS,
            deadline: 3_000 * MS,
            idempotency: Idempotency::Idempotent,
            criticality: n as f64 * 5.0,
            late_value_ratio: 0.0,
            idempotency_window: 0,
            skip_value_ratio: 0.0,
        };
        for n in 0..200 {
            let term = SettingsUpdate::Method(MethodId(n as usize % 5), (n % 3 > 0).then(|| method(n % 4)));
            staged.control.stage(&[term, SettingsUpdate::Tenant(n as usize % 7, Some(0.1))]);
            let now = 5_000 * MS + n * 7 * MS;
            let ended = RpcId::from_number(n.saturating_sub(6));
            let [one, other] = [&mut plain, &mut staged].map(|world| {
                let arrival = Arrival {
                    id: RpcId::from_number(n),
                    method: MethodId(n as usize % 2),
                    caller: CallerId(n % 3),
                    deadline: None,
                    size_kb: 10.0,
                    unread_for: 0,
                    retry_or_hedge: false,
                    original: None,
                    cache_key: None,
                };
                let read = world.control.rpc_read(now, arrival, Some(n as usize % 7));
                let ended = world.control.run_ended(now + MS, ended, RunEnd::Ok);
                let woken = world.control.timer_fired(now + 2 * MS, Gauges::default());
                format!("{read:?} {ended:?} {woken:?} {:?}", world.control.learned_state())
            });
            assert_eq!(one, other, "seed {seed}, input {n}");
        }
        staged.control.commit(9_000 * MS, None);
        assert!(staged.control.has_tenant(6) && !plain.control.has_tenant(6));
    }
}
