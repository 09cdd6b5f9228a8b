//! Upstream calls: how many may be in flight, the retry budget and the circuit breaker.

use crate::decaying_sum::DecayingSum;
use crate::events::CallEnd;
use crate::ids::{RpcId, Us};
use crate::tuning::{ACTIVITY_WINDOW, SAFETY_FACTOR, TICKS_PER_WINDOW};

/// Calls in flight for each core where no quota is given.
const CALLS_PER_CORE: f64 = 3.0;
/// Retries that are always allowed in a budget window: a lone server may need them.
const MIN_RETRIES: f64 = 3.0;
/// Time over which retries are counted against first attempts, in microseconds.
const RETRY_BUDGET_WINDOW: Us = 10 * ACTIVITY_WINDOW;
/// Attempts of a call after which it is skipped or its RPC given up.
pub(crate) const MAX_ATTEMPTS: u32 = 2;
/// Failed calls in a row that open the breaker.
pub(crate) const BREAKER_THRESHOLD: u32 = 5;
/// Pause of an open breaker before a trial call, in shortest latency targets.
const BREAKER_PAUSE: f64 = 0.5;
/// Least fraction of the breaker's pause that is drawn, and the span of the draw.
const PAUSE_JITTER: (f64, f64) = (0.75, 0.5);

/// What the server's RPCs call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upstream {
    /// Nothing.
    Absent,
    /// One dependency that all servers share.
    Shared {
        /// This server's quota of the calls in flight that the dependency survives.
        quota: f64,
        /// Time over which the mean of calls in flight has to stay within the quota.
        window: Us,
    },
    /// A tier of servers that run the same decisions; there is no quota.
    Tier,
}

/// Upstream calls in flight, their limit, the retry budget and the circuit breaker.
pub struct UpstreamCalls {
    /// Calls in flight that the settings allow; infinite for no limit.
    pub(crate) limit: f64,
    /// The limit is a quota of what all servers share.
    quota_shared: bool,
    /// Factor on a shared quota.
    pub(crate) quota_fraction: f64,
    window: f64,
    linger: Us,
    breaker_pause: f64,
    pub(crate) in_flight: usize,
    /// Until when each abandoned call may still run upstream.
    lingering: Vec<Us>,
    /// Decaying integral over time of calls in flight.
    load: DecayingSum,
    /// Failed calls in a row.
    pub(crate) failures: u32,
    open_until: Us,
    pub(crate) trial: Option<RpcId>,
    first_attempts: DecayingSum,
    retries: DecayingSum,
}

impl UpstreamCalls {
    /// `linger`: how long an abandoned call may go on upstream; `shortest_target`: the shortest latency target.
    pub fn new(upstream: Upstream, cores: usize, linger: Us, shortest_target: Us) -> UpstreamCalls {
        let (limit, window, quota_shared) = match upstream {
            Upstream::Absent => (f64::INFINITY, 1, false),
            Upstream::Shared { quota, window } => (quota * SAFETY_FACTOR, window, true),
            Upstream::Tier => ((CALLS_PER_CORE * cores as f64).floor(), 1, false),
        };
        UpstreamCalls {
            limit,
            quota_shared,
            quota_fraction: 1.0,
            window: window as f64,
            linger,
            breaker_pause: shortest_target as f64 * BREAKER_PAUSE,
            in_flight: 0,
            lingering: Vec::new(),
            load: DecayingSum::new(window),
            failures: 0,
            open_until: 0,
            trial: None,
            first_attempts: DecayingSum::new(RETRY_BUDGET_WINDOW),
            retries: DecayingSum::new(RETRY_BUDGET_WINDOW),
        }
    }

    /// Calls that count: those in flight, and abandoned ones as long as they may go on upstream.
    pub(crate) fn occupancy(&mut self, now: Us) -> f64 {
        self.lingering.retain(|until| *until > now);
        (self.in_flight + self.lingering.len()) as f64
    }

    /// Takes the time in since the last input, in microseconds.
    pub(crate) fn advance(&mut self, now: Us, elapsed: f64) {
        let calls = self.occupancy(now);
        self.load.add(now, calls * elapsed);
    }

    /// One more call fits. The fraction of a quota is used by a further call while the mean over the window
    /// allows it. `recovery_limit` bounds the calls of a server that recovers, but always leaves one.
    pub(crate) fn has_capacity(&mut self, now: Us, recovery_limit: f64) -> bool {
        let with_one_more = self.occupancy(now) + 1.0;
        if with_one_more > recovery_limit.max(1.0) {
            return false;
        }
        let limit = if self.quota_shared { self.limit * self.quota_fraction } else { self.limit };
        let mean_allows = self.load.read(now) / self.window + 1.0 / TICKS_PER_WINDOW as f64 <= limit;
        with_one_more <= limit || (with_one_more < limit + 1.0 && mean_allows)
    }

    /// A call is made.
    pub(crate) fn call_placed(&mut self, now: Us, id: RpcId, first_attempt: bool) {
        self.in_flight += 1;
        self.first_attempts.add(now, f64::from(u8::from(first_attempt)));
        self.trial = Some(id).filter(|_| self.failures >= BREAKER_THRESHOLD);
    }

    /// Takes one retry from the budget, if there is one. Guards against retries that multiply the load of an
    /// upstream that fails. Harm: a call that a second attempt would have made good is skipped, or its RPC given up.
    pub(crate) fn take_retry(&mut self, now: Us, retry_ratio: f64) -> bool {
        let budget = if retry_ratio.is_finite() {
            MIN_RETRIES + retry_ratio * self.first_attempts.read(now)
        } else {
            retry_ratio
        };
        let allowed = self.retries.read(now) < budget;
        self.retries.add(now, f64::from(u8::from(allowed)));
        allowed
    }

    /// The breaker holds calls back. Guards against an upstream that fails or hangs: after failures in a row calls
    /// stop, and return by single trials. Harm: some calls that would have been ok are skipped for a pause.
    pub(crate) fn breaker_open(&self, now: Us) -> bool {
        self.failures >= BREAKER_THRESHOLD && (now < self.open_until || self.trial.is_some())
    }

    /// A call has ended. `random`: a draw from 0 to 1 for the breaker's pause.
    pub(crate) fn call_ended(&mut self, now: Us, id: RpcId, end: CallEnd, random: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if end == CallEnd::TimedOut {
            self.lingering.push(now + self.linger);
        }
        let was_trial = self.trial.take_if(|trial| *trial == id).is_some();
        self.failures = if end == CallEnd::Ok { 0 } else { self.failures.saturating_add(1) };
        if end != CallEnd::Ok && (was_trial || self.failures == BREAKER_THRESHOLD) {
            let (least, span) = PAUSE_JITTER;
            self.open_until = now + (self.breaker_pause * (least + span * random)) as Us;
        }
    }

    /// A call is abandoned since its caller left. That says nothing of the upstream: the call lingers there, but
    /// does not count as a failure.
    pub(crate) fn call_abandoned(&mut self, now: Us, id: RpcId, random: f64) {
        let failures = std::mem::take(&mut self.failures);
        self.call_ended(now, id, CallEnd::TimedOut, random);
        self.failures = failures;
    }

    /// Takes over another configuration's limits; calls in flight, budget and breaker go on.
    pub(crate) fn reconfigure(&mut self, other: &UpstreamCalls) {
        self.limit = other.limit;
        self.window = other.window;
        self.linger = other.linger;
        self.quota_shared = other.quota_shared;
        self.breaker_pause = other.breaker_pause;
        self.load.time_constant = other.load.time_constant;
    }
}
