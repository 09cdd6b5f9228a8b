//! Constants that several decisions share. A constant that a single decision uses is defined next to it.

use crate::ids::Us;

/// Fraction that is used of each limit that the server, its memory or its upstream sustains.
pub(crate) const SAFETY_FACTOR: f64 = 0.8;

/// Time within which a caller must have been seen to be active and share the target, as in the published design.
pub(crate) const ACTIVITY_WINDOW: Us = 1_000_000;

/// Number of periodic adjustments in one activity window.
pub(crate) const TICKS_PER_WINDOW: u64 = 10;

/// Time between periodic adjustments.
pub(crate) const TICK_INTERVAL: Us = ACTIVITY_WINDOW / TICKS_PER_WINDOW;

/// Ratio of max_cost to the mean cost. A slowdown within it may be random variation, as the work of an RPC varies by
/// about as much as its mean.
pub(crate) const COST_SPREAD: f64 = 1.6;

/// Multiple of the highest max_cost after which a server is stalled instead of merely busy, if no RPC has entered or
/// left the cores in that time.
pub(crate) const STALL_FACTOR: f64 = 5.0;

/// Number of runs of any method over which the slowdown is averaged.
pub(crate) const SLOWDOWN_SAMPLES: f64 = 12.0;
