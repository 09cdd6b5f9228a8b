//! The tables of `docs/CAPACITY.md`, between `<!-- capacity: NAME -->` and `<!-- end -->`.

use super::budgets::{Bound, Budgets, Build};
use super::format::{day_in_words, figure_cell, line_in_words, number, points, times};
use super::over_budget::over_table;
use super::slopes::{Provenance, Role, Slope, Slopes};
use std::fmt::Write;

const END: &str = "<!-- end -->";

/// The page with its tables filled in anew; why not, if a marker is not understood.
pub fn fill(page: &str, slopes: &Slopes, budgets: &Budgets) -> Result<String, String> {
    let mut filled = String::new();
    let mut rest = page;
    let mut seen = Vec::new();
    while let Some((text, after)) = rest.split_once("<!-- capacity: ") {
        let (name, after) = after.split_once(" -->\n").ok_or("a marker that does not end on its line")?;
        let (_, after) = after.split_once(END).ok_or(format!("nothing ends {name:?}"))?;
        let table = table(name, slopes, budgets).ok_or(format!("no table is called {name:?}"))?;
        let _ = write!(filled, "{text}<!-- capacity: {name} -->\n{table}{END}");
        seen.push(name);
        rest = after;
    }
    match NAMES.iter().find(|name| !seen.contains(name)) {
        Some(name) => Err(format!("no place for the table {name:?}")),
        None => Ok(filled + rest),
    }
}

const NAMES: [&str; 10] =
    ["over", "bounds", "taken", "sizes", "budgets", "backend", "keeper", "tool", "caller", "slopes"];

fn table(name: &str, slopes: &Slopes, budgets: &Budgets) -> Option<String> {
    Some(match name {
        "over" => over_table(slopes, budgets),
        "bounds" => bounds(slopes, budgets),
        "taken" => taken(slopes),
        "sizes" => sizes(budgets),
        "budgets" => list(budgets),
        "backend" => role(Role::Backend, slopes, budgets),
        "keeper" => role(Role::Keeper, slopes, budgets),
        "tool" => role(Role::Tool, slopes, budgets),
        "caller" => role(Role::Caller, slopes, budgets),
        "slopes" => lines(slopes, budgets),
        _ => return None,
    })
}

fn bounds(slopes: &Slopes, budgets: &Budgets) -> String {
    let mut rows: Vec<_> =
        budgets.bounds.iter().map(|bound| (budgets.needed(bound, slopes), bound)).collect();
    let factor = |(needed, bound): &(Option<f64>, &Bound)| needed.map_or(0.0, |needed| needed / bound.bound);
    rows.sort_by(|one, other| factor(other).total_cmp(&factor(one)));
    let mut text =
        String::from("| bound | in | before | now | needed at this size | of the bound now | carried by |\n");
    text += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (needed, row) in rows {
        let unit = &row.unit;
        let of = match needed {
            Some(needed) if needed > row.bound => format!("**{}**", times(needed, row.bound)),
            Some(needed) => times(needed, row.bound),
            None => String::new(),
        };
        let needed = needed.map_or("not measured".into(), |needed| format!("{} {unit}", number(needed)));
        let [before, now] = [row.before, row.bound].map(number);
        let (what, place, carried) = (&row.what, &row.place, &row.carried);
        let _ = writeln!(
            text,
            "| {what} | `{place}` | {before} {unit} | {now} {unit} | {needed} | {of} | {carried} |"
        );
    }
    text
}

fn provenance(taken: &Provenance) -> String {
    format!("{}, {}, {} cores, commit {}", taken.date, taken.machine, taken.cores, taken.commit)
}

fn taken(slopes: &Slopes) -> String {
    let [now, before] = [&slopes.taken, &slopes.before].map(provenance);
    format!("Taken {now}; the build before {before}; unless a row says otherwise.\n")
}

fn sizes(budgets: &Budgets) -> String {
    let mut text = String::from("| size | figure |\n| --- | --- |\n");
    for size in &budgets.sizes {
        let _ = writeln!(text, "| {} | {} |", size.what, number(size.value));
    }
    for rate in &budgets.rates {
        let _ = match rate.over {
            1.0 => writeln!(text, "| {} | {} a second |", rate.what, number(rate.value)),
            over => writeln!(text, "| {} | {} in {} s |", rate.what, number(rate.value), number(over)),
        };
    }
    text
}

