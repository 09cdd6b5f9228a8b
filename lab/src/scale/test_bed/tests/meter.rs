//! Tests of `meter.rs`.

use super::*;
use crate::process::{status_kb, OWN_PROCESS};
use std::time::Duration;

#[test]
fn measures_cpu_and_memory_of_a_process() {
    let mut meter = CpuMeter::new(std::process::id());
    let before = meter.read();
    let until = Instant::now() + Duration::from_secs(20);
    let mut used_cpu_ms = 0.0;
    // The timeout is long enough for a busy machine.
    while used_cpu_ms < 5.0 && Instant::now() < until {
        std::hint::black_box((0..1_000_000_u64).fold(0, |a, b| a ^ std::hint::black_box(b)));
        used_cpu_ms = meter.read().cpu_ms(&before);
    }
    assert!(used_cpu_ms >= 5.0);
    assert!(status_kb(OWN_PROCESS, "VmRSS").unwrap() > 500);
}
