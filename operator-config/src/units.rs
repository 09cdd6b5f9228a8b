//! Values with their units: times in whole microseconds, sizes in bytes, counts and addresses.

use crate::lines::{Directive, ParseError};
use std::net::SocketAddr;

/// A word as a number and its unit.
fn split(word: &str) -> Option<(u64, &str)> {
    let digits = word.find(|c: char| !c.is_ascii_digit()).unwrap_or(word.len());
    let (number, unit) = word.split_at(digits);
    Some((number.parse().ok()?, unit))
}

/// A time such as `250ms`, in microseconds.
pub(crate) fn time(of: &Directive<'_>, word: &str) -> Result<u64, ParseError> {
    let name = of.name();
    let wrong = || of.error(format!("{name} wants a time with its unit, such as 10s or 250ms, not {word:?}"));
    let (number, unit) = split(word).ok_or_else(wrong)?;
    let factor = match unit {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" | "min" => 60_000_000,
        "h" => 3_600_000_000,
        "d" => 86_400_000_000,
        _ => return Err(wrong()),
    };
    number.checked_mul(factor).ok_or_else(|| of.error(format!("{name}: {word} is too long a time")))
}

/// A time within bounds, in microseconds.
pub(crate) fn time_in(of: &Directive<'_>, word: &str, least: u64, most: u64) -> Result<u64, ParseError> {
    let span = time(of, word)?;
    if (least..=most).contains(&span) {
        return Ok(span);
    }
    let (name, least, most) = (of.name(), shown(least), shown(most));
    Err(of.error(format!("{name} lies between {least} and {most}, not at {word}")))
}

fn shown(us: u64) -> String {
    let units =
        [(86_400_000_000, "d"), (3_600_000_000, "h"), (60_000_000, "m"), (1_000_000, "s"), (1_000, "ms")];
    let fits = units.iter().find(|(size, _)| us >= *size && us.is_multiple_of(*size));
    fits.map_or(format!("{us}us"), |(size, unit)| format!("{}{unit}", us / size))
}

/// A size such as `16k`, in bytes, within bounds.
pub(crate) fn size_in(of: &Directive<'_>, word: &str, least: u64, most: u64) -> Result<u64, ParseError> {
    let name = of.name();
    let wrong = || of.error(format!("{name} wants a size with its unit, such as 512b or 16k, not {word:?}"));
    let (number, unit) = split(word).ok_or_else(wrong)?;
    let factor = match unit {
        "b" => 1,
        "k" => 1 << 10,
        "m" => 1 << 20,
        "g" => 1 << 30,
        _ => return Err(wrong()),
    };
    match number.checked_mul(factor) {
        Some(size) if (least..=most).contains(&size) => Ok(size),
        _ => Err(of.error(format!("{name} lies between {least}b and {most}b, not at {word}"))),
    }
}

/// A whole number within bounds.
pub(crate) fn count_in(of: &Directive<'_>, word: &str, least: u64, most: u64) -> Result<u64, ParseError> {
    let name = of.name();
    let number: u64 =
        word.parse().map_err(|_| of.error(format!("{name} wants a whole number, not {word:?}")))?;
    if (least..=most).contains(&number) {
        return Ok(number);
    }
    Err(of.error(format!("{name} lies between {least} and {most}, not at {word}")))
}

pub(crate) fn address(of: &Directive<'_>, word: &str) -> Result<SocketAddr, ParseError> {
    let name = of.name();
    let wrong = || of.error(format!("{name} wants ADDRESS:PORT, such as 10.0.0.7:5672, not {word:?}"));
    word.parse().ok().filter(|at: &SocketAddr| at.port() > 0).ok_or_else(wrong)
}
