//! Prefetch window: the number of deliveries that may be unsettled at a time.
//!
//! The published credit is the number of RPCs that each caller may have outstanding here, and a queue is one caller.
//! The window is twice the credit, because some of the unsettled deliveries are on the wire. If no credit is published,
//! it is derived from the number of cores. The window is limited to the deliveries that memory has capacity for. While
//! more than half of the unsettled deliveries wait for a retry, it is halved. Deliveries that wait count as unsettled,
//! too, and further deliveries would only wait as well.
//!
//! A change of the window costs a cancel and a new subscription, because brokers differ in whether a new prefetch
//! applies to an existing consumer. The window therefore grows by doubling, at most once a second, and shrinks at most
//! every 200 ms. It drops to zero at once: the consumer is cancelled, and is started again after a second at the
//! earliest. This prevents a storm of subscriptions while the credit fluctuates. The cost is that a server that has
//! just become free gets work up to a second late.

use asterrill::Us;

/// Minimum time from a change of the window to its next increase, in microseconds.
const MIN_TIME_TO_INCREASE_US: Us = 1_000_000;
/// Minimum time from a change of the window to its next decrease, in microseconds. It does not apply to a
/// decrease to 0.
const MIN_TIME_TO_DECREASE_US: Us = 200_000;
/// Credit for each core that is assumed if none is published.
const CREDIT_PER_CORE: f64 = 2.0;
/// Unsettled deliveries for each unit of credit. It is above 1 because some deliveries, or their settlements, are on
/// the wire.
const WINDOW_PER_CREDIT: f64 = 2.0;
/// Minimum credit at which deliveries are consumed. A credit between this and 1 allows one delivery.
const MIN_CREDIT: f64 = 0.02;
/// Maximum fraction of unsettled deliveries that may wait for a retry before the window is halved.
const MAX_WAITING_FRACTION: f64 = 0.5;

/// Inputs to the size of the window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefetchSignals {
    /// Number of RPCs that each caller may have outstanding here, if it is published.
    pub(crate) credit: Option<f64>,
    /// Number of cores of this server.
    pub(crate) cores: f64,
    /// Number of deliveries that memory has capacity for.
    pub(crate) memory_capacity: f64,
    /// Number of unsettled deliveries.
    pub(crate) unsettled: usize,
    /// Number of messages with unsettled deliveries that wait for a retry.
    pub(crate) waiting: usize,
}

/// Number of deliveries that may be unsettled at a time; 0 while nothing is to be consumed.
#[derive(Clone, Debug)]
pub(crate) struct PrefetchWindow {
    max: u16,
    current: u16,
    changed_at: Us,
}

impl PrefetchWindow {
    /// Returns a window of size 0 that may grow to `max`, which is configured as 1 or more.
    pub(crate) fn new(now: Us, max: u16) -> PrefetchWindow {
        PrefetchWindow {
            max: max.max(1),
            current: 0,
            changed_at: now.saturating_sub(MIN_TIME_TO_INCREASE_US),
        }
    }

    /// Sets the maximum size, which applies from the next update on.
    pub(crate) fn set_max(&mut self, max: u16) {
        self.max = max.max(1);
    }

    /// Returns the current size of the window.
    pub(crate) fn get(&self) -> u16 {
        self.current
    }

    /// Moves the window towards its target size. Returns whether it has changed.
    pub(crate) fn update(&mut self, now: Us, signals: PrefetchSignals) -> bool {
        let elapsed = now.saturating_sub(self.changed_at);
        let next = match self.target_size(signals) {
            0 => 0,
            larger if larger > self.current && elapsed >= MIN_TIME_TO_INCREASE_US => {
                larger.min((self.current * 2).max(1))
            }
            smaller if smaller < self.current && elapsed >= MIN_TIME_TO_DECREASE_US => smaller,
            _ => self.current,
        };
        let changed = next != self.current;
        if changed {
            self.current = next;
            self.changed_at = now;
        }
        changed
    }

    /// Returns the target size for these signals: 0 or a power of two.
    fn target_size(&self, signals: PrefetchSignals) -> u16 {
        let credit = signals.credit.unwrap_or(CREDIT_PER_CORE * signals.cores);
        if credit < MIN_CREDIT {
            return 0;
        }
        let by_credit = (WINDOW_PER_CREDIT * credit).max(1.0);
        let mut limit = by_credit.min(signals.memory_capacity).min(self.max.into());
        if signals.waiting as f64 > MAX_WAITING_FRACTION * signals.unsettled as f64 {
            limit = limit.min((f64::from(self.current) / 2.0).max(1.0));
        }
        if limit >= 1.0 {
            1 << (limit as u16).ilog2()
        } else {
            0
        }
    }
}
