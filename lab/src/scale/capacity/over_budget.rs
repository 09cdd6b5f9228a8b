//! Table of the lines that are over their budget.

use super::budgets::{BudgetLine, Budgets, Build, Figure};
use super::format::{describe_load_case, figure_cell, format_multiple, format_number, role_name};
use super::slopes::Slopes;
use std::fmt::Write;

/// Line of the page with its budget and its figures for both builds.
struct Row<'a> {
    line: &'a BudgetLine,
    budget: String,
    unit: &'a str,
    limit: f64,
    previous: Option<Figure>,
    current: Option<Figure>,
}

impl Row<'_> {
    /// Returns a figure as a multiple of the budget, or 0 if it was not measured.
    fn factor(&self, figure: &Option<Figure>) -> f64 {
        figure.as_ref().map_or(0.0, |figure| figure.value / self.limit)
    }

    /// Returns the greater of the factors of both builds.
    fn max_factor(&self) -> f64 {
        self.factor(&self.previous).max(self.factor(&self.current))
    }
}

/// Returns the lines that are over their budget in either build, by descending factor.
fn rows_over_budget<'a>(slopes: &Slopes, budgets: &'a Budgets) -> Vec<Row<'a>> {
    let rows = budgets.lines.iter().filter_map(|line| {
        let budget = budgets.budget(line.budget.as_ref()?)?;
        let [previous, current] =
            [Build::Previous, Build::Current].map(|build| budgets.figure(line, build, slopes));
        let text = format!("{} {}", format_number(budget.limit), budget.unit);
        Some(Row { line, budget: text, unit: &budget.unit, limit: budget.limit, previous, current })
    });
    let mut rows: Vec<_> = rows.filter(|row| row.max_factor() > 1.0).collect();
    rows.sort_by(|one, other| other.max_factor().total_cmp(&one.max_factor()));
    rows
}

/// Returns the number of lines that are over their budget in the current build.
pub fn count_over_budget(slopes: &Slopes, budgets: &Budgets) -> usize {
    rows_over_budget(slopes, budgets).iter().filter(|row| row.factor(&row.current) > 1.0).count()
}

/// Formats the table of the lines that are over their budget in either build.
pub fn over_budget_table(slopes: &Slopes, budgets: &Budgets) -> String {
    let rows = rows_over_budget(slopes, budgets);
    let over_now = rows.iter().filter(|row| row.factor(&row.current) > 1.0).count();
    let not_measured = rows.iter().filter(|row| row.current.is_none()).count();
    let mut text = format!(
        "Over budget now: {over_now} lines; {not_measured} more were over it before and are not measured now. "
    );
    text += "The order is by the greater of the two factors.\n\n";
    text += "| what | on | budget | before | now | carried by |\n| --- | --- | --- | --- | --- | --- |\n";
    for row in &rows {
        let cell = |figure: &Option<Figure>| {
            let factor = row.factor(figure);
            let text = figure_cell(figure.as_ref(), row.unit);
            match figure {
                None => text,
                Some(_) if factor > 1.0 => format!("**{text}, {}**", format_multiple(factor, 1.0)),
                Some(_) => format!("{text}, {}", format_multiple(factor, 1.0)),
            }
        };
        let (previous, current) = (cell(&row.previous), cell(&row.current));
        let (line, load_case, budget) = (row.line, describe_load_case(row.line), &row.budget);
        let _ = writeln!(
            text,
            "| {}: {} | {load_case} | {budget} | {previous} | {current} | {} |",
            role_name(line.role),
            line.description,
            line.carried_by
        );
    }
    text
}
