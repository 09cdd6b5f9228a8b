//! Units of virtual time.

use asterrill::Us;

/// One millisecond.
pub(super) const MILLISECOND: Us = 1_000;
/// One second.
pub(super) const SECOND: Us = 1_000 * MILLISECOND;

/// Converts a duration to milliseconds for a report.
pub(super) fn ms(us: Us) -> f64 {
    us as f64 / 1_000.0
}
