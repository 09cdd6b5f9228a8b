//! Jitter that spreads the periodic work of processes that were started at the same time with copied files.

use asterrill::Us;
use xxhash_rust::xxh3::xxh3_64;

/// Fraction of its mean by which an interval may be shorter or longer.
const JITTER_FRACTION: f64 = 0.25;
/// Number of distinct values of an interval's jitter.
const JITTER_STEPS: u32 = 1 << 20;

/// Returns a seed for random choices that differs between processes and between starts. It is derived from the seed of
/// the deployment, which several processes may share, the name of the backend, the start time in microseconds, and the
/// process id.
pub fn seed(deployment: u64, name: &str, start: Us, process_id: u32) -> u64 {
    let bytes =
        [&deployment.to_le_bytes()[..], name.as_bytes(), &start.to_le_bytes(), &process_id.to_le_bytes()];
    xxh3_64(&bytes.concat())
}

/// Returns the offset of a periodic action within its period, from 0 to less than `period`, in microseconds. `purpose`
/// distinguishes the phases of different actions of one process.
pub fn phase(seed: u64, purpose: &str, period: Us) -> Us {
    xxh3_64(&[&seed.to_le_bytes()[..], purpose.as_bytes()].concat()) % period.max(1)
}

/// Periodic deadline with a random deviation from the period each time.
#[derive(Clone, Debug)]
pub struct JitteredInterval {
    period: Us,
    seed: u64,
    expirations: u64,
    next_deadline: Us,
}

impl JitteredInterval {
    /// Creates an interval whose first deadline is at a random phase within the first period.
    pub fn new(now: Us, period: Us, seed: u64, purpose: &str) -> JitteredInterval {
        let next_deadline = now.saturating_add(phase(seed, purpose, period));
        JitteredInterval { period: period.max(1), seed, expirations: 0, next_deadline }
    }

    /// Returns the next deadline, in microseconds.
    pub fn next_deadline(&self) -> Us {
        self.next_deadline
    }

    /// Reports whether the deadline has passed, and schedules the next one if so. Deadlines missed during a pause are
    /// reported only once.
    pub fn expired(&mut self, now: Us) -> bool {
        if now < self.next_deadline {
            return false;
        }
        self.expirations += 1;
        let random = phase(self.seed ^ self.expirations, "beat", Us::from(JITTER_STEPS));
        // The fraction is between 0 and 1.
        let fraction = random as f64 / f64::from(JITTER_STEPS);
        let interval = self.period as f64 * (1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * fraction);
        self.next_deadline = now.saturating_add((interval as Us).max(1));
        true
    }
}
