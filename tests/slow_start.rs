//! Tests that a cold server never publishes more credit to all its callers together than the RPCs that it sustains at
//! that time.
//!
//! Callers round their credit up or down at random, so the RPCs that are outstanding may exceed that limit by twice its
//! square root plus 2. The simulation covers 1,000 seeds, callers that the server has not seen yet, callers that
//! restart and lose their credit, and several cold servers at once.

use asterrill::*;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

const MS: Us = 1_000;
/// Time between two steps of the simulation.
const STEP: Us = 5 * MS;
/// Simulated duration of the slow start.
const SIMULATED_TIME: Us = 3_000 * MS;
/// Time after which a caller discards a published credit.
const CREDIT_LIFETIME: Us = 1_000 * MS;
/// Latency target of the only method.
const LATENCY_TARGET: Us = 800 * MS;

/// The settings of a server's slow start.
#[derive(Clone, Copy, Debug)]
struct SlowStart {
    cores: usize,
    sustainable_rpcs_per_core: f64,
    cold_speed: f64,
    duration: Us,
}

impl SlowStart {
    fn random(random: &mut WyRand) -> SlowStart {
        SlowStart {
            cores: [2, 4, 6][random.generate_range(0..3_usize)],
            sustainable_rpcs_per_core: [5.0, 6.0, 8.0][random.generate_range(0..3_usize)],
            cold_speed: [0.2, 0.3, 0.5][random.generate_range(0..3_usize)],
            duration: [5_000, 17_000][random.generate_range(0..2_usize)] * MS,
        }
    }

    /// Returns the number of running RPCs that the server sustains at a time after its start.
    fn sustainable_rpcs(&self, at: Us) -> f64 {
        let warmed = (at as f64 / self.duration as f64).min(1.0);
        let speed = self.cold_speed + (1.0 - self.cold_speed) * warmed;
        (1.0 + (self.sustainable_rpcs_per_core - 1.0) * speed) * self.cores as f64
    }

    fn control(&self, seed: u64, callers: usize) -> Control {
        let method = Method {
            latency_target: LATENCY_TARGET,
            deadline: 2_000 * MS,
            idempotency: Idempotency::Idempotent,
            criticality: 1.0,
            late_value_ratio: 0.0,
            idempotency_window: 0,
            skip_value_ratio: 0.0,
        };
        let SlowStart { cores, sustainable_rpcs_per_core, cold_speed, duration } = *self;
        let parts = ControlParts {
            step: 4 * MS,
            stop_mode: StopMode::Abort,
            methods: vec![method],
            accounts: CallerAccounts::new(LATENCY_TARGET, callers),
            concurrency: ConcurrencyLimit::new(0, cores, sustainable_rpcs_per_core, cold_speed, duration),
            calls: UpstreamCalls::new(Upstream::Absent, cores, 0, LATENCY_TARGET),
            keys: IdempotencyKeys::new(0.0, 0),
            memory: MemoryBudget::new(1e9, 4.0),
            drain: Drain::new(1_000 * MS),
            feedback: CallerFeedback::new(FeedbackMode::Credit, 1_000 * MS, LATENCY_TARGET, 30_000 * MS),
            quotas: TenantQuotas::new(&[], 3, 1.0),
        };
        Control::new(0, seed, parts)
    }
}

/// A cold server with its running and unanswered RPCs.
struct Server {
    control: Control,
    credit: f64,
    /// Runs by their end time, with a random number that makes equal times distinct.
    run_ends: BTreeMap<(Us, u64), RpcId>,
    wakes: Vec<Us>,
    /// The caller of each open RPC.
    callers: BTreeMap<RpcId, usize>,
}

impl Server {
    fn start(control: Control, random: &mut WyRand) -> Server {
        let (run_ends, callers) = (BTreeMap::new(), BTreeMap::new());
        let mut server = Server { control, credit: 0.0, run_ends, wakes: Vec::new(), callers };
        let first = server.control.start();
        server.apply(0, random, first);
        server
    }

    /// Carries out an outcome and returns the callers of the answered RPCs.
    fn apply(&mut self, now: Us, random: &mut WyRand, outcome: Outcome) -> Vec<usize> {
        self.credit = outcome.credit.unwrap_or(self.credit);
        self.wakes.extend(outcome.wake_after.map(|delay| now + delay));
        for id in outcome.starts {
            let work = 60 * MS + random.generate_range(0..400 * MS);
            self.run_ends.insert((now + work, random.generate()), id);
        }
        outcome.answers.into_iter().filter_map(|reply| self.callers.remove(&reply.id)).collect()
    }

    /// Ends the runs that are due and fires the timers. Returns the callers of the answered RPCs.
    fn advance(&mut self, now: Us, random: &mut WyRand) -> Vec<usize> {
        let mut answered = Vec::new();
        while let Some(run) = self.run_ends.first_entry().filter(|run| run.key().0 <= now) {
            let id = run.remove();
            answered.extend(self.callers.remove(&id));
            let outcome = self.control.run_ended(now, id, RunEnd::Ok);
            answered.extend(self.apply(now, random, outcome));
        }
        if self.wakes.iter().any(|at| *at <= now) {
            self.wakes.retain(|at| *at > now);
            let gauges = Gauges { runnable: Some(self.run_ends.len() as f64), ..Gauges::default() };
            let outcome = self.control.timer_fired(now, gauges);
            answered.extend(self.apply(now, random, outcome));
        }
        answered
    }

