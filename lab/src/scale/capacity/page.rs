//! Tables of `docs/CAPACITY.md`, between the markers `<!-- capacity: NAME -->` and `<!-- end -->`.

use super::budgets::{Bound, Budgets, Build};
use super::format::{
    describe_extrapolation, describe_load_case, figure_cell, format_multiple, format_number, format_points,
};
use super::over_budget::over_budget_table;
use super::slopes::{Provenance, Role, Slope, Slopes};
use std::fmt::Write;

const END_MARKER: &str = "<!-- end -->";

/// Returns the page with newly generated tables.
///
/// # Errors
/// A marker is malformed or unknown, or the page has no marker for a table. The error says which.
pub fn fill_tables(page: &str, slopes: &Slopes, budgets: &Budgets) -> Result<String, String> {
    let mut filled = String::new();
    let mut rest = page;
    let mut found = Vec::new();
    while let Some((text, after)) = rest.split_once("<!-- capacity: ") {
        let (name, after) =
            after.split_once(" -->\n").ok_or("found a capacity marker that does not end on its line")?;
        let (_, after) = after.split_once(END_MARKER).ok_or(format!("table {name:?} has no end marker"))?;
        let table = table(name, slopes, budgets).ok_or(format!("unknown table {name:?}"))?;
        let _ = write!(filled, "{text}<!-- capacity: {name} -->\n{table}{END_MARKER}");
        found.push(name);
        rest = after;
    }
    match TABLE_NAMES.iter().find(|name| !found.contains(name)) {
        Some(name) => Err(format!("found no marker for the table {name:?}")),
        None => Ok(filled + rest),
    }
}

/// Names of the tables in their markers.
const TABLE_NAMES: [&str; 10] =
    ["over", "bounds", "taken", "sizes", "budgets", "backend", "keeper", "tool", "caller", "slopes"];

/// Generates the table with a name, or returns `None` if there is no such table.
fn table(name: &str, slopes: &Slopes, budgets: &Budgets) -> Option<String> {
    Some(match name {
        "over" => over_budget_table(slopes, budgets),
        "bounds" => bounds_table(slopes, budgets),
        "taken" => provenance_text(slopes),
        "sizes" => sizes_table(budgets),
        "budgets" => budgets_table(budgets),
        "backend" => role_table(Role::Backend, slopes, budgets),
        "keeper" => role_table(Role::Voter, slopes, budgets),
        "tool" => role_table(Role::Tool, slopes, budgets),
        "caller" => role_table(Role::Caller, slopes, budgets),
        "slopes" => slopes_table(slopes, budgets),
        _ => return None,
    })
}

fn bounds_table(slopes: &Slopes, budgets: &Budgets) -> String {
    let mut rows: Vec<_> =
        budgets.bounds.iter().map(|bound| (budgets.needed(bound, slopes), bound)).collect();
    let factor = |(needed, bound): &(Option<f64>, &Bound)| needed.map_or(0.0, |needed| needed / bound.bound);
    rows.sort_by(|one, other| factor(other).total_cmp(&factor(one)));
    let mut text =
        String::from("| bound | in | before | now | needed at this size | of the bound now | carried by |\n");
    text += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (needed, bound) in rows {
        let unit = &bound.unit;
        let of_bound = match needed {
            Some(needed) if needed > bound.bound => format!("**{}**", format_multiple(needed, bound.bound)),
            Some(needed) => format_multiple(needed, bound.bound),
            None => String::new(),
        };
        let needed =
            needed.map_or("not measured".into(), |needed| format!("{} {unit}", format_number(needed)));
        let [previous, current] = [bound.previous_bound, bound.bound].map(format_number);
        let (description, location, carried_by) = (&bound.description, &bound.location, &bound.carried_by);
        let _ = writeln!(
            text,
            "| {description} | `{location}` | {previous} {unit} | {current} {unit} | {needed} | {of_bound} | {carried_by} |"
        );
    }
    text
}

fn describe_provenance(provenance: &Provenance) -> String {
    let Provenance { date, machine, cores, commit } = provenance;
    format!("{date}, {machine}, {cores} cores, commit {commit}")
}

fn provenance_text(slopes: &Slopes) -> String {
    let [current, previous] = [&slopes.provenance, &slopes.previous_provenance].map(describe_provenance);
    format!("Taken {current}; the build before {previous}; unless a row says otherwise.\n")
}

