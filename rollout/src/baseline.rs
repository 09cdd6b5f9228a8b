//! The baseline: what service was like just before a change.

use crate::sample::ServiceSample;
use crate::version::Us;
use std::collections::VecDeque;

/// Length of a slot, in microseconds. Samples are summed up and judged by slots.
pub(crate) const SLOT_US: Us = 500_000;
/// Slots of the baseline: 20 seconds.
const MAX_BASELINE_SLOTS: usize = 40;

/// A sliding window over the last slots. It is recorded at all times, so that a change finds its baseline.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    pub(crate) slots: VecDeque<ServiceSample>,
    /// The slot that is not complete yet.
    pub(crate) open_slot: ServiceSample,
    open_since: Us,
}

impl Baseline {
    /// Adds what was served since the last call.
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

    /// All that was recorded, as one sample: the open slot first, then the others from the oldest.
    pub(crate) fn total(&self) -> ServiceSample {
        let mut total = self.open_slot.clone();
        self.slots.iter().for_each(|slot| total.add(slot));
        total
    }

    /// The greatest work of a complete slot, in microseconds.
    pub(crate) fn peak_slot_work_us(&self) -> f64 {
        self.slots.iter().map(ServiceSample::total_work_us).fold(0.0, f64::max)
    }
}
