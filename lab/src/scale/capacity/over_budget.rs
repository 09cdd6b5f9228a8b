//! Lines that are over their budget.

use super::budgets::{Budgets, Build, Entry, Figure};
use super::format::{day_in_words, figure_cell, number, role_name, times};
use super::slopes::Slopes;
use std::fmt::Write;

/// A line that is over its budget, in the build before or now.
struct Over<'a> {
    entry: &'a Entry,
    budget: String,
    unit: &'a str,
    most: f64,
    before: Option<Figure>,
    now: Option<Figure>,
}

impl Over<'_> {
    fn factor(&self, of: &Option<Figure>) -> f64 {
        of.as_ref().map_or(0.0, |figure| figure.value / self.most)
    }
    fn furthest(&self) -> f64 {
        self.factor(&self.before).max(self.factor(&self.now))
    }
}

/// Lines over their budget, in the build before or now, the furthest first.
fn over<'a>(slopes: &Slopes, budgets: &'a Budgets) -> Vec<Over<'a>> {
    let rows = budgets.lines.iter().filter_map(|entry| {
        let budget = budgets.budget(entry.budget.as_ref()?)?;
        let [before, now] = [Build::Before, Build::Now].map(|build| budgets.figure(entry, build, slopes));
        let most = format!("{} {}", number(budget.most), budget.unit);
        Some(Over { entry, budget: most, unit: &budget.unit, most: budget.most, before, now })
    });
    let mut rows: Vec<_> = rows.filter(|row| row.furthest() > 1.0).collect();
    rows.sort_by(|one, other| other.furthest().total_cmp(&one.furthest()));
    rows
}

/// How many lines are over their budget as things are.
pub fn count_over_budget(slopes: &Slopes, budgets: &Budgets) -> usize {
    over(slopes, budgets).iter().filter(|row| row.factor(&row.now) > 1.0).count()
}

/// The table of lines over their budget.
pub fn over_table(slopes: &Slopes, budgets: &Budgets) -> String {
    let rows = over(slopes, budgets);
    let still = rows.iter().filter(|row| row.factor(&row.now) > 1.0).count();
    let unknown = rows.iter().filter(|row| row.now.is_none()).count();
    let mut text = format!(
        "Over budget now: {still} lines; {unknown} more were over it before and are not measured now. "
    );
    text += "The order is by the greater of the two factors.\n\n";
    text += "| what | on | budget | before | now | carried by |\n| --- | --- | --- | --- | --- | --- |\n";
    for row in &rows {
        let cell = |figure: &Option<Figure>| {
            let factor = row.factor(figure);
            let text = figure_cell(figure.as_ref(), row.unit);
            match figure {
                None => text,
                Some(_) if factor > 1.0 => format!("**{text}, {}**", times(factor, 1.0)),
                Some(_) => format!("{text}, {}", times(factor, 1.0)),
            }
        };
        let (before, now) = (cell(&row.before), cell(&row.now));
        let (entry, on, budget) = (row.entry, day_in_words(row.entry), &row.budget);
        let _ = writeln!(
            text,
            "| {}: {} | {on} | {budget} | {before} | {now} | {} |",
            role_name(entry.role),
            entry.what,
            entry.carried
        );
    }
    text
}