fn list(budgets: &Budgets) -> String {
    let mut text = String::from("| budget | at most | from |\n| --- | --- | --- |\n");
    for budget in &budgets.budgets {
        let _ =
            writeln!(text, "| {} | {} {} | {} |", budget.what, number(budget.most), budget.unit, budget.from);
    }
    text
}

fn role(role: Role, slopes: &Slopes, budgets: &Budgets) -> String {
    let mut text = String::from("| part | what | figure | known how | budget | of it | carried by |\n");
    text += "| --- | --- | --- | --- | --- | --- | --- |\n";
    let mut rows: Vec<_> = budgets.lines.iter().filter(|line| line.role == role).collect();
    rows.sort_by_key(|line| line.day);
    let mut last = String::new();
    for row in rows {
        let on = day_in_words(row);
        if on != last {
            let _ = writeln!(text, "| **on {on}** | | | | | | |");
            last = on;
        }
        let figure = budgets.figure(row, Build::Now, slopes);
        let budget = row.budget.as_ref().and_then(|id| budgets.budget(id));
        let unit = budget.map_or(&row.unit, |budget| &budget.unit);
        let basis = match (&figure, &row.assumed) {
            (Some(_), Some(why)) => format!("assumed: {why}"),
            (Some(figure), None) => figure.basis.name().to_string(),
            (None, _) => String::new(),
        };
        let (most, of) = match (budget, &figure) {
            (Some(budget), Some(figure)) if figure.value > budget.most => {
                (number(budget.most), format!("**{}**", times(figure.value, budget.most)))
            }
            (Some(budget), Some(figure)) => (number(budget.most), times(figure.value, budget.most)),
            (Some(budget), None) => (number(budget.most), String::new()),
            (None, _) => ("none stated".into(), String::new()),
        };
        let cell = figure_cell(figure.as_ref(), unit);
        let _ = writeln!(
            text,
            "| {} | {} | {cell} | {basis} | {most} | {of} | {} |",
            row.part, row.what, row.carried
        );
    }
    text
}

fn lines(slopes: &Slopes, budgets: &Budgets) -> String {
    let mut text = String::from(
        "| id | what, unit | size: value | at the fleet's size | known how; spread | command; note |\n",
    );
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for slope in &slopes.slopes {
        row(&mut text, slope, budgets);
    }
    text
}

fn row(text: &mut String, slope: &Slope, budgets: &Budgets) {
    let at = |build| match budgets.at(slope, build) {
        Some((value, line)) => format!("{}, {}", number(value), line_in_words(line)),
        None => String::new(),
    };
    let taken = |taken: &Option<Provenance>| match taken {
        Some(taken) => format!("; taken {}", provenance(taken)),
        None => String::new(),
    };
    let (id, what, unit) = (&slope.id, &slope.what, &slope.unit);
    let basis = if slope.points.is_empty() { "" } else { slope.basis.name() };
    let command = if slope.command.is_empty() { String::new() } else { format!("`{}`", slope.command) };
    let parts = [command, slope.note.clone()];
    let notes: Vec<_> = parts.iter().filter(|part| !part.is_empty()).map(String::as_str).collect();
    let source: Vec<_> = [basis, &slope.spread].into_iter().filter(|part| !part.is_empty()).collect();
    let over = slope.axis.as_ref().map_or(String::new(), |axis| format!("; over {axis}"));
    let _ = writeln!(
        text,
        "| `{id}` | {what}, {unit}{over} | {} | {} | {}{} | {} |",
        points(&slope.points),
        at(Build::Now),
        source.join("; "),
        taken(&slope.taken),
        notes.join("; ")
    );
    if let Some(before) = &slope.before {
        let _ = writeln!(
            text,
            "| the same, build before | | {} | {} | {}{} | |",
            points(&before.points),
            at(Build::Before),
            before.spread,
            taken(&before.taken)
        );
    }
}
