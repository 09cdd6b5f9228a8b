//! Units of durations and sizes: microseconds and bytes.

/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000 * MILLISECOND;
/// Microseconds in a minute.
pub(crate) const MINUTE: u64 = 60 * SECOND;
/// Microseconds in an hour.
pub(crate) const HOUR: u64 = 60 * MINUTE;
/// Microseconds in a day.
pub(crate) const DAY: u64 = 24 * HOUR;

/// Bytes in a KiB.
pub(crate) const KIBIBYTE: u64 = 1 << 10;
/// Bytes in a MiB.
pub(crate) const MEBIBYTE: u64 = 1 << 20;
/// Bytes in a GiB.
pub(crate) const GIBIBYTE: u64 = 1 << 30;
