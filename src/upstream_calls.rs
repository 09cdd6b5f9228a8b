//! Upstream calls: the limit on calls in flight, the retry budget and the circuit breaker.

use crate::decaying_sum::DecayingSum;
use crate::events::CallEnd;
use crate::ids::{RpcId, Us};
use crate::tuning::{ACTIVITY_WINDOW, SAFETY_FACTOR, TICKS_PER_WINDOW};

/// Maximum number of calls in flight per core for an upstream without a quota.
const MAX_CALLS_PER_CORE: f64 = 3.0;
/// Number of retries that are always allowed in a budget window, as a single server may need them.
const MIN_RETRIES: f64 = 3.0;
/// Time over which retries are compared with first attempts.
const RETRY_BUDGET_WINDOW: Us = 10 * ACTIVITY_WINDOW;
/// Maximum number of attempts of a call. After that the call is skipped or its RPC aborted.
pub(crate) const MAX_CALL_ATTEMPTS: u32 = 2;
/// Number of consecutive failed calls that opens the breaker.
pub(crate) const BREAKER_FAILURE_THRESHOLD: u32 = 5;
/// Time for which the breaker stays open before a trial call, as a fraction of the shortest latency target.
const BREAKER_COOLDOWN_TARGET_FRACTION: f64 = 0.5;
/// Lower bound of the random factor on the breaker's cooldown.
const MIN_COOLDOWN_FACTOR: f64 = 0.75;
/// Width of the range from which the random factor on the breaker's cooldown is drawn.
const COOLDOWN_FACTOR_RANGE: f64 = 0.5;

/// The upstream that the server's RPCs call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Upstream {
    /// No upstream.
    Absent,
    /// A dependency that all servers share.
    Shared {
        /// This server's quota of the calls in flight that the dependency sustains.
        quota: f64,
        /// Time over which the mean number of calls in flight has to stay within the quota.
        window: Us,
    },
    /// A tier of servers that use the same decision module; there is no quota.
    Tier,
}

/// Upstream calls in flight, their limit, the retry budget and the circuit breaker.
pub struct UpstreamCalls {
    /// Maximum number of calls in flight by the settings; infinite for no limit.
    pub(crate) limit: f64,
    /// Whether the limit is a quota of an upstream that all servers share.
    quota_shared: bool,
    /// Factor on the quota of a shared upstream.
    pub(crate) quota_fraction: f64,
    window: f64,
    linger: Us,
    breaker_cooldown: f64,
    pub(crate) in_flight: usize,
    /// Time until which each abandoned call may still run upstream.
    lingering: Vec<Us>,
    /// Decaying integral of calls in flight over time.
    load: DecayingSum,
    /// Number of consecutive failed calls.
    pub(crate) failures: u32,
    open_until: Us,
    pub(crate) trial_call: Option<RpcId>,
    first_attempts: DecayingSum,
    retries: DecayingSum,
}

impl UpstreamCalls {
    /// Creates the state of an upstream without calls. `linger` is the time for which an abandoned call may still run
    /// upstream; `shortest_target` is the shortest latency target.
    pub fn new(upstream: Upstream, cores: usize, linger: Us, shortest_target: Us) -> UpstreamCalls {
        let (limit, window, quota_shared) = match upstream {
            Upstream::Absent => (f64::INFINITY, 1, false),
            Upstream::Shared { quota, window } => (quota * SAFETY_FACTOR, window, true),
            Upstream::Tier => ((MAX_CALLS_PER_CORE * cores as f64).floor(), 1, false),
        };
        UpstreamCalls {
            limit,
            quota_shared,
            quota_fraction: 1.0,
            window: window as f64,
            linger,
            breaker_cooldown: shortest_target as f64 * BREAKER_COOLDOWN_TARGET_FRACTION,
            in_flight: 0,
            lingering: Vec::new(),
            load: DecayingSum::new(window),
            failures: 0,
            open_until: 0,
            trial_call: None,
            first_attempts: DecayingSum::new(RETRY_BUDGET_WINDOW),
            retries: DecayingSum::new(RETRY_BUDGET_WINDOW),
        }
    }

