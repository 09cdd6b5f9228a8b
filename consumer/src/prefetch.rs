//! How many deliveries may be unsettled at a time.
//!
//! The published credit is the number of RPCs that each caller may have outstanding here; a queue is one caller. So the
//! window is twice the credit, as some of what is unsettled is on the wire. Where no credit is published, a number for
//! each core stands in for it. The window is cut to what memory has capacity for and, while rejected deliveries wait for
//! their retry, to half of its size: what waits counts as unsettled too, and more of it would only wait as well.
//!
//! A change of the window costs a cancel and a new subscription, because brokers differ in whether a new prefetch binds
//! an existing consumer. So it grows by doubling, at most once a second, and shrinks at once. At zero the consumer is
//! cancelled and comes back after a second at the earliest. That prevents a storm of subscriptions while the credit
//! fluctuates; the cost is that a server that has just become free gets work a second late.

use asterrill::Us;

/// The shortest time from a change of the window to its next increase, in microseconds.
const MIN_TIME_TO_INCREASE: Us = 1_000_000;
/// The shortest time from a change of the window to its next decrease, in microseconds; none applies to zero.
const MIN_TIME_TO_DECREASE: Us = 200_000;
/// Stands in for the credit, for each core, where none is published.
const CREDIT_PER_CORE: f64 = 2.0;
/// Unsettled deliveries for each unit of credit: some are on the wire, to this server or settled.
const WINDOW_PER_CREDIT: f64 = 2.0;
/// A credit below this is none; one below 1 still lets one delivery out.
const MIN_CREDIT: f64 = 0.02;
/// The fraction of unsettled deliveries that may wait for a retry before the window is halved.
const MAX_WAITING_FRACTION: f64 = 0.5;

/// What the window is decided from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefetchSignals {
    /// RPCs that each caller may have outstanding here, where that is published.
    pub(crate) credit: Option<f64>,
    /// Cores of this server.
    pub(crate) cores: f64,
    /// Deliveries that there is memory for.
    pub(crate) memory_capacity: f64,
    /// Deliveries that are not settled now.
    pub(crate) unsettled: usize,
    /// Those of them that wait for a retry.
    pub(crate) waiting: usize,
}

/// The number of deliveries that may be unsettled at a time; 0 while nothing is to be delivered.
#[derive(Clone, Debug)]
pub(crate) struct PrefetchWindow {
    max: u16,
    current: u16,
    changed_at: Us,
}

impl PrefetchWindow {
    /// A window of 0 that may grow to `max`, which the operators set to 1 or more.
    pub(crate) fn new(now: Us, max: u16) -> PrefetchWindow {
        PrefetchWindow { max: max.max(1), current: 0, changed_at: now.saturating_sub(MIN_TIME_TO_INCREASE) }
    }

    /// Sets another upper bound, from the next update on.
    pub(crate) fn set_max(&mut self, max: u16) {
        self.max = max.max(1);
    }

    /// The window's present size.
    pub(crate) fn get(&self) -> u16 {
        self.current
    }

    /// Moves the window towards its target; true if it has changed.
    pub(crate) fn update(&mut self, now: Us, signals: PrefetchSignals) -> bool {
        let elapsed = now.saturating_sub(self.changed_at);
        let next = match self.target(signals) {
            0 => 0,
            larger if larger > self.current && elapsed >= MIN_TIME_TO_INCREASE => {
                larger.min((self.current * 2).max(1))
            }
            smaller if smaller < self.current && elapsed >= MIN_TIME_TO_DECREASE => smaller,
            _ => self.current,
        };
        let changed = next != self.current;
        if changed {
            self.current = next;
            self.changed_at = now;
        }
        changed
    }

    /// The size that the signals call for: 0 or a power of two.
    fn target(&self, signals: PrefetchSignals) -> u16 {
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
