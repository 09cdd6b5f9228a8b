//! Feedback to callers on this server's load: the published value, the health status and the idle timeout of
//! connections.

use crate::decaying_sum::DecayingSum;
use crate::ids::Us;
use crate::tuning::{ACTIVITY_WINDOW, TICK_INTERVAL};

/// Mean time unread above which reading has a backlog, as a fraction of the shortest latency target.
const MAX_UNREAD_TARGET_FRACTION: f64 = 0.1;
/// Minimum relative change of the value after which it is published again.
const MIN_PUBLISHED_CHANGE_RATIO: f64 = 0.1;
/// Open connections per active caller above which the idle timeout is shortened.
const MAX_CONNECTIONS_PER_CALLER: f64 = 2.0;
/// Open connections per core up to which the idle timeout is never shortened: the connection table holds more, and
/// each handshake costs CPU time.
const KEPT_CONNECTIONS_PER_CORE: f64 = 10.0;

/// The meaning of the value that is published to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedbackMode {
    /// No value is published.
    Off,
    /// The number of RPCs that each caller may have outstanding at this server.
    Credit,
    /// The rank, 0 to 1, below which callers send no RPC.
    Threshold,
    /// The probability, 0 to 1, with which a caller selects this server instead of skipping it.
    AcceptProbability,
}

/// The state of the feedback to callers.
pub struct CallerFeedback {
    pub(crate) mode: FeedbackMode,
    /// Maximum retry-after that is relayed to clients; 0 for none.
    pub(crate) max_retry_after: Us,
    /// Decaying sum of the times for which arrivals were unread.
    unread: DecayingSum,
    /// Decaying count of arrivals.
    arrivals: DecayingSum,
    /// Mean time unread above which reading has a backlog.
    pub(crate) max_mean_unread_us: f64,
    published: f64,
    healthy: Option<bool>,
    max_idle: Us,
    idle: Us,
}

impl CallerFeedback {
    /// Creates the state before anything is published.
    ///
    /// `max_retry_after` is the maximum retry-after that is relayed to clients, 0 for none; `shortest_target` is the
    /// shortest latency target; `max_idle` is the idle time after which callers close a connection themselves.
    pub fn new(mode: FeedbackMode, max_retry_after: Us, shortest_target: Us, max_idle: Us) -> CallerFeedback {
        CallerFeedback {
            mode,
            max_retry_after,
            unread: DecayingSum::new(ACTIVITY_WINDOW),
            arrivals: DecayingSum::new(ACTIVITY_WINDOW),
            max_mean_unread_us: shortest_target as f64 * MAX_UNREAD_TARGET_FRACTION,
            published: -1.0,
            healthy: None,
            max_idle,
            idle: max_idle,
        }
    }

    /// Records an RPC that was read after being unread for `unread_for`.
    pub(crate) fn record_arrival(&mut self, now: Us, unread_for: Us) {
        self.unread.add(now, unread_for as f64);
        self.arrivals.add(now, 1.0);
    }

    /// Returns the read backlog: the ratio of the mean time unread to its limit, at least 1.
    pub(crate) fn read_backlog(&mut self, now: Us) -> f64 {
        let mean_unread = self.unread.read(now) / self.arrivals.read(now).max(1.0);
        (mean_unread / self.max_mean_unread_us).max(1.0)
    }

    /// Returns the health status to publish, if it has changed.
    pub(crate) fn update_health(&mut self, healthy: bool) -> Option<bool> {
        (self.healthy.replace(healthy) != Some(healthy)).then_some(healthy)
    }

    /// Returns the value to publish, if it has changed enough.
    pub(crate) fn update_published(&mut self, value: f64) -> Option<f64> {
        if (value - self.published).abs() > MIN_PUBLISHED_CHANGE_RATIO * self.published.max(0.0) {
            self.published = value;
            return Some(value);
        }
        None
    }

    /// Returns the idle timeout of connections, if it has changed.
    ///
    /// This guards against a connection table full of idle connections: they load the cores and leave no connection
    /// for other callers. The timeout is shortened while more than `MAX_CONNECTIONS_PER_CALLER` connections per
    /// active caller and more than `KEPT_CONNECTIONS_PER_CORE` per core are open, which also covers growth of the fleet
    /// or of the number of callers. The drawback is an additional handshake for a caller that pauses.
    pub(crate) fn adjust_idle_timeout(&mut self, open: f64, active_callers: f64, cores: f64) -> Option<Us> {
        let before = self.idle;
        let expected = MAX_CONNECTIONS_PER_CALLER * active_callers;
        if open > expected.max(KEPT_CONNECTIONS_PER_CORE * cores) {
            self.idle = (before / 2).max(TICK_INTERVAL).min(self.max_idle);
        } else if open < expected / 2.0 {
            self.idle = (before * 2).min(self.max_idle);
        }
        Some(self.idle).filter(|idle| *idle != before)
    }

    /// Applies another configuration. Published values and measurements are kept.
    pub(crate) fn reconfigure(&mut self, other: &CallerFeedback) {
        (self.mode, self.max_retry_after) = (other.mode, other.max_retry_after);
        (self.max_mean_unread_us, self.max_idle) = (other.max_mean_unread_us, other.max_idle);
        self.idle = self.idle.min(self.max_idle);
    }
}
