//! Formatting of figures, load cases and roles on the page.

use super::budgets::{BudgetLine, Figure, LoadCase};
use super::slopes::{Extrapolation, Role};

/// Formats a number with commas between groups of three digits. Numbers from 100 on have no decimals, and smaller ones
/// have up to three significant digits.
pub fn format_number(value: f64) -> String {
    let decimals = match value.abs() {
        magnitude if magnitude >= 100.0 || magnitude == 0.0 => 0,
        magnitude if magnitude >= 10.0 => 1,
        magnitude if magnitude >= 1.0 => 2,
        magnitude => (1 - magnitude.log10().floor() as i32).clamp(2, 6) as usize,
    };
    let text = format!("{value:.decimals$}");
    let text = if decimals > 0 { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    let (integer, fraction) =
        text.split_once('.').map_or((text, None), |(integer, fraction)| (integer, Some(fraction)));
    let (sign, digits) = integer.strip_prefix('-').map_or(("", integer), |digits| ("-", digits));
    let mut grouped = String::from(sign);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    fraction.map_or(grouped.clone(), |fraction| format!("{grouped}.{fraction}"))
}

/// Formats a value as a multiple of its limit.
pub fn format_multiple(value: f64, limit: f64) -> String {
    format!("{} times", format_number(value / limit))
}

/// Formats a figure for a table cell, with the ids of the slopes that it lacks.
pub fn figure_cell(figure: Option<&Figure>, unit: &str) -> String {
    match figure {
        None => "not measured".into(),
        Some(figure) if figure.missing_slopes.is_empty() => format!("{} {unit}", format_number(figure.value)),
        Some(figure) => {
            let missing = figure.missing_slopes.join(", ");
            format!("{} {unit} and more (not measured: {missing})", format_number(figure.value))
        }
    }
}

/// Formats points for a table cell.
pub fn format_points(points: &[(f64, f64)]) -> String {
    let texts: Vec<_> = points
        .iter()
        .map(|(size, value)| format!("{}: {}", format_number(*size), format_number(*value)))
        .collect();
    if texts.is_empty() {
        "not measured".into()
    } else {
        texts.join("; ")
    }
}

/// Describes how a value was obtained.
pub fn describe_extrapolation(how: Extrapolation) -> String {
    let percent = |deviation: f64| format!("{:.0} in 100", 100.0 * deviation);
    match how {
        Extrapolation::Exact => "read off".into(),
        Extrapolation::Linear { intercept, slope, deviation } => {
            let deviation = percent(deviation);
            format!(
                "{} + {} each, off by {deviation} at most",
                format_number(intercept),
                format_number(slope)
            )
        }
        Extrapolation::WorstPair { from, to, slope, deviation } => format!(
            "not on a line (off by {}): the worst pair, {} and {}, {} each",
            percent(deviation),
            format_number(from),
            format_number(to),
            format_number(slope)
        ),
        Extrapolation::SinglePoint => "one point".into(),
    }
}

/// Returns the name of a role on the page.
pub fn role_name(role: Role) -> &'static str {
    match role {
        Role::Backend => "backend",
        Role::Voter => "keeper",
        Role::Tool => "tool",
        Role::Caller => "caller",
    }
}

/// Describes the load case of a line.
pub fn describe_load_case(line: &BudgetLine) -> String {
    let load_case = match line.load_case {
        LoadCase::Ordinary => "an ordinary day",
        LoadCase::Worst => "the worst minute",
        LoadCase::Cut => "a region cut",
    };
    if line.event.is_empty() {
        load_case.into()
    } else {
        format!("{load_case}: {}", line.event)
    }
}

#[cfg(test)]
#[path = "tests/format.rs"]
mod tests;
