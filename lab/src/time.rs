//! Shorthand for durations.

use std::time::Duration;

/// Returns a duration of `n` milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
