//! An exponentially decaying sum.

use crate::ids::Us;

/// A sum whose amounts decay exponentially with time. The decay is applied when the sum is read or added to.
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Us,
    /// Time in microseconds after which an amount has decayed to 1/e.
    pub(crate) time_constant: f64,
}

impl DecayingSum {
    pub(crate) fn new(time_constant: Us) -> DecayingSum {
        DecayingSum { value: 0.0, updated_at: 0, time_constant: time_constant.max(1) as f64 }
    }

    /// Adds an amount and returns the sum.
    pub(crate) fn add(&mut self, now: Us, amount: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.value = self.value * (-elapsed / self.time_constant).exp() + amount;
        self.updated_at = now;
        self.value
    }

    /// Returns the sum at `now`.
    pub(crate) fn read(&mut self, now: Us) -> f64 {
        self.add(now, 0.0)
    }
}