    /// Reads an RPC and returns the callers of RPCs that are answered at once.
    fn read(&mut self, now: Us, random: &mut WyRand, number: u64, caller: usize) -> Vec<usize> {
        let id = RpcId::from_number(number);
        self.callers.insert(id, caller);
        let arrival = Arrival {
            id,
            method: MethodId(0),
            caller: CallerId(caller as u64).into(),
            deadline: Some(now + 1_500 * MS),
            size_kb: 1.0,
            unread_for: 0,
            original: None,
            cache_key: None,
        };
        let outcome = self.control.rpc_read(now, arrival, None);
        self.apply(now, random, outcome)
    }
}

/// A credit as received by a caller.
#[derive(Clone, Copy)]
struct ReceivedCredit {
    published: f64,
    /// Number of RPCs that the caller may have outstanding: the credit, rounded up or down at random.
    limit: usize,
    at: Us,
}

/// The state of a caller towards one server.
#[derive(Clone, Default)]
struct Caller {
    credit: Option<ReceivedCredit>,
    /// Number of outstanding RPCs that were sent with a credit.
    outstanding: usize,
    /// Number of outstanding RPCs that were sent without a credit.
    outstanding_without_credit: usize,
}

impl Caller {
    /// Receives an answer and the credit that it carries.
    fn receive_answer(&mut self, now: Us, published: f64, random: &mut WyRand) {
        match self.outstanding {
            0 => self.outstanding_without_credit = self.outstanding_without_credit.saturating_sub(1),
            _ => self.outstanding -= 1,
        }
        let rounded_up = random.generate::<f64>() < published.fract();
        let limit = published.floor() as usize + usize::from(rounded_up);
        self.credit = Some(ReceivedCredit { published, limit, at: now });
    }

    /// Discards an expired credit. A caller restarts at random, which discards any credit.
    fn expire_credit(&mut self, now: Us, random: &mut WyRand) {
        self.credit = self.credit.filter(|credit| credit.at + CREDIT_LIFETIME > now);
        if random.generate_range(0..2_000_u32) == 0 {
            self.credit = None;
        }
    }

    /// Decides whether to send one more RPC, and counts it. A caller without a credit sends rarely.
    fn sends(&mut self, random: &mut WyRand) -> bool {
        match self.credit {
            Some(credit) => {
                let sends = self.outstanding < credit.limit;
                self.outstanding += usize::from(sends);
                sends
            }
            None => {
                let wants = random.generate_range(0..40_u32) == 0;
                let sends = self.outstanding_without_credit < 1 && wants;
                self.outstanding_without_credit += usize::from(sends);
                sends
            }
        }
    }
}

/// Checks one server against the RPCs that it sustains. Returns the excess of RPCs outstanding with a credit, in
/// multiples of the square root of the limit.
fn check_outstanding(seed: u64, now: Us, limit: f64, callers: &[Caller]) -> f64 {
    let published: f64 =
        callers.iter().filter_map(|caller| caller.credit).map(|credit| credit.published).sum();
    assert!(published <= limit, "seed {seed}: credits sum to {published}, limit is {limit} at {now}");
    let outstanding: usize = callers.iter().map(|caller| caller.outstanding).sum();
    assert!(
        outstanding as f64 <= limit + 2.0 * limit.sqrt() + 2.0,
        "seed {seed}: {outstanding} RPCs outstanding, limit is {limit} at {now}, {} callers",
        callers.len()
    );
    (outstanding as f64 - limit) / limit.sqrt()
}

/// Simulates one seed. Returns the highest excess of outstanding RPCs, in multiples of the square root of the limit.
fn simulate(seed: u64, callers: usize, expected_callers: usize) -> f64 {
    let mut random = WyRand::new_seed(seed);
    let slow_start = SlowStart::random(&mut random);
    let count = random.generate_range(1..4_usize);
    let mut servers = Vec::new();
    for n in 0..count {
        let control = slow_start.control(seed * 10 + n as u64, expected_callers);
        servers.push((Server::start(control, &mut random), vec![Caller::default(); callers]));
    }
    let (mut now, mut rpcs, mut worst) = (0, 0, f64::MIN);
    while now < SIMULATED_TIME {
        now += STEP;
        for (server, callers) in &mut servers {
            for caller in server.advance(now, &mut random) {
                callers[caller].receive_answer(now, server.credit, &mut random);
            }
            for sender in 0..callers.len() {
                callers[sender].expire_credit(now, &mut random);
                if !callers[sender].sends(&mut random) {
                    continue;
                }
                rpcs += 1;
                for caller in server.read(now, &mut random, rpcs, sender) {
                    callers[caller].receive_answer(now, server.credit, &mut random);
                }
            }
            worst = worst.max(check_outstanding(seed, now, slow_start.sustainable_rpcs(now), callers));
        }
    }
    worst
}

#[test]
fn outstanding_rpcs_of_a_cold_server_stay_within_what_it_sustains() {
    let mut worst = f64::MIN;
    for seed in 0..1_000 {
        let callers = [3, 20, 30][seed as usize % 3];
        worst = worst.max(simulate(seed, callers, callers));
    }
    println!("highest excess of outstanding RPCs, in square roots of the limit: {worst:.2}");
    assert!(worst > -3.0, "no server came near the limit: highest excess is {worst}");
}

#[test]
fn more_callers_than_expected_share_the_credit_once_they_are_seen() {
    // The server expects 10 callers at its start, and 12 send. The credit has to adapt to those seen in the last
    // second.
    (0..200).for_each(|seed| _ = simulate(seed, 12, 10));
}
