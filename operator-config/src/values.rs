//! Typed values of directives: durations, sizes and counts within bounds, addresses and paths.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::units::{DAY_US, GIBIBYTE, HOUR_US, KIBIBYTE, MEBIBYTE, MILLISECOND_US, MINUTE_US, SECOND_US};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Units in which durations are formatted, with their lengths in microseconds, longest first.
const DURATION_UNITS: [(u64, &str); 5] =
    [(DAY_US, "d"), (HOUR_US, "h"), (MINUTE_US, "m"), (SECOND_US, "s"), (MILLISECOND_US, "ms")];

impl Directive<'_> {
    /// Parses the single value as a duration within bounds, in microseconds.
    pub(crate) fn duration(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        self.parse_duration(self.value()?, bounds)
    }

    /// Parses the single value as a whole number within bounds.
    pub(crate) fn count(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        self.parse_count(self.value()?, bounds)
    }

    /// Parses the single value as a size within bounds, in bytes.
    pub(crate) fn size(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        let malformed = || {
            self.error(format!("{name}: expected a size with a unit, such as 512b or 16k, found {word:?}"))
        };
        let (number, unit) = split_unit(word).ok_or_else(malformed)?;
        let factor = match unit {
            "b" => 1,
            "k" => KIBIBYTE,
            "m" => MEBIBYTE,
            "g" => GIBIBYTE,
            _ => return Err(malformed()),
        };
        let (min, max) = (bounds.start(), bounds.end());
        match number.checked_mul(factor) {
            Some(size) if bounds.contains(&size) => Ok(size),
            _ => Err(self.error(format!("{name} must be between {min}b and {max}b, found {word}"))),
        }
    }

    /// Parses the single value as an address with a non-zero port.
    pub(crate) fn address(&self) -> Result<SocketAddr, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        match word.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => Ok(address),
            _ => {
                Err(self
                    .error(format!("{name}: expected ADDRESS:PORT, such as 10.0.0.7:5672, found {word:?}")))
            }
        }
    }

    /// Parses the single value as an absolute path.
    pub(crate) fn absolute_path(&self) -> Result<PathBuf, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        if word.starts_with('/') {
            Ok(word.into())
        } else {
            Err(self.error(format!("{name}: expected an absolute path, found {word:?}")))
        }
    }

    /// Parses a word such as `250ms` as a duration within bounds, in microseconds.
    pub(crate) fn parse_duration(&self, word: &str, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let duration = self.parse_any_duration(word)?;
        if bounds.contains(&duration) {
            return Ok(duration);
        }
        let (name, min, max) =
            (self.name(), format_duration(*bounds.start()), format_duration(*bounds.end()));
        Err(self.error(format!("{name} must be between {min} and {max}, found {word}")))
    }

    fn parse_any_duration(&self, word: &str) -> Result<u64, ParseError> {
        let name = self.name();
        let malformed = || {
            self.error(format!(
                "{name}: expected a duration with a unit, such as 10s or 250ms, found {word:?}"
            ))
        };
        let (number, unit) = split_unit(word).ok_or_else(malformed)?;
        let factor = match unit {
            "us" => 1,
            "ms" => MILLISECOND_US,
            "s" => SECOND_US,
            "m" | "min" => MINUTE_US,
            "h" => HOUR_US,
            "d" => DAY_US,
            _ => return Err(malformed()),
        };
        let duration = number.checked_mul(factor);
        duration.ok_or_else(|| self.error(format!("{name}: duration {word} is too long")))
    }

    /// Parses a word as a whole number within bounds.
    pub(crate) fn parse_count(&self, word: &str, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let name = self.name();
        let number: u64 = word
            .parse()
            .map_err(|_| self.error(format!("{name}: expected a whole number, found {word:?}")))?;
        if bounds.contains(&number) {
            return Ok(number);
        }
        let (min, max) = (bounds.start(), bounds.end());
        Err(self.error(format!("{name} must be between {min} and {max}, found {word}")))
    }
}

/// Splits a word into a number and its unit.
fn split_unit(word: &str) -> Option<(u64, &str)> {
    let digits = word.find(|c: char| !c.is_ascii_digit()).unwrap_or(word.len());
    let (number, unit) = word.split_at(digits);
    Some((number.parse().ok()?, unit))
}

/// Formats a duration in the longest unit of which it is a multiple.
fn format_duration(micros: u64) -> String {
    let unit = DURATION_UNITS.iter().find(|(size, _)| micros >= *size && micros.is_multiple_of(*size));
    match unit {
        Some((size, unit)) => format!("{}{unit}", micros / size),
        None => format!("{micros}us"),
    }
}
