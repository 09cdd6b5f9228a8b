//! CPU time of a process, of threads that have ended as well.

use crate::process::{cpu_ticks, thread_cpu_ns};
use std::collections::HashMap;
use std::time::Instant;

const CPU_TICK_NS: u64 = 10_000_000;
const NS_PER_MS: f64 = 1e6;

/// A meter of one process: by the nanoseconds of its threads, and by its ticks where threads came and went between two
/// readings.
pub struct CpuMeter {
    process: String,
    thread_times_ns: HashMap<String, u64>,
    thread_total_ns: u64,
    tick_total_ns: u64,
}

/// What a [`CpuMeter`] showed at a moment.
#[derive(Clone, Copy, Debug)]
pub struct CpuReading {
    thread_total_ns: u64,
    tick_total_ns: u64,
    /// The moment.
    pub at: Instant,
}

impl CpuMeter {
    /// A meter of the process with this id.
    pub fn new(process: u32) -> CpuMeter {
        CpuMeter {
            process: process.to_string(),
            thread_times_ns: HashMap::new(),
            thread_total_ns: 0,
            tick_total_ns: 0,
        }
    }

    /// Reads the meter; it never runs backwards, also once the process has ended.
    pub fn read(&mut self) -> CpuReading {
        self.thread_times_ns.extend(thread_cpu_ns(&self.process));
        self.thread_total_ns = self.thread_total_ns.max(self.thread_times_ns.values().sum());
        self.tick_total_ns = self.tick_total_ns.max(cpu_ticks(&self.process).unwrap_or(0) * CPU_TICK_NS);
        CpuReading {
            thread_total_ns: self.thread_total_ns,
            tick_total_ns: self.tick_total_ns,
            at: Instant::now(),
        }
    }
}

impl CpuReading {
    /// CPU between two readings, in ms: by the threads' own clocks, or by the process's ticks less their grain where
    /// threads that came and went took more.
    pub fn cpu_ms(&self, since: &CpuReading) -> f64 {
        let fine = self.thread_total_ns.saturating_sub(since.thread_total_ns);
        let coarse = self.tick_total_ns.saturating_sub(since.tick_total_ns).saturating_sub(2 * CPU_TICK_NS);
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
