//! Measurement of the CPU time of a process, including threads that have ended.

use crate::process::{cpu_ticks, thread_cpu_ns};
use std::collections::HashMap;
use std::time::Instant;

const CPU_TICK_NS: u64 = 10_000_000;
const NS_PER_MS: f64 = 1e6;

/// A CPU meter of one process.
///
/// It reads the nanoseconds of the threads, and the ticks of the process for threads that start and end between two
/// readings.
pub struct CpuMeter {
    process: String,
    thread_times_ns: HashMap<String, u64>,
    thread_total_ns: u64,
    tick_total_ns: u64,
}

/// A reading of a [`CpuMeter`].
#[derive(Clone, Copy, Debug)]
pub struct CpuReading {
    thread_total_ns: u64,
    tick_total_ns: u64,
    /// The time of the reading.
    pub at: Instant,
}

impl CpuMeter {
    /// Creates a meter of the process with this id.
    pub fn new(process: u32) -> CpuMeter {
        CpuMeter {
            process: process.to_string(),
            thread_times_ns: HashMap::new(),
            thread_total_ns: 0,
            tick_total_ns: 0,
        }
    }

    /// Reads the meter. Readings never decrease, even after the exit of the process.
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
    /// Returns the CPU time between two readings in milliseconds.
    ///
    /// The result is the greater of two values: the time of the threads, and the ticks of the process less two, which
    /// is the possible error of two readings. The second is greater if short-lived threads used much CPU time between
    /// the readings.
    pub fn cpu_ms(&self, since: &CpuReading) -> f64 {
        let thread_ns = self.thread_total_ns.saturating_sub(since.thread_total_ns);
        let tick_ns = self.tick_total_ns.saturating_sub(since.tick_total_ns).saturating_sub(2 * CPU_TICK_NS);
        thread_ns.max(tick_ns) as f64 / NS_PER_MS
    }

    /// Returns the wall-clock time between two readings in milliseconds.
    pub fn ms(&self, since: &CpuReading) -> f64 {
        self.at.duration_since(since.at).as_secs_f64() * 1e3
    }
}

#[cfg(test)]
#[path = "tests/meter.rs"]
mod tests;
