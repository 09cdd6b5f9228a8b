//! Exponential backoff between attempts to connect.

use crate::clock::{now, wait_until};
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Exponential backoff with jitter: the step doubles after each delay up to a maximum, and each delay lasts 0.5 to 1.5 times
/// its step.
pub struct Backoff {
    next: Duration,
    min: Duration,
    max: Duration,
    rng: WyRand,
}

impl Backoff {
    /// Creates a backoff with steps from `min` to `max`. `seed` seeds the jitter.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { next: min, min, max, rng: WyRand::new_seed(seed) }
    }

    /// Returns to the shortest step, after an attempt has succeeded.
    pub fn reset(&mut self) {
        self.next = self.min;
    }

    /// Waits for the next delay.
    pub fn wait(&mut self) {
        self.wait_unless(|| false);
    }

    /// Waits for the next delay, or until `cancelled` returns true. `cancelled` is evaluated whenever the coroutine is woken.
    pub fn wait_unless(&mut self, cancelled: impl Fn() -> bool) {
        let jitter = 0.5 + self.rng.generate::<f64>();
        let until = now() + self.next.mul_f64(jitter).as_micros() as u64;
        while now() < until && !cancelled() {
            wait_until(until);
        }
        self.next = (self.next * 2).min(self.max);
    }
}
