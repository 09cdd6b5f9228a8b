//! Limit on the upstream calls in flight after a start or an outage. The capacity of the upstream tier is unknown then:
//! its caches may be cold, and all its callers reconnect at the same time. The limit therefore grows slowly, and only
//! as calls are answered.

use asterrill::Us;

/// Limits of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Configured maximum of calls in flight; infinite if there is none.
    pub max_calls: f64,
    /// Initial limit on calls in flight, 1 or more.
    pub initial_calls: f64,
    /// Minimum time between two updates, in microseconds. It should be about the duration of one call.
    pub update_interval: Us,
}

/// Results of upstream calls since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallSample {
    /// Calls that were answered.
    pub ok: u64,
    /// Calls that were aborted, timed out or were rejected by the upstream tier.
    pub failed: u64,
    /// Calls currently in flight.
    pub in_flight: usize,
    /// RPCs that wait for permission to make a call.
    pub waiting: usize,
}

/// Factor by which the limit grows at an ok update below the threshold.
const GROWTH_FACTOR: f64 = 1.5;
/// Number of calls by which the limit grows at an ok update above the threshold.
const GROWTH_STEP_CALLS: f64 = 0.1;
/// Factor by which the limit is multiplied after an update with failures.
const BACKOFF_FACTOR: f64 = 0.5;
/// Fraction of the limit that calls in flight must reach for the limit to grow.
const MIN_USED_FRACTION: f64 = 0.5;
/// Fraction of failed calls up to which an update counts as ok. One call in ten may fail for reasons other
/// than overload.
const MAX_FAILED_FRACTION: f64 = 0.1;
/// Consecutive updates without a successful call that count as an outage.
const FAILED_UPDATES_UNTIL_OUTAGE: u32 = 3;
/// Consecutive ok updates after which the limit is lifted, if it is at the maximum.
const OK_UPDATES_UNTIL_LIFTED: u32 = 50;

/// Limit on calls in flight that grows slowly.
///
/// It prevents a fleet of servers that start together, or reconnect together after an outage, from all sending their
/// maximum of calls to the upstream tier at once. As a consequence some calls wait for a few round trips after a start.
#[derive(Clone, Debug)]
pub struct SlowStart {
    config: SlowStartConfig,
    limit: f64,
    /// Limit at which calls failed last. Growth is multiplicative below it and additive above it.
    threshold: f64,
    updated_at: Us,
    /// Consecutive updates without a successful call.
    failed_updates: u32,
    /// Consecutive ok updates.
    ok_updates: u32,
    /// Whether only the configured maximum applies, until the next outage.
    lifted: bool,
    /// Outages since the start.
    pub outages: u64,
}

impl SlowStart {
    /// Begins a slow start, after the start of the server or an outage of the upstream tier.
    pub fn new(now: Us, config: SlowStartConfig) -> SlowStart {
        SlowStart {
            config,
            limit: config.initial_calls.max(1.0).min(config.max_calls),
            threshold: config.max_calls,
            updated_at: now,
            failed_updates: 0,
            ok_updates: 0,
            lifted: false,
            outages: 0,
        }
    }

    /// Changes the configuration. A limit that has been lifted stays lifted.
    pub fn set_config(&mut self, config: SlowStartConfig) {
        self.config = config;
        self.limit = self.limit.min(config.max_calls);
        self.threshold = config.max_calls;
    }

    /// Returns the current limit on calls in flight; infinite once the limit is lifted.
    pub fn limit(&self) -> f64 {
        if self.lifted {
            f64::INFINITY
        } else {
            self.limit
        }
    }

    /// Reports whether all calls allowed by the configuration may be in flight.
    pub fn is_complete(&self) -> bool {
        self.lifted || self.limit >= self.config.max_calls
    }

    /// Returns the time at which the next update is due, in microseconds.
    pub fn next_update(&self) -> Us {
        self.updated_at + self.config.update_interval
    }

    /// Updates the limit with the results of calls. Returns true if the limit has changed. The rules, in order:
    ///
    /// 1. If no call ended, the limit stays unchanged.
    /// 2. Three consecutive updates without a successful call are an outage: the slow start begins again, with the
    ///    threshold at half of the limit.
    /// 3. If more than a tenth of the calls failed, the limit is halved, to 1 at least, and becomes the threshold.
    /// 4. Otherwise the limit grows if calls wait for it or half of it is used: by half up to the threshold, by a tenth
    ///    of a call above it.
    /// 5. After 50 consecutive ok updates at the maximum the limit is lifted until the next outage.
    pub fn update(&mut self, now: Us, sample: CallSample) -> bool {
        if now < self.next_update() {
            return false;
        }
        self.updated_at = now;
        let before = self.limit();
        let ended = sample.ok + sample.failed;
        if ended == 0 {
            return false;
        }
        let failing = sample.failed as f64 > MAX_FAILED_FRACTION * ended as f64;
        self.failed_updates = if sample.ok == 0 { self.failed_updates + 1 } else { 0 };
        self.ok_updates = if failing { 0 } else { self.ok_updates + 1 };
        if self.failed_updates >= FAILED_UPDATES_UNTIL_OUTAGE {
            self.restart(now);
        } else if failing && !self.lifted {
            self.limit = self.backed_off_limit();
            self.threshold = self.limit;
        } else if !failing {
            self.grow(sample);
        }
        self.limit() != before
    }

    fn backed_off_limit(&self) -> f64 {
        (self.limit * BACKOFF_FACTOR).max(1.0)
    }

    fn restart(&mut self, now: Us) {
        let is_new_outage = self.failed_updates == FAILED_UPDATES_UNTIL_OUTAGE;
        *self = SlowStart {
            threshold: self.backed_off_limit(),
            failed_updates: self.failed_updates,
            outages: self.outages + u64::from(is_new_outage),
            ..SlowStart::new(now, self.config)
        };
    }

    fn grow(&mut self, sample: CallSample) {
        let is_needed = sample.waiting > 0 || sample.in_flight as f64 + 1.0 >= self.limit * MIN_USED_FRACTION;
        if is_needed && self.limit < self.threshold {
            self.limit = (self.limit * GROWTH_FACTOR).min(self.threshold);
        } else if is_needed {
            self.limit += GROWTH_STEP_CALLS;
        }
        self.limit = self.limit.min(self.config.max_calls);
        let at_maximum = self.limit >= self.config.max_calls;
        self.lifted |= at_maximum && self.ok_updates >= OK_UPDATES_UNTIL_LIFTED;
    }
}
