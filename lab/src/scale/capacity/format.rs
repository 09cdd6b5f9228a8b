//! How figures, days and roles are written on the page.

use super::budgets::{Day, Entry, Figure};
use super::slopes::{Line, Role};

/// A figure with as many places as say something.
pub fn number(value: f64) -> String {
    let places = match value.abs() {
        size if size >= 100.0 || size == 0.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size => (1 - size.log10().floor() as i32).clamp(2, 6) as usize,
    };
    let text = format!("{value:.places$}");
    let text = if places > 0 { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    let (integer, fraction) =
        text.split_once('.').map_or((text, None), |(integer, fraction)| (integer, Some(fraction)));
    let (sign, digits) = integer.strip_prefix('-').map_or(("", integer), |digits| ("-", digits));
    let mut grouped = String::from(sign);
    for (n, digit) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    fraction.map_or(grouped.clone(), |fraction| format!("{grouped}.{fraction}"))
}

/// How many times the most a value is.
pub fn times(value: f64, most: f64) -> String {
    format!("{} times", number(value / most))
}

/// A figure in a cell of the page, with what it lacks.
pub fn figure_cell(figure: Option<&Figure>, unit: &str) -> String {
    match figure {
        None => "not measured".into(),
        Some(it) if it.missing.is_empty() => format!("{} {unit}", number(it.value)),
        Some(it) => format!("{} {unit} and more (not measured: {})", number(it.value), it.missing.join(", ")),
    }
}

/// Points in a cell of the page.
pub fn points(points: &[(f64, f64)]) -> String {
    let all: Vec<_> =
        points.iter().map(|(size, value)| format!("{}: {}", number(*size), number(*value))).collect();
    if all.is_empty() {
        "not measured".into()
    } else {
        all.join("; ")
    }
}

/// In words how a value was come by.
pub fn line_in_words(line: Line) -> String {
    let off = |off: f64| format!("{:.0} in 100", 100.0 * off);
    match line {
        Line::ReadOff => "read off".into(),
        Line::Fit { a, b, off: it } => {
            format!("{} + {} each, off by {} at most", number(a), number(b), off(it))
        }
        Line::Pair { from, to, b, off: it } => format!(
            "not on a line (off by {}): the worst pair, {} and {}, {} each",
            off(it),
            number(from),
            number(to),
            number(b)
        ),
        Line::Only => "one point".into(),
    }
}

/// What a role is called.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Backend => "backend",
        Role::Keeper => "keeper",
        Role::Tool => "tool",
        Role::Caller => "caller",
    }
}

/// On what day a line is.
pub fn day_in_words(entry: &Entry) -> String {
    let day = match entry.day {
        Day::Ordinary => "an ordinary day",
        Day::Worst => "the worst minute",
        Day::Cut => "a region cut",
    };
    if entry.when.is_empty() {
        day.into()
    } else {
        format!("{day}: {}", entry.when)
    }
}

#[cfg(test)]
#[path = "tests/format.rs"]
mod tests;
