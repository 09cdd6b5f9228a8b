//! The tables of `docs/CAPACITY.md`, between `<!-- capacity: NAME -->` and `<!-- end -->`.

use super::budgets::{Bound, Budgets, Build, Day, Entry, Figure};
use super::slopes::{Line, Role, Slope, Slopes, Taken};
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
    let (whole, part) = text.split_once('.').map_or((text, None), |(whole, part)| (whole, Some(part)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut grouped = String::from(sign);
    for (n, digit) in digits.chars().enumerate() {
        if n > 0 && (digits.len() - n) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    part.map_or(grouped.clone(), |part| format!("{grouped}.{part}"))
}

fn times(value: f64, most: f64) -> String {
    format!("{} times", number(value / most))
}

/// What stands in a cell of the page.
fn told(figure: Option<&Figure>, unit: &str) -> String {
    match figure {
        None => "not measured".into(),
        Some(it) if it.missing.is_empty() => format!("{} {unit}", number(it.value)),
        Some(it) => format!("{} {unit} and more (not measured: {})", number(it.value), it.missing.join(", ")),
    }
}

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
        let told = format!("{} {}", number(budget.most), budget.unit);
        Some(Over { entry, budget: told, unit: &budget.unit, most: budget.most, before, now })
    });
    let mut rows: Vec<_> = rows.filter(|row| row.furthest() > 1.0).collect();
    rows.sort_by(|one, other| other.furthest().total_cmp(&one.furthest()));
    rows
}

/// How many lines are over their budget as things are.
pub fn over_now(slopes: &Slopes, budgets: &Budgets) -> usize {
    over(slopes, budgets).iter().filter(|row| row.factor(&row.now) > 1.0).count()
}

fn over_table(slopes: &Slopes, budgets: &Budgets) -> String {
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
            let told = told(figure.as_ref(), row.unit);
            match figure {
                None => told,
                Some(_) if factor > 1.0 => format!("**{told}, {}**", times(factor, 1.0)),
                Some(_) => format!("{told}, {}", times(factor, 1.0)),
            }
        };
        let (before, now) = (cell(&row.before), cell(&row.now));
        let (entry, on, budget) = (row.entry, on(row.entry), &row.budget);
        let _ = writeln!(
            text,
            "| {}: {} | {on} | {budget} | {before} | {now} | {} |",
            name(entry.role),
            entry.what,
            entry.carried
        );
    }
    text
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

fn told_of(taken: &Taken) -> String {
    format!("{}, {}, {} cores, commit {}", taken.date, taken.machine, taken.cores, taken.commit)
}

fn taken(slopes: &Slopes) -> String {
    let [now, before] = [&slopes.taken, &slopes.before].map(told_of);
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

fn name(role: Role) -> &'static str {
    match role {
        Role::Backend => "backend",
        Role::Keeper => "keeper",
        Role::Tool => "tool",
        Role::Caller => "caller",
    }
}

fn on(entry: &Entry) -> String {
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

fn role(role: Role, slopes: &Slopes, budgets: &Budgets) -> String {
    let mut text = String::from("| part | what | figure | known how | budget | of it | carried by |\n");
    text += "| --- | --- | --- | --- | --- | --- | --- |\n";
    let mut rows: Vec<_> = budgets.lines.iter().filter(|line| line.role == role).collect();
    rows.sort_by_key(|line| line.day);
    let mut last = String::new();
    for row in rows {
        let on = on(row);
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
            (None, _) => ("none told".into(), String::new()),
        };
        let told = told(figure.as_ref(), unit);
        let _ = writeln!(
            text,
            "| {} | {} | {told} | {basis} | {most} | {of} | {} |",
            row.part, row.what, row.carried
        );
    }
    text
}

fn points(points: &[(f64, f64)]) -> String {
    let all: Vec<_> =
        points.iter().map(|(size, value)| format!("{}: {}", number(*size), number(*value))).collect();
    if all.is_empty() {
        "not measured".into()
    } else {
        all.join("; ")
    }
}

fn way(line: Line) -> String {
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
        Some((value, line)) => format!("{}, {}", number(value), way(line)),
        None => String::new(),
    };
    let taken = |taken: &Option<Taken>| match taken {
        Some(taken) => format!("; taken {}", told_of(taken)),
        None => String::new(),
    };
    let (id, what, unit) = (&slope.id, &slope.what, &slope.unit);
    let basis = if slope.points.is_empty() { "" } else { slope.basis.name() };
    let command = if slope.command.is_empty() { String::new() } else { format!("`{}`", slope.command) };
    let parts = [command, slope.note.clone()];
    let told: Vec<_> = parts.iter().filter(|part| !part.is_empty()).map(String::as_str).collect();
    let known: Vec<_> = [basis, &slope.spread].into_iter().filter(|part| !part.is_empty()).collect();
    let over = slope.axis.as_ref().map_or(String::new(), |axis| format!("; over {axis}"));
    let _ = writeln!(
        text,
        "| `{id}` | {what}, {unit}{over} | {} | {} | {}{} | {} |",
        points(&slope.points),
        at(Build::Now),
        known.join("; "),
        taken(&slope.taken),
        told.join("; ")
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
