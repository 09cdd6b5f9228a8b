//! Counters of received and answered RPCs by method, from which a configuration change on probation is judged.
//!
//! The cost of a sample is proportional to the number of methods used since the last one, and independent of the total
//! number of methods.

use asterrill::{MethodId, Us};
use asterrill_engine::AnsweredRpc;
use asterrill_entries::Name;
use asterrill_rollout::{MethodCounts, MethodLoad, ObservedLoad, ServiceSample};

/// Half of the window of one minute over which the observed load is counted, in microseconds.
const HALF_WINDOW_US: Us = 30_000_000;

/// Counters of one method.
#[derive(Clone, Copy, Debug, Default)]
struct MethodStats {
    /// The active latency target.
    target: Us,
    /// The latency target by which answers are judged; while a change is on probation, that of the previous version.
    baseline_target: Us,
    /// The RPCs received since the last sample; the next three counters cover the same period.
    received: u64,
    answered: u64,
    in_time: u64,
    upstream_failed: u64,
    /// The RPCs received in the current half of the window.
    received_in_half: u64,
    /// The RPCs received in the previous half of the window.
    received_in_previous_half: u64,
    /// Whether the method is listed among those used since the last sample.
    in_sample: bool,
    /// Whether the method is listed among those received within the window.
    in_window: bool,
}

impl MethodStats {
    fn with_target(target: Us) -> MethodStats {
        MethodStats { target, baseline_target: target, ..MethodStats::default() }
    }

    /// Returns and resets the counters since the last sample. `mean_work_us` is the mean cost of the method in
    /// microseconds.
    fn take_counts(&mut self, mean_work_us: f64) -> MethodCounts {
        let counts = MethodCounts {
            answered: self.answered as f64,
            in_time: self.in_time as f64,
            upstream_failed: self.upstream_failed as f64,
            work_us: self.received as f64 * mean_work_us,
        };
        self.received = 0;
        self.answered = 0;
        self.in_time = 0;
        self.upstream_failed = 0;
        self.in_sample = false;
        counts
    }
}

/// Counters of all methods, by index.
pub struct ServiceStats {
    methods: Vec<MethodStats>,
    /// The indices of the methods used since the last sample.
    sampled: Vec<usize>,
    /// The indices of the methods received within the window.
    windowed: Vec<usize>,
    half_started: Us,
    started: Us,
}

impl ServiceStats {
    /// Creates counters for methods with these latency targets, in the order of their indices.
    pub fn new(now: Us, targets: Vec<Us>) -> ServiceStats {
        ServiceStats {
            methods: targets.into_iter().map(MethodStats::with_target).collect(),
            sampled: Vec::new(),
            windowed: Vec::new(),
            half_started: now,
            started: now,
        }
    }

    /// Sets the latency target of a method in the version that is being activated.
    pub fn set_target(&mut self, index: usize, target: Us) {
        if index >= self.methods.len() {
            self.methods.resize(index + 1, MethodStats::with_target(target));
        }
        if let Some(method) = self.methods.get_mut(index) {
            method.target = target;
        }
    }

    /// Makes the active targets those by which answers are judged.
    pub fn commit_targets(&mut self) {
        for method in &mut self.methods {
            method.baseline_target = method.target;
        }
    }

    /// Counts a received RPC of this method.
    pub fn record_received(&mut self, id: MethodId) {
        let Some(method) = self.methods.get_mut(id.0) else { return };
        method.received += 1;
        method.received_in_half += 1;
        if !std::mem::replace(&mut method.in_sample, true) {
            self.sampled.push(id.0);
        }
        if !std::mem::replace(&mut method.in_window, true) {
            self.windowed.push(id.0);
        }
    }

    /// Counts an answered RPC.
    pub fn record_answered(&mut self, served: AnsweredRpc, ok: bool) {
        let Some(method) = self.methods.get_mut(served.method.0) else { return };
        let in_time = ok && served.latency <= method.baseline_target;
        method.answered += 1;
        method.in_time += u64::from(in_time);
        method.upstream_failed += u64::from(!in_time && served.upstream_failed);
        if !std::mem::replace(&mut method.in_sample, true) {
            self.sampled.push(served.method.0);
        }
    }

    /// Returns and resets the counters since the last sample. `name` returns the name of a method, and `cost` its mean
    /// cost in microseconds.
    pub fn take_sample(
        &mut self, name: impl Fn(MethodId) -> Option<Name>, cost: impl Fn(MethodId) -> f64,
    ) -> ServiceSample {
        let mut sample = ServiceSample::default();
        for index in self.sampled.drain(..) {
            let Some(method) = self.methods.get_mut(index) else { continue };
            let counts = method.take_counts(cost(MethodId(index)));
            sample.methods.extend(name(MethodId(index)).map(|name| (name, counts)));
        }
        sample
    }

    /// Advances the window to this time.
    pub fn advance_to(&mut self, now: Us) {
        if now < self.half_started.saturating_add(HALF_WINDOW_US) {
            return;
        }
        self.half_started = now;
        let methods = &mut self.methods;
        self.windowed.retain(|index| {
            let Some(method) = methods.get_mut(*index) else { return false };
            method.received_in_previous_half = std::mem::take(&mut method.received_in_half);
            method.in_window = method.received_in_previous_half > 0;
            method.in_window
        });
    }

    /// Returns the load of the last minute by method. `name` and `cost` are as in [`ServiceStats::take_sample`].
    pub fn observed_load(
        &self, now: Us, name: impl Fn(MethodId) -> Option<Name>, cost: impl Fn(MethodId) -> f64,
    ) -> ObservedLoad {
        let load_of = |index: &usize| {
            let method = self.methods.get(*index)?;
            let requests = (method.received_in_half + method.received_in_previous_half) as f64;
            let load = MethodLoad { requests, mean_work_us: cost(MethodId(*index)) };
            Some((name(MethodId(*index))?, load))
        };
        let window_started = self.half_started.saturating_sub(HALF_WINDOW_US).max(self.started);
        let span = now.saturating_sub(window_started);
        let methods = self.windowed.iter().filter_map(load_of).collect();
        ObservedLoad { methods, seconds: span as f64 / 1e6, ..ObservedLoad::default() }
    }
}
