//! Conversion of durations between milliseconds, as in JSON, and microseconds, as in the program.

use crate::limits::MAX_DURATION_US;
use asterrill::Us;

/// Number of microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts milliseconds, 0 or more, to whole microseconds, at most [`MAX_DURATION_US`].
pub fn micros_from_millis(millis: f64) -> Us {
    ((millis * MICROS_PER_MILLI).round() as Us).min(MAX_DURATION_US)
}

/// Converts microseconds to milliseconds.
pub(crate) fn millis_from_micros(micros: Us) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
