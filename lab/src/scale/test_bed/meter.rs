//! CPU time of a process, of threads that have ended as well.

use crate::process::{cpu_ticks, thread_cpu_ns};
use std::collections::HashMap;
use std::time::Instant;

const TICK_NS: u64 = 10_000_000;
const NS_PER_MS: f64 = 1e6;

/// A meter of one process: by the nanoseconds of its threads, and by its ticks where threads came and went between two
/// readings.
pub struct CpuMeter {
    process: String,
    threads_ns: HashMap<String, u64>,
    fine_ns: u64,
    coarse_ns: u64,
}

/// What a [`CpuMeter`] showed at a moment.
#[derive(Clone, Copy, Debug)]
pub struct CpuReading {
    fine_ns: u64,
    coarse_ns: u64,
    /// The moment.
    pub at: Instant,
}

impl CpuMeter {
    /// A meter of the process with this id.
    pub fn new(process: u32) -> CpuMeter {
        CpuMeter { process: process.to_string(), threads_ns: HashMap::new(), fine_ns: 0, coarse_ns: 0 }
    }

    /// Reads the meter; it never runs backwards, also once the process has ended.
    pub fn read(&mut self) -> CpuReading {
        self.threads_ns.extend(thread_cpu_ns(&self.process));
        self.fine_ns = self.fine_ns.max(self.threads_ns.values().sum());
        self.coarse_ns = self.coarse_ns.max(cpu_ticks(&self.process).unwrap_or(0) * TICK_NS);
        CpuReading { fine_ns: self.fine_ns, coarse_ns: self.coarse_ns, at: Instant::now() }
    }
}

impl CpuReading {
    /// CPU between two readings, in ms: by the threads' own clocks, or by the process's ticks less their grain where
    /// threads that came and went took more.
    pub fn cpu_ms(&self, since: &CpuReading) -> f64 {
        let fine = self.fine_ns.saturating_sub(since.fine_ns);
        let coarse = self.coarse_ns.saturating_sub(since.coarse_ns).saturating_sub(2 * TICK_NS);
        fine.max(coarse) as f64 / NS_PER_MS
    }

    /// Time between two readings, in ms.
    pub fn ms(&self, since: &CpuReading) -> f64 {
        self.at.duration_since(since.at).as_secs_f64() * 1e3
    }
}

#[cfg(test)]
#[path = "tests/meter.rs"]
mod tests;
