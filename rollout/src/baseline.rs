//! Baseline of a probation: the service level just before a change.

use crate::sample::ServiceSample;
use crate::version::Us;
use std::collections::VecDeque;

/// Length of a slot, in microseconds. Samples are summed and evaluated per slot.
pub(crate) const SLOT_US: Us = 500_000;
/// Number of slots in the baseline; 40 slots cover 20 seconds.
const MAX_BASELINE_SLOTS: usize = 40;

/// Sliding window over the most recent slots. It is recorded at all times, so that a baseline exists when a change is
/// applied.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    pub(crate) slots: VecDeque<ServiceSample>,
    /// Slot that is not complete yet.
    pub(crate) open_slot: ServiceSample,
    open_since: Us,
}

impl Baseline {
    /// Adds the sample of the time since the last call.
    pub fn record(&mut self, now: Us, sample: &ServiceSample) {
        self.open_slot.add(sample);
        if now < self.open_since.saturating_add(SLOT_US) {
            return;
        }
        self.open_since = now;
        if self.slots.len() >= MAX_BASELINE_SLOTS {
            self.slots.pop_front();
        }
        self.slots.push_back(std::mem::take(&mut self.open_slot));
    }

    /// Returns the sum of all recorded samples: the open slot first, then the complete slots from the oldest to the
    /// newest.
    pub(crate) fn total(&self) -> ServiceSample {
        let mut total = self.open_slot.clone();
        self.slots.iter().for_each(|slot| total.add(slot));
        total
    }

    /// Returns the largest amount of work in a complete slot, in microseconds.
    pub(crate) fn peak_slot_work_us(&self) -> f64 {
        self.slots.iter().map(ServiceSample::total_work_us).fold(0.0, f64::max)
    }
}
