//! Processes that start in the same moment, with copied files, must not act in the same moments.

use asterrill::Us;
use xxhash_rust::xxh3::xxh3_64;

/// A seed for chance that differs between processes and between starts: of the deployment's seed, which files may
/// share, the backend's name, the moment of the start in microseconds and the process's number.
pub fn seed(told: u64, name: &str, start: Us, process: u32) -> u64 {
    let bytes = [&told.to_le_bytes()[..], name.as_bytes(), &start.to_le_bytes(), &process.to_le_bytes()];
    xxh3_64(&bytes.concat())
}

/// Where in a period something that repeats begins, from 0 to under `period`, in microseconds.
pub fn phase(seed: u64, what: &str, period: Us) -> Us {
    xxh3_64(&[&seed.to_le_bytes()[..], what.as_bytes()].concat()) % period.max(1)
}

const SWING: f64 = 0.25; // of a period, each way

/// Something that repeats about once in a period, each time a little earlier or later.
#[derive(Clone, Debug)]
pub struct Beat {
    period: Us,
    seed: u64,
    count: u64,
    next: Us,
}

impl Beat {
    /// Begins at a phase of its own within the first period.
    pub fn new(now: Us, period: Us, seed: u64, what: &str) -> Beat {
        let next = now.saturating_add(phase(seed, what, period));
        Beat { period: period.max(1), seed, count: 0, next }
    }
    pub fn next(&self) -> Us {
        self.next
    }
    /// True once for each time that it is due. After a pause it is due once, not as often as was missed.
    pub fn due(&mut self, now: Us) -> bool {
        if now < self.next {
            return false;
        }
        self.count += 1;
        let swing = phase(self.seed ^ self.count, "beat", 1 << 20) as f64 / f64::from(1 << 20); // 0 to 1
        let span = self.period as f64 * (1.0 - SWING + 2.0 * SWING * swing);
        self.next = now.saturating_add((span as Us).max(1));
        true
    }
}
