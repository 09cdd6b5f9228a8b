//! Tuned values that several decisions share. A value that one decision uses stands beside it.

use crate::ids::Us;

/// Fraction made use of, of whatever limit the server, its memory or its upstream survives.
pub(crate) const SAFETY_FACTOR: f64 = 0.8;

/// Callers seen within this time are active and share the target (the source's last second). In microseconds.
pub(crate) const ACTIVITY_WINDOW: Us = 1_000_000;

/// Periodic adjustments in one activity window.
pub(crate) const TICKS_PER_WINDOW: u64 = 10;

/// Time between periodic adjustments, in microseconds.
pub(crate) const TICK_INTERVAL: Us = ACTIVITY_WINDOW / TICKS_PER_WINDOW;

/// max_cost over the mean cost. A slowdown within it may be chance, as work varies by its mean.
pub(crate) const COST_SPREAD: f64 = 1.6;

/// Multiples of the highest max_cost without a run ending after which the server is broken, not just busy.
pub(crate) const STALL_FACTOR: f64 = 5.0;

/// Runs of any method that the server's slowdown remembers.
pub(crate) const SLOWDOWN_MEMORY: f64 = 12.0;
