//! Age of data written by an earlier process, even if a clock was set since.

use asterrill::Us;

/// Readings of three clocks at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Unix time, in microseconds. The clock may be set at any time.
    pub wall: Us,
    /// Time since the machine was booted, in microseconds.
    pub uptime: Us,
    /// Hash that identifies this boot of the machine; 0 where it is not available.
    pub boot_id: u64,
}

/// Returns the time from `then` to `now`, in microseconds, or none if it can't be trusted.
///
/// Within one boot of the machine the age is the difference of the uptimes, even if the Unix clock was set. Across
/// boots it is the difference of the Unix times, which must not be negative and must be at least the current uptime.
pub fn age(now: &ClockReading, then: &ClockReading) -> Option<Us> {
    if now.boot_id == 0 || then.boot_id == 0 {
        return None;
    }
    if now.boot_id == then.boot_id {
        return now.uptime.checked_sub(then.uptime);
    }
    now.wall.checked_sub(then.wall).filter(|age| *age >= now.uptime)
}
