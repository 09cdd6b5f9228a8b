//! The limit on RPCs that run at a time: target_parallel_reqs, max_parallel_reqs and the slow start of a cold server.

use crate::events::Gauges;
use crate::ids::Us;
use crate::tuning::{COST_SPREAD, SAFETY_FACTOR};

/// Ratio of max_parallel_reqs to target_parallel_reqs: RPCs are queued only above that multiple of the target.
const HEADROOM_FACTOR: f64 = 1.25;
/// Factor by which the target grows at each tick. It shrinks by the square root of it.
const GROWTH_FACTOR: f64 = 1.1;

/// The adaptive concurrency target and its bounds.
pub struct ConcurrencyLimit {
    pub(crate) cores: f64,
    /// target_parallel_reqs.
    pub(crate) target: f64,
    /// Maximum number of running RPCs per core that a warm server sustains without collapse.
    pub(crate) sustainable_rpcs_per_core: f64,
    /// Speed of a cold server as a fraction of its warm speed, 0 to 1.
    cold_speed: f64,
    /// Duration of the slow start in microseconds, at least 1.
    slow_start: f64,
    started_at: Us,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server that starts at `now`.
    ///
    /// `sustainable_rpcs_per_core` is the maximum number of running RPCs per core that a warm server sustains without
    /// collapse. A cold server starts at the fraction `cold_speed` (0 to 1) of its warm speed and is warm after
    /// `slow_start`; `cold_speed` is 1 for a server that starts warm.
    pub fn new(
        now: Us, cores: usize, sustainable_rpcs_per_core: f64, cold_speed: f64, slow_start: Us,
    ) -> ConcurrencyLimit {
        let cores = cores.max(1) as f64;
        ConcurrencyLimit {
            cores,
            target: cores,
            sustainable_rpcs_per_core,
            cold_speed,
            slow_start: slow_start.max(1) as f64,
            started_at: now,
        }
    }

    /// Returns the minimum speed at `now`, as a fraction of the warm speed.
    pub(crate) fn speed(&self, now: Us) -> f64 {
        let elapsed = now.saturating_sub(self.started_at) as f64;
        self.cold_speed + (1.0 - self.cold_speed) * (elapsed / self.slow_start).min(1.0)
    }

    /// Reports whether the slow start is over or there was none.
    pub(crate) fn is_warm(&self, now: Us) -> bool {
        self.cold_speed >= 1.0 || now.saturating_sub(self.started_at) as f64 >= self.slow_start
    }

    /// Returns the maximum number of running RPCs that this server sustains at `now`, with the safety margin.
    pub(crate) fn sustainable_rpcs(&self, now: Us) -> f64 {
        SAFETY_FACTOR * (1.0 + (self.sustainable_rpcs_per_core - 1.0).max(0.0) * self.speed(now)) * self.cores
    }

    /// Returns max_parallel_reqs: the number of running RPCs above which RPCs are queued.
    pub(crate) fn max_parallel_reqs(&self, now: Us) -> f64 {
        (self.target * HEADROOM_FACTOR).min(self.sustainable_rpcs(now)).max(1.0)
    }

    /// Adjusts the target: down while the server is slow, up while the target is reached and cores are idle.
    pub(crate) fn adjust(&mut self, now: Us, gauges: Gauges, parallel_reqs: f64, slowdown: f64) {
        let cores_idle = gauges.runnable.is_some_and(|runnable| runnable < self.cores);
        if slowdown > COST_SPREAD {
            self.target /= GROWTH_FACTOR.sqrt();
        } else if cores_idle && parallel_reqs + 1.0 >= self.target {
            self.target *= GROWTH_FACTOR;
        }
        self.set_target(now, self.target);
    }

    /// Sets the target within its bounds: at least one RPC per core, at most what the server sustains.
    pub(crate) fn set_target(&mut self, now: Us, target: f64) {
        self.target = target.max(self.cores).min((self.sustainable_rpcs(now) / HEADROOM_FACTOR).max(1.0));
    }

    /// Applies the number of cores and the sustainable RPCs per core of another configuration. The target scales with
    /// the cores; the slow start continues.
    pub(crate) fn reconfigure(&mut self, other: &ConcurrencyLimit) {
        self.target *= other.cores / self.cores;
        self.cores = other.cores;
        self.sustainable_rpcs_per_core = other.sustainable_rpcs_per_core;
    }
}
