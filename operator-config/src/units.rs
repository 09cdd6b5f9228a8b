//! Units of durations in microseconds, and of sizes in bytes.

/// Microseconds in a millisecond.
pub(crate) const MILLISECOND_US: u64 = 1_000;
/// Microseconds in a second.
pub(crate) const SECOND_US: u64 = 1_000 * MILLISECOND_US;
/// Microseconds in a minute.
pub(crate) const MINUTE_US: u64 = 60 * SECOND_US;
/// Microseconds in an hour.
pub(crate) const HOUR_US: u64 = 60 * MINUTE_US;
/// Microseconds in a day.
pub(crate) const DAY_US: u64 = 24 * HOUR_US;

/// Bytes in a KiB.
pub(crate) const KIBIBYTE: u64 = 1 << 10;
/// Bytes in a MiB.
pub(crate) const MEBIBYTE: u64 = 1 << 20;
/// Bytes in a GiB.
pub(crate) const GIBIBYTE: u64 = 1 << 30;
