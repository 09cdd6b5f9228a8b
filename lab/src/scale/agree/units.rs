//! Units of virtual time.

use asterrill::Us;

/// A millisecond.
pub(super) const MS: Us = 1_000;
/// A second.
pub(super) const S: Us = 1_000 * MS;

/// A span in ms, for a report.
pub(super) fn ms(us: Us) -> f64 {
    us as f64 / 1_000.0
}