    /// Returns the number of calls in flight, including abandoned calls that may still run upstream.
    pub(crate) fn occupancy(&mut self, now: Us) -> f64 {
        self.lingering.retain(|until| *until > now);
        (self.in_flight + self.lingering.len()) as f64
    }

    /// Advances the load integral by the time since the last input, in microseconds.
    pub(crate) fn advance(&mut self, now: Us, elapsed: f64) {
        let calls = self.occupancy(now);
        self.load.add(now, calls * elapsed);
    }

    /// Reports whether one more call fits within the limit.
    ///
    /// The fractional part of a limit permits an additional call while the mean over the window stays within the
    /// limit. `recovery_limit` bounds the calls of a recovering server, but always permits one.
    pub(crate) fn has_capacity(&mut self, now: Us, recovery_limit: f64) -> bool {
        let with_one_more = self.occupancy(now) + 1.0;
        if with_one_more > recovery_limit.max(1.0) {
            return false;
        }
        let limit = if self.quota_shared { self.limit * self.quota_fraction } else { self.limit };
        let mean_allows = self.load.read(now) / self.window + 1.0 / TICKS_PER_WINDOW as f64 <= limit;
        with_one_more <= limit || (with_one_more < limit + 1.0 && mean_allows)
    }

    /// Records that a call is made.
    pub(crate) fn record_call_placed(&mut self, now: Us, id: RpcId, first_attempt: bool) {
        self.in_flight += 1;
        self.first_attempts.add(now, f64::from(u8::from(first_attempt)));
        self.trial_call = Some(id).filter(|_| self.failures >= BREAKER_FAILURE_THRESHOLD);
    }

    /// Takes one retry from the budget and reports whether there was one.
    ///
    /// The budget guards against retries that multiply the load of a failing upstream. The drawback is that a call
    /// that would have succeeded on the second attempt is skipped, or its RPC aborted.
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

    /// Reports whether the breaker blocks calls.
    ///
    /// The breaker guards against an upstream that fails or hangs: after consecutive failures no calls are made, and
    /// they resume by single trial calls. The drawback is that some calls that would have succeeded are skipped
    /// during the cooldown.
    pub(crate) fn breaker_open(&self, now: Us) -> bool {
        self.failures >= BREAKER_FAILURE_THRESHOLD && (now < self.open_until || self.trial_call.is_some())
    }

    /// Records the end of a call. `random` is a random number from 0 to 1 for the breaker's cooldown.
    pub(crate) fn record_call_end(&mut self, now: Us, id: RpcId, end: CallEnd, random: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if end == CallEnd::TimedOut {
            self.lingering.push(now + self.linger);
        }
        let was_trial = self.trial_call.take_if(|trial| *trial == id).is_some();
        self.failures = if end == CallEnd::Ok { 0 } else { self.failures.saturating_add(1) };
        if end != CallEnd::Ok && (was_trial || self.failures == BREAKER_FAILURE_THRESHOLD) {
            let factor = MIN_COOLDOWN_FACTOR + COOLDOWN_FACTOR_RANGE * random;
            self.open_until = now + (self.breaker_cooldown * factor) as Us;
        }
    }

    /// Records a call that is abandoned because its caller left. The call may still run upstream. It does not count as
    /// a failure, because the upstream did not cause it.
    pub(crate) fn record_call_abandoned(&mut self, now: Us, id: RpcId, random: f64) {
        let failures = std::mem::take(&mut self.failures);
        self.record_call_end(now, id, CallEnd::TimedOut, random);
        self.failures = failures;
    }

    /// Applies the limits of another configuration. Calls in flight, retry budget and breaker are kept.
    pub(crate) fn reconfigure(&mut self, other: &UpstreamCalls) {
        self.limit = other.limit;
        self.window = other.window;
        self.linger = other.linger;
        self.quota_shared = other.quota_shared;
        self.breaker_cooldown = other.breaker_cooldown;
        self.load.time_constant = other.load.time_constant;
    }
}
