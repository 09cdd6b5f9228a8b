//! Pauses between attempts that grow with each failure.

use crate::clock::{now, wait_until};
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Exponential backoff with jitter: each pause is half to one and a half times as long as its step, and each step twice as long
/// as the one before.
pub struct Backoff {
    next: Duration,
    min: Duration,
    max: Duration,
    rng: WyRand,
}

impl Backoff {
    /// Steps from `min` to `max`; jitter from `seed`.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff { next: min, min, max, rng: WyRand::new_seed(seed) }
    }

    /// An attempt succeeded: the next pause is the shortest again.
    pub fn reset(&mut self) {
        self.next = self.min;
    }

    /// Waits for a pause.
    pub fn wait(&mut self) {
        self.wait_unless(|| false);
    }

    /// Waits for a pause, or until `cancelled`, which is looked at whenever the coroutine is woken.
    pub fn wait_unless(&mut self, cancelled: impl Fn() -> bool) {
        let jitter = 0.5 + self.rng.generate::<f64>();
        let until = now() + self.next.mul_f64(jitter).as_micros() as u64;
        while now() < until && !cancelled() {
            wait_until(until);
        }
        self.next = (self.next * 2).min(self.max);
    }
}
