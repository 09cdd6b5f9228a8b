//! The number of upstream calls in flight after a start or an outage. Nobody knows then what the upstream tier bears: its
//! caches may be cold, and all its callers come back together. So the limit grows slowly, by what is really answered.

use asterrill::Us;

/// The limits of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Calls in flight at the most, as configured; infinite where nothing bounds them.
    pub max_calls: f64,
    /// Calls in flight to begin with, 1 or more.
    pub initial_calls: f64,
    /// The least time between two updates, in microseconds: about that of one call.
    pub update_interval: Us,
}

/// What became of upstream calls since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallSample {
    /// Calls that were answered.
    pub ok: u64,
    /// Calls that were aborted, timed out, or were rejected upstream.
    pub failed: u64,
    /// Calls in flight now.
    pub in_flight: usize,
    /// RPCs that wait to make a call.
    pub waiting: usize,
}

/// Growth of the limit at an update, while calls are answered and the limit is what withholds more.
const GROWTH_FACTOR: f64 = 1.5;
/// The same above the threshold, in calls.
const GROWTH_STEP: f64 = 0.1;
/// Of the limit, what stays after an update with failures.
const BACKOFF_FACTOR: f64 = 0.5;
/// Of the limit, the part of which calls in flight show that it is needed.
const USED_FRACTION: f64 = 0.5;
/// The fraction of failed calls up to which an update counts as ok: one call in ten may fail by itself.
const TOLERATED_FAILURES: f64 = 0.1;
/// Updates in a row with nothing but failures that are an outage.
const OUTAGE_UPDATES: u32 = 3;
/// Updates in a row that were ok, at the maximum, until the limit is lifted.
const UPDATES_UNTIL_LIFTED: u32 = 50;

/// A limit on calls in flight that grows slowly.
///
/// Guards against a fleet that starts together, or comes back together after an outage, and sends the upstream tier at
/// once all that each of them may. The cost: after a start some calls wait for a few round trips.
#[derive(Clone, Debug)]
pub struct SlowStart {
    config: SlowStartConfig,
    limit: f64,
    /// The limit at which calls failed last: below it growth is quick, above it slow.
    threshold: f64,
    updated: Us,
    /// Updates in a row with nothing but failures.
    failed_updates: u32,
    /// Updates in a row that were ok.
    ok_updates: u32,
    /// Only the configured maximum applies, until an outage.
    lifted: bool,
    /// Outages since the start.
    pub outages: u64,
}

impl SlowStart {
    /// A server has started, or the upstream tier was away.
    pub fn new(now: Us, config: SlowStartConfig) -> SlowStart {
        SlowStart {
            config,
            limit: config.initial_calls.max(1.0).min(config.max_calls),
            threshold: config.max_calls,
            updated: now,
            failed_updates: 0,
            ok_updates: 0,
            lifted: false,
            outages: 0,
        }
    }

    /// Another configuration from now on; a limit that is lifted stays so.
    pub fn set_config(&mut self, config: SlowStartConfig) {
        self.config = config;
        self.limit = self.limit.min(config.max_calls);
        self.threshold = config.max_calls;
    }

    /// Calls in flight at the most, now; infinite once the limit is lifted.
    pub fn limit(&self) -> f64 {
        if self.lifted {
            f64::INFINITY
        } else {
            self.limit
        }
    }

    /// All that the configuration allows is allowed.
    pub fn is_complete(&self) -> bool {
        self.lifted || self.limit >= self.config.max_calls
    }

    /// When the next update is due, in microseconds.
    pub fn next_update(&self) -> Us {
        self.updated + self.config.update_interval
    }

    /// Takes in what became of calls; true if the limit has changed. The rules, in order:
    ///
    /// 1. No call ended: the limit stays.
    /// 2. Nothing but failures, three updates in a row: an outage. It begins anew, with the threshold at half of the limit.
    /// 3. More than a tenth failed: half of the limit, one at the least; the threshold is there.
    /// 4. Else, if the limit withholds calls or half of it is used: it grows by half up to the threshold, then slowly.
    /// 5. Ok for long at the maximum: the limit is lifted until an outage.
    pub fn update(&mut self, now: Us, sample: CallSample) -> bool {
        if now < self.next_update() {
            return false;
        }
        self.updated = now;
        let before = self.limit();
        let ended = sample.ok + sample.failed;
        if ended == 0 {
            return false;
        }
        let failing = sample.failed as f64 > TOLERATED_FAILURES * ended as f64;
        self.failed_updates = if sample.ok == 0 { self.failed_updates + 1 } else { 0 };
        self.ok_updates = if failing { 0 } else { self.ok_updates + 1 };
        if self.failed_updates >= OUTAGE_UPDATES {
            self.begin_anew(now);
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

    fn begin_anew(&mut self, now: Us) {
        let is_new_outage = self.failed_updates == OUTAGE_UPDATES;
        *self = SlowStart {
            threshold: self.backed_off_limit(),
            failed_updates: self.failed_updates,
            outages: self.outages + u64::from(is_new_outage),
            ..SlowStart::new(now, self.config)
        };
    }

    fn grow(&mut self, sample: CallSample) {
        let is_needed = sample.waiting > 0 || sample.in_flight as f64 + 1.0 >= self.limit * USED_FRACTION;
        if is_needed && self.limit < self.threshold {
            self.limit = (self.limit * GROWTH_FACTOR).min(self.threshold);
        } else if is_needed {
            self.limit += GROWTH_STEP;
        }
        self.limit = self.limit.min(self.config.max_calls);
        let at_maximum = self.limit >= self.config.max_calls;
        self.lifted |= at_maximum && self.ok_updates >= UPDATES_UNTIL_LIFTED;
    }
}
