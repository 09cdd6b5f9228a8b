//! Jitter: processes that start in the same moment, with copied files, must not act in the same moments.

use asterrill::Us;
use xxhash_rust::xxh3::xxh3_64;

/// An interval is shorter or longer than its mean by up to this fraction.
const JITTER: f64 = 0.25;
/// Steps in which an interval's jitter is drawn.
const RESOLUTION: u32 = 1 << 20;

/// A seed for random choices that differs between processes and between starts: from the deployment's seed, which
/// files may share, the backend's name, the moment of the start in microseconds, and the process id.
pub fn seed(deployment: u64, name: &str, start: Us, process: u32) -> u64 {
    let bytes =
        [&deployment.to_le_bytes()[..], name.as_bytes(), &start.to_le_bytes(), &process.to_le_bytes()];
    xxh3_64(&bytes.concat())
}

/// Where in a period something that repeats begins: 0 to under `period`, in microseconds. `purpose` makes the phases of
/// one process differ from each other.
pub fn phase(seed: u64, purpose: &str, period: Us) -> Us {
    xxh3_64(&[&seed.to_le_bytes()[..], purpose.as_bytes()].concat()) % period.max(1)
}

/// A deadline that repeats about once in a period, each time a little earlier or later.
#[derive(Clone, Debug)]
pub struct JitteredInterval {
    period: Us,
    seed: u64,
    expirations: u64,
    next_deadline: Us,
}

impl JitteredInterval {
    /// The first deadline is at a phase of its own within the first period.
    pub fn new(now: Us, period: Us, seed: u64, purpose: &str) -> JitteredInterval {
        let next_deadline = now.saturating_add(phase(seed, purpose, period));
        JitteredInterval { period: period.max(1), seed, expirations: 0, next_deadline }
    }

    /// The next deadline, in microseconds.
    pub fn next_deadline(&self) -> Us {
        self.next_deadline
    }

    /// True once for each deadline that has passed. After a pause it is true once, not as often as was missed.
    pub fn expired(&mut self, now: Us) -> bool {
        if now < self.next_deadline {
            return false;
        }
        self.expirations += 1;
        let random = phase(self.seed ^ self.expirations, "beat", Us::from(RESOLUTION));
        let fraction = random as f64 / f64::from(RESOLUTION); // 0 to 1
        let interval = self.period as f64 * (1.0 - JITTER + 2.0 * JITTER * fraction);
        self.next_deadline = now.saturating_add((interval as Us).max(1));
        true
    }
}
