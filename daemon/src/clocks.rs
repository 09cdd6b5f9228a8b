//! Readings of the wall clock and the uptime, which date snapshots of learned values.

use asterrill::Us;
use asterrill_net::now;
use asterrill_recovery::ClockReading;

/// Reads the wall clock, the time since boot, and a hash of the boot id. A value that can't be read is 0.
pub fn read_clocks() -> ClockReading {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let uptime = read("/proc/uptime");
    let uptime = uptime.split(' ').next().and_then(|seconds| seconds.parse::<f64>().ok()).unwrap_or(0.0);
    let boot_id = read("/proc/sys/kernel/random/boot_id");
    let boot_id = boot_id.trim();
    let boot_id =
        if boot_id.is_empty() || uptime <= 0.0 { 0 } else { asterrill_recovery::seed(0, boot_id, 0, 0) };
    ClockReading { wall: now(), uptime: (uptime * 1e6) as Us, boot_id }
}
