//! Durations outside and inside: milliseconds in JSON, microseconds in the program.

use crate::limits::MAX_DURATION_US;
use asterrill::Us;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Whole microseconds, at most [`MAX_DURATION_US`], of a number of milliseconds from 0 up.
pub fn micros_from_millis(millis: f64) -> Us {
    ((millis * MICROS_PER_MILLI).round() as Us).min(MAX_DURATION_US)
}

/// Milliseconds of a number of microseconds.
pub(crate) fn millis_from_micros(micros: Us) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
