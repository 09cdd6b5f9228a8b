//! How many RPCs run at a time: target_parallel_reqs, max_parallel_reqs, and the slow start of a cold server.

use crate::events::Gauges;
use crate::ids::Us;
use crate::tuning::{COST_SPREAD, SAFETY_FACTOR};

/// max_parallel_reqs over target_parallel_reqs: so many run above the target before RPCs wait.
const HEADROOM: f64 = 1.25;
/// Growth of the target at each tick; it shrinks by the root of that.
const GROWTH: f64 = 1.1;

/// The adaptive concurrency target and its bounds.
pub struct ConcurrencyLimit {
    pub(crate) cores: f64,
    /// target_parallel_reqs.
    pub(crate) target: f64,
    /// Running RPCs per core that a warm server survives.
    pub(crate) survivable_per_core: f64,
    /// Fraction of its warm speed that a cold server has, 0 to 1.
    cold_speed: f64,
    /// Duration of the slow start in microseconds, at least 1.
    slow_start: f64,
    started_at: Us,
}

impl ConcurrencyLimit {
    /// `survivable_per_core`: running RPCs per core that a warm server survives. A cold server begins at
    /// `cold_speed` (0 to 1) of its speed and is warm after `slow_start`; `cold_speed` is 1 for one that starts
    /// warm.
    pub fn new(
        now: Us, cores: usize, survivable_per_core: f64, cold_speed: f64, slow_start: Us,
    ) -> ConcurrencyLimit {
        let cores = cores.max(1) as f64;
        ConcurrencyLimit {
            cores,
            target: cores,
            survivable_per_core,
            cold_speed,
            slow_start: slow_start.max(1) as f64,
            started_at: now,
        }
    }

    /// The least speed now, as a fraction of the warm one.
    pub(crate) fn speed(&self, now: Us) -> f64 {
        let elapsed = now.saturating_sub(self.started_at) as f64;
        self.cold_speed + (1.0 - self.cold_speed) * (elapsed / self.slow_start).min(1.0)
    }

    /// The slow start is over, or there was none.
    pub(crate) fn is_warm(&self, now: Us) -> bool {
        self.cold_speed >= 1.0 || now.saturating_sub(self.started_at) as f64 >= self.slow_start
    }

    /// RPCs on the cores that this server survives now, with the safety margin.
    pub(crate) fn survivable(&self, now: Us) -> f64 {
        SAFETY_FACTOR * (1.0 + (self.survivable_per_core - 1.0).max(0.0) * self.speed(now)) * self.cores
    }

    pub(crate) fn max_parallel_reqs(&self, now: Us) -> f64 {
        (self.target * HEADROOM).min(self.survivable(now)).max(1.0)
    }

    /// Moves the target: down while the server is slow, up while it is full and has idle cores all the same.
    pub(crate) fn adjust(&mut self, now: Us, gauges: Gauges, parallel_reqs: f64, slowdown: f64) {
        let cores_idle = gauges.runnable.is_some_and(|runnable| runnable < self.cores);
        if slowdown > COST_SPREAD {
            self.target /= GROWTH.sqrt();
        } else if cores_idle && parallel_reqs + 1.0 >= self.target {
            self.target *= GROWTH;
        }
        self.set_target(now, self.target);
    }

    /// Sets the target within its bounds: at least one RPC per core, at most what is survived.
    pub(crate) fn set_target(&mut self, now: Us, target: f64) {
        self.target = target.max(self.cores).min((self.survivable(now) / HEADROOM).max(1.0));
    }

    /// Takes over another configuration's cores and crowd. The target scales with the cores; the slow start goes on.
    pub(crate) fn reconfigure(&mut self, other: &ConcurrencyLimit) {
        self.target *= other.cores / self.cores;
        self.cores = other.cores;
        self.survivable_per_core = other.survivable_per_core;
    }
}
