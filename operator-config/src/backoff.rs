//! The bounds of an exponential backoff.

use crate::directive::Directive;
use crate::error::ParseError;
use std::ops::RangeInclusive;

/// The bounds of an exponential backoff, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The first delay.
    pub min: u64,
    /// The longest delay.
    pub max: u64,
}

impl Backoff {
    /// Reads the two values of a directive: the first delay, within `min_bounds`, and the longest, up to `max_bound`.
    pub(crate) fn read(
        directive: &Directive<'_>, min_bounds: RangeInclusive<u64>, max_bound: u64,
    ) -> Result<Backoff, ParseError> {
        let (min, max) = directive.value_pair()?;
        let min = directive.parse_duration(min, min_bounds)?;
        let max = directive.parse_duration(max, min..=max_bound)?;
        Ok(Backoff { min, max })
    }
}
