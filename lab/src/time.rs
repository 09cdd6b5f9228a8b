//! Spans of real time.

use std::time::Duration;

/// So many milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
