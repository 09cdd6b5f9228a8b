//! Units of virtual time.

use asterrill::Us;

/// A millisecond.
pub(super) const MILLISECOND: Us = 1_000;
/// A second.
pub(super) const SECOND: Us = 1_000 * MILLISECOND;

/// A span in ms, for a report.
pub(super) fn ms(us: Us) -> f64 {
    us as f64 / 1_000.0
}
