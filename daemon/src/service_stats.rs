//! What was received and answered of each method, for the watch over a configuration change. Taking a sample costs
//! time in the number of methods that were used since the last one, whatever the number of methods there are.

use asterrill::{MethodId, Us};
use asterrill_engine::AnsweredRpc;
use asterrill_entries::Name;
use asterrill_rollout::{MethodCounts, MethodLoad, ObservedLoad, ServiceSample};

/// Half of the minute, in microseconds, over which the observed load is counted.
const HALF_WINDOW_US: Us = 30_000_000;

/// The counters of one method.
#[derive(Clone, Copy, Debug, Default)]
struct MethodStats {
    /// The latency target in force.
    target: Us,
    /// The latency target that answers are judged by while a change is watched: that of the version before.
    baseline_target: Us,
    /// Counted since the last sample.
    received: u64,
    answered: u64,
    in_time: u64,
    upstream_failed: u64,
    /// RPCs received in the present half of the window and in the one before.
    received_in_half: u64,
    received_in_previous_half: u64,
    /// It is listed among the methods used since the last sample.
    in_sample: bool,
    /// It is listed among the methods received within the window.
    in_window: bool,
}

impl MethodStats {
    fn with_target(target: Us) -> MethodStats {
        MethodStats { target, baseline_target: target, ..MethodStats::default() }
    }

    /// Takes the counters since the last sample; `mean_work_us` is the method's mean cost in microseconds.
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

/// The counters of all methods, by their index.
pub struct ServiceStats {
    methods: Vec<MethodStats>,
    /// Indices of the methods that were used since the last sample.
    sampled: Vec<usize>,
    /// Indices of the methods that were received within the window.
    windowed: Vec<usize>,
    half_started: Us,
    started: Us,
}

impl ServiceStats {
    /// Counters for methods with these latency targets, in the order of their indices.
    pub fn new(now: Us, targets: Vec<Us>) -> ServiceStats {
        ServiceStats {
            methods: targets.into_iter().map(MethodStats::with_target).collect(),
            sampled: Vec::new(),
            windowed: Vec::new(),
            half_started: now,
            started: now,
        }
    }

    /// Sets the latency target of a method under the version that comes into force.
    pub fn set_target(&mut self, index: usize, target: Us) {
        if index >= self.methods.len() {
            self.methods.resize(index + 1, MethodStats::with_target(target));
        }
        if let Some(method) = self.methods.get_mut(index) {
            method.target = target;
        }
    }

    /// From now on answers are judged by the targets in force.
    pub fn commit_targets(&mut self) {
        for method in &mut self.methods {
            method.baseline_target = method.target;
        }
    }

    /// An RPC of this method was received.
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

    /// An RPC was answered.
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

    /// Takes what was counted since the last sample. `name` is a method's name and `cost` its mean cost in
    /// microseconds.
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

    /// Moves the window on to this moment.
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

    /// The load of the last minute, by method. `name` and `cost` as for [`ServiceStats::take_sample`].
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