fn sizes_table(budgets: &Budgets) -> String {
    let mut text = String::from("| size | figure |\n| --- | --- |\n");
    for size in &budgets.sizes {
        let _ = writeln!(text, "| {} | {} |", size.description, format_number(size.value));
    }
    for rate in &budgets.rates {
        let _ = match rate.period_s {
            1.0 => writeln!(text, "| {} | {} a second |", rate.description, format_number(rate.count)),
            period_s => {
                writeln!(
                    text,
                    "| {} | {} in {} s |",
                    rate.description,
                    format_number(rate.count),
                    format_number(period_s)
                )
            }
        };
    }
    text
}

fn budgets_table(budgets: &Budgets) -> String {
    let mut text = String::from("| budget | at most | from |\n| --- | --- | --- |\n");
    for budget in &budgets.budgets {
        let _ = writeln!(
            text,
            "| {} | {} {} | {} |",
            budget.description,
            format_number(budget.limit),
            budget.unit,
            budget.source
        );
    }
    text
}

fn role_table(role: Role, slopes: &Slopes, budgets: &Budgets) -> String {
    let mut text = String::from("| part | what | figure | known how | budget | of it | carried by |\n");
    text += "| --- | --- | --- | --- | --- | --- | --- |\n";
    let mut lines: Vec<_> = budgets.lines.iter().filter(|line| line.role == role).collect();
    lines.sort_by_key(|line| line.load_case);
    let mut last_load_case = String::new();
    for line in lines {
        let load_case = describe_load_case(line);
        if load_case != last_load_case {
            let _ = writeln!(text, "| **on {load_case}** | | | | | | |");
            last_load_case = load_case;
        }
        let figure = budgets.figure(line, Build::Current, slopes);
        let budget = line.budget.as_ref().and_then(|id| budgets.budget(id));
        let unit = budget.map_or(&line.unit, |budget| &budget.unit);
        let basis = match (&figure, &line.assumption) {
            (Some(_), Some(assumption)) => format!("assumed: {assumption}"),
            (Some(figure), None) => figure.basis.name().to_string(),
            (None, _) => String::new(),
        };
        let (limit, of_budget) = match (budget, &figure) {
            (Some(budget), Some(figure)) if figure.value > budget.limit => {
                (format_number(budget.limit), format!("**{}**", format_multiple(figure.value, budget.limit)))
            }
            (Some(budget), Some(figure)) => {
                (format_number(budget.limit), format_multiple(figure.value, budget.limit))
            }
            (Some(budget), None) => (format_number(budget.limit), String::new()),
            (None, _) => ("none stated".into(), String::new()),
        };
        let cell = figure_cell(figure.as_ref(), unit);
        let _ = writeln!(
            text,
            "| {} | {} | {cell} | {basis} | {limit} | {of_budget} | {} |",
            line.part, line.description, line.carried_by
        );
    }
    text
}

fn slopes_table(slopes: &Slopes, budgets: &Budgets) -> String {
    let mut text = String::from(
        "| id | what, unit | size: value | at the fleet's size | known how; spread | command; note |\n",
    );
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for slope in &slopes.slopes {
        write_slope(&mut text, slope, budgets);
    }
    text
}

/// Writes the rows of a slope for the current build and, if it was measured, for the previous build.
fn write_slope(text: &mut String, slope: &Slope, budgets: &Budgets) {
    let at_fleet_size = |build| match budgets.value_at_fleet_size(slope, build) {
        Some((value, how)) => format!("{}, {}", format_number(value), describe_extrapolation(how)),
        None => String::new(),
    };
    let taken = |provenance: &Option<Provenance>| match provenance {
        Some(provenance) => format!("; taken {}", describe_provenance(provenance)),
        None => String::new(),
    };
    let (id, description, unit) = (&slope.id, &slope.description, &slope.unit);
    let basis = if slope.points.is_empty() { "" } else { slope.basis.name() };
    let command = if slope.command.is_empty() { String::new() } else { format!("`{}`", slope.command) };
    let parts = [command, slope.note.clone()];
    let notes: Vec<_> = parts.iter().filter(|part| !part.is_empty()).map(String::as_str).collect();
    let source: Vec<_> = [basis, &slope.spread].into_iter().filter(|part| !part.is_empty()).collect();
    let axis = slope.axis.as_ref().map_or(String::new(), |axis| format!("; over {axis}"));
    let _ = writeln!(
        text,
        "| `{id}` | {description}, {unit}{axis} | {} | {} | {}{} | {} |",
        format_points(&slope.points),
        at_fleet_size(Build::Current),
        source.join("; "),
        taken(&slope.provenance),
        notes.join("; ")
    );
    if let Some(previous) = &slope.previous {
        let _ = writeln!(
            text,
            "| the same, build before | | {} | {} | {}{} | |",
            format_points(&previous.points),
            at_fleet_size(Build::Previous),
            previous.spread,
            taken(&previous.provenance)
        );
    }
}
