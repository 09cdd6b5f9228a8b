//! What callers learn of this server's load: the number published to them, health, and how long a connection may
//! stay idle.

use crate::decaying_sum::DecayingSum;
use crate::ids::Us;
use crate::tuning::{ACTIVITY_WINDOW, TICK_INTERVAL};

/// Mean time unread, in shortest latency targets, above which reading is behind.
const UNREAD_LIMIT: f64 = 0.1;
/// Fraction by which the published number has to move before it is published again.
const PUBLISH_STEP: f64 = 0.1;
/// Open connections for each active caller above which idle ones close sooner.
const CONNECTIONS_PER_CALLER: f64 = 2.0;
/// Open connections for each core that stay open anyway: a table holds more, and each handshake is work.
const CONNECTIONS_PER_CORE: f64 = 10.0;

/// What callers make of the number published to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedbackMode {
    /// Nothing may be published.
    Off,
    /// RPCs that each caller may have outstanding here.
    Credit,
    /// Callers send nothing whose rank, 0 to 1, is below it.
    Threshold,
    /// The probability, 0 to 1, that a caller does not pass this server over.
    AcceptProbability,
}

/// The state of what is published.
pub struct CallerFeedback {
    pub(crate) mode: FeedbackMode,
    /// Longest retry-after that is relayed to clients; 0 for none.
    pub(crate) max_retry_after: Us,
    /// Decaying sum of the times that arrivals lay unread.
    unread: DecayingSum,
    /// Decaying count of arrivals.
    arrivals: DecayingSum,
    /// Mean time unread, in microseconds, above which reading is behind.
    pub(crate) unread_limit: f64,
    published: f64,
    healthy: Option<bool>,
    max_idle: Us,
    idle: Us,
}

impl CallerFeedback {
    /// `max_retry_after`: the longest retry-after that is relayed to clients, 0 where none is; `shortest_target`:
    /// the shortest latency target; `max_idle`: when callers close an idle connection by themselves.
    pub fn new(mode: FeedbackMode, max_retry_after: Us, shortest_target: Us, max_idle: Us) -> CallerFeedback {
        CallerFeedback {
            mode,
            max_retry_after,
            unread: DecayingSum::new(ACTIVITY_WINDOW),
            arrivals: DecayingSum::new(ACTIVITY_WINDOW),
            unread_limit: shortest_target as f64 * UNREAD_LIMIT,
            published: -1.0,
            healthy: None,
            max_idle,
            idle: max_idle,
        }
    }

    /// An RPC was read that had lain unread for a while.
    pub(crate) fn record_arrival(&mut self, now: Us, unread_for: Us) {
        self.unread.add(now, unread_for as f64);
        self.arrivals.add(now, 1.0);
    }

    /// How far reading is behind: the mean time unread over its limit, at least 1.
    pub(crate) fn read_backlog(&mut self, now: Us) -> f64 {
        let mean_unread = self.unread.read(now) / self.arrivals.read(now).max(1.0);
        (mean_unread / self.unread_limit).max(1.0)
    }

    /// Returns the health to publish, if it has changed.
    pub(crate) fn update_health(&mut self, healthy: bool) -> Option<bool> {
        (self.healthy.replace(healthy) != Some(healthy)).then_some(healthy)
    }

    /// Returns the number to publish, if it has moved far enough.
    pub(crate) fn update_published(&mut self, value: f64) -> Option<f64> {
        if (value - self.published).abs() > PUBLISH_STEP * self.published.max(0.0) {
            self.published = value;
            return Some(value);
        }
        None
    }

    /// Returns the idle timeout of connections, if it has changed. Guards against a table full of connections that
    /// bring nothing: they tax the cores and leave callers without one. While more are open than twice the active
    /// callers need, idle ones close sooner. It also covers a fleet or a crowd of callers that has grown. Harm: a
    /// handshake for a caller that pauses.
    pub(crate) fn adjust_idle_timeout(&mut self, open: f64, active_callers: f64, cores: f64) -> Option<Us> {
        let before = self.idle;
        let wanted = CONNECTIONS_PER_CALLER * active_callers;
        if open > wanted.max(CONNECTIONS_PER_CORE * cores) {
            self.idle = (before / 2).max(TICK_INTERVAL).min(self.max_idle);
        } else if open < wanted / 2.0 {
            self.idle = (before * 2).min(self.max_idle);
        }
        Some(self.idle).filter(|idle| *idle != before)
    }

    /// Takes over another configuration; what was published and measured goes on.
    pub(crate) fn reconfigure(&mut self, other: &CallerFeedback) {
        (self.mode, self.max_retry_after) = (other.mode, other.max_retry_after);
        (self.unread_limit, self.max_idle) = (other.unread_limit, other.max_idle);
        self.idle = self.idle.min(self.max_idle);
    }
}
