//! Typed values of directives: durations, sizes, counts, addresses and paths, each within bounds.

use crate::directive::Directive;
use crate::error::ParseError;
use crate::units::{DAY, GIBIBYTE, HOUR, KIBIBYTE, MEBIBYTE, MILLISECOND, MINUTE, SECOND};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Units in which durations are shown, the longest first.
const SHOWN_UNITS: [(u64, &str); 5] =
    [(DAY, "d"), (HOUR, "h"), (MINUTE, "m"), (SECOND, "s"), (MILLISECOND, "ms")];

impl Directive<'_> {
    /// The one value as a duration within bounds, in microseconds.
    pub(crate) fn duration(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        self.parse_duration(self.value()?, bounds)
    }

    /// The one value as a whole number within bounds.
    pub(crate) fn count(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        self.parse_count(self.value()?, bounds)
    }

    /// The one value as a size within bounds, in bytes.
    pub(crate) fn size(&self, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        let malformed =
            || self.error(format!("{name} wants a size with its unit, such as 512b or 16k, not {word:?}"));
        let (number, unit) = split_unit(word).ok_or_else(malformed)?;
        let factor = match unit {
            "b" => 1,
            "k" => KIBIBYTE,
            "m" => MEBIBYTE,
            "g" => GIBIBYTE,
            _ => return Err(malformed()),
        };
        let (least, most) = (bounds.start(), bounds.end());
        match number.checked_mul(factor) {
            Some(size) if bounds.contains(&size) => Ok(size),
            _ => Err(self.error(format!("{name} lies between {least}b and {most}b, not at {word}"))),
        }
    }

    /// The one value as an address with a port other than 0.
    pub(crate) fn address(&self) -> Result<SocketAddr, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        match word.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => Ok(address),
            _ => Err(self.error(format!("{name} wants ADDRESS:PORT, such as 10.0.0.7:5672, not {word:?}"))),
        }
    }

    /// The one value as an absolute path.
    pub(crate) fn absolute_path(&self) -> Result<PathBuf, ParseError> {
        let (name, word) = (self.name(), self.value()?);
        if word.starts_with('/') {
            Ok(word.into())
        } else {
            Err(self.error(format!("{name} wants a path from the root, not {word:?}")))
        }
    }

    /// A word such as `250ms` as a duration within bounds, in microseconds.
    pub(crate) fn parse_duration(&self, word: &str, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let duration = self.parse_any_duration(word)?;
        if bounds.contains(&duration) {
            return Ok(duration);
        }
        let (name, least, most) = (self.name(), show_duration(*bounds.start()), show_duration(*bounds.end()));
        Err(self.error(format!("{name} lies between {least} and {most}, not at {word}")))
    }

    fn parse_any_duration(&self, word: &str) -> Result<u64, ParseError> {
        let name = self.name();
        let malformed =
            || self.error(format!("{name} wants a time with its unit, such as 10s or 250ms, not {word:?}"));
        let (number, unit) = split_unit(word).ok_or_else(malformed)?;
        let factor = match unit {
            "us" => 1,
            "ms" => MILLISECOND,
            "s" => SECOND,
            "m" | "min" => MINUTE,
            "h" => HOUR,
            "d" => DAY,
            _ => return Err(malformed()),
        };
        let duration = number.checked_mul(factor);
        duration.ok_or_else(|| self.error(format!("{name}: {word} is too long a time")))
    }

    /// A word as a whole number within bounds.
    pub(crate) fn parse_count(&self, word: &str, bounds: RangeInclusive<u64>) -> Result<u64, ParseError> {
        let name = self.name();
        let number: u64 =
            word.parse().map_err(|_| self.error(format!("{name} wants a whole number, not {word:?}")))?;
        if bounds.contains(&number) {
            return Ok(number);
        }
        let (least, most) = (bounds.start(), bounds.end());
        Err(self.error(format!("{name} lies between {least} and {most}, not at {word}")))
    }
}

/// A word as a number and its unit.
fn split_unit(word: &str) -> Option<(u64, &str)> {
    let digits = word.find(|c: char| !c.is_ascii_digit()).unwrap_or(word.len());
    let (number, unit) = word.split_at(digits);
    Some((number.parse().ok()?, unit))
}

/// A duration in the longest unit that divides it.
fn show_duration(micros: u64) -> String {
    let unit = SHOWN_UNITS.iter().find(|(size, _)| micros >= *size && micros.is_multiple_of(*size));
    match unit {
        Some((size, unit)) => format!("{}{unit}", micros / size),
        None => format!("{micros}us"),
    }
}
