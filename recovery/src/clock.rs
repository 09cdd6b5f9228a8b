//! The age of something that was written by an earlier process, although a clock may have been set meanwhile.

use asterrill::Us;

/// One moment as three clocks show it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// The Unix clock, in microseconds; it may be set at any time.
    pub wall: Us,
    /// The time since the machine was started, in microseconds.
    pub uptime: Us,
    /// A hash that identifies this start of the machine; 0 where it is not available.
    pub boot_id: u64,
}

/// How long ago `then` was, in microseconds; none where that can't be trusted.
///
/// Within one start of the machine its uptime tells, whatever became of the Unix clock. Across starts the Unix clock has
/// to: it must not lie before `then`, and at least as much time has passed as the machine is up now.
pub fn age(now: &ClockReading, then: &ClockReading) -> Option<Us> {
    if now.boot_id == 0 || then.boot_id == 0 {
        return None;
    }
    if now.boot_id == then.boot_id {
        return now.uptime.checked_sub(then.uptime);
    }
    now.wall.checked_sub(then.wall).filter(|age| *age >= now.uptime)
}
