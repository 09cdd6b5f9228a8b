//! Takes up what scenarios printed with `--json` as points of the rows; sizes are methods and tenants together, members, callers.

use super::page::number;
use super::slopes::{Slope, Slopes, Taken, FORMAT};
use super::{As, Wrong};
use serde::Serialize;
use serde_json::ser::{Formatter, PrettyFormatter};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// The note of a row whose figures are to come.
const UNTIL: &str = "not measured yet";

/// What a row is made of: a field of what a scenario printed, less another where there is one, in units of the row.
struct Made {
    row: &'static str,
    scenario: &'static str,
    field: &'static str,
    less: Option<&'static str>,
    /// Over that of the build beside it.
    over_other: bool,
    /// Taken where the field is not there: said in the spread.
    or: Option<&'static str>,
    unit: f64,
    /// Only of outputs in which fields are these.
    only: &'static [(&'static str, &'static str)],
}

const CONFIG: Made = Made {
    row: "",
    scenario: "scale-config",
    field: "",
    less: None,
    over_other: false,
    or: None,
    unit: 1.0,
    only: &[("rate", "84")],
};
const fn of(row: &'static str, field: &'static str) -> Made {
    Made { row, field, ..CONFIG }
}
const fn above(row: &'static str, field: &'static str, less: &'static str, unit: f64) -> Made {
    Made { row, field, less: Some(less), unit, ..CONFIG }
}
const fn members(
    row: &'static str, field: &'static str, unit: f64, only: &'static [(&'static str, &'static str)],
) -> Made {
    Made { row, scenario: "scale-members", field, unit, only, ..CONFIG }
}

const fn agree(
    row: &'static str, field: &'static str, unit: f64, only: &'static [(&'static str, &'static str)],
) -> Made {
    Made { row, scenario: "scale-agree", field, unit, only, ..CONFIG }
}
const fn tool(row: &'static str, field: &'static str) -> Made {
    Made { row, scenario: "scale-tool", field, only: &[], ..CONFIG }
}
const fn callers(row: &'static str, field: &'static str) -> Made {
    Made { row, scenario: "scale-callers", field, only: &[], ..CONFIG }
}

const fn rpc(row: &'static str, field: &'static str, only: &'static [(&'static str, &'static str)]) -> Made {
    Made { row, scenario: "scale-rpc", field, only, ..CONFIG }
}

const KB: f64 = 1_024.0;
const FEW: &[(&str, &str)] = &[("callers", "42")];
const ALL: &[(&str, &str)] = &[("callers", "5100")];
const QUIET: &[(&str, &str)] = &[("kind", "quiet"), ("loss", "0")];
const LOSS: &[(&str, &str)] = &[("loss", "0.15")];
const CALM_LOSS: &[(&str, &str)] = &[("kind", "calm"), ("loss", "0.15")];
const RESTARTS: &[(&str, &str)] = &[("kind", "restarts"), ("loss", "0")];
const ZONE: &[(&str, &str)] = &[("kind", "zone"), ("loss", "0")];
const CUT: &[(&str, &str)] = &[("kind", "cut"), ("loss", "0")];

const AGREE_QUIET: &[(&str, &str)] = &[("kind", "quiet"), ("entries", "10000")];
const AGREE_DEAD: &[(&str, &str)] = &[("kind", "dead"), ("entries", "10000")];
const AGREE_CUT: &[(&str, &str)] = &[("kind", "cut"), ("entries", "10000")];
const AGREE_LOSS: &[(&str, &str)] = &[("kind", "loss"), ("entries", "10000")];
const AGREE_KEEPER: &[(&str, &str)] = &[("kind", "keeper"), ("entries", "10000")];

const MADE: &[Made] = &[
    above("config-memory", "rss_kb", "rss_kb_small", KB),
    above("config-memory-changes", "rss_kb_after", "rss_kb_small", KB),
    above("config-memory-reloads", "rss_kb_after_reloads", "rss_kb_small", KB),
    above("config-memory-peak", "peak_kb", "rss_kb_small", KB),
    of("config-cpu-step", "cpu_ms_per_change"),
    Made { or: Some("cpu_ms_per_refused_reload"), ..of("config-cpu-reload", "cpu_ms_per_reload") },
    of("config-cpu-all", "cpu_ms_all"),
    of("config-cpu-undo", "cpu_ms_undo"),
    of("config-gap", "gap_ms_max"),
    of("config-gap-quiet", "gap_ms_max_quiet"),
    of("config-added", "added_ms_p99"),
    of("config-added-quiet", "added_ms_p99_quiet"),
    of("config-all-time", "all_ms_file"),
    above("config-bytes-step", "bytes_per_change", "entry_bytes", 1.0),
    above("config-bytes-disk", "bytes_per_change_disk", "entry_bytes", 1.0),
    Made { unit: KB, ..of("config-file", "file_bytes") },
    of("config-start", "start_ms"),
    above("config-memory-peak-reloads", "peak_kb_after_reloads", "rss_kb_small", KB),
    of("config-gap-floor", "gap_ms_floor"),
    Made { over_other: true, ..of("config-small-memory", "rss_kb_small") },
    members("members-cpu", "cpu_ms_per_s", 1.0, QUIET),
    members("members-bytes", "bytes_per_s", 1e3, QUIET),
    members("members-datagrams", "datagrams_per_s", 1.0, QUIET),
    members("members-memory", "memory_kb", KB, QUIET),
    members("members-found", "found_ms", 1e3, QUIET),
    members("members-detect", "detect_ms_max", 1e3, QUIET),
    members("members-transition", "transition_all_ms", 1e3, QUIET),
    members("members-false-loss", "false_failed", 1.0, CALM_LOSS),
    members("members-cpu-loss", "cpu_ms_per_s", 1.0, LOSS),
    members("members-bytes-loss", "bytes_per_s", 1e3, LOSS),
    members("members-cpu-restarts", "worst_cpu_ms_per_s", 1.0, RESTARTS),
    members("members-bytes-restarts", "worst_bytes_per_s", 1e3, RESTARTS),
    members("members-waiting", "waiting_max", 1.0, RESTARTS),
    members("members-cpu-zone", "worst_cpu_ms_per_s", 1.0, ZONE),
    members("members-bytes-zone", "worst_bytes_per_s", 1e3, ZONE),
    members("members-whole-zone", "whole_ms", 1e3, ZONE),
    members("members-cpu-cut", "cut_worst_cpu_ms_per_s", 1.0, CUT),
    members("members-bytes-cut", "cut_worst_bytes_per_s", 1e3, CUT),
    members("members-sides", "sides_that_lead", 1.0, CUT),
    members("members-cpu-heal", "worst_cpu_ms_per_s", 1.0, CUT),
    members("members-bytes-heal", "worst_bytes_per_s", 1e3, CUT),
    members("members-whole-cut", "whole_ms", 1e3, CUT),
    agree("holder-cpu", "holder_cpu_ms_per_s_changing", 1.0, AGREE_QUIET),
    agree("holder-bytes", "holder_bytes_per_s_changing", 1e3, AGREE_QUIET),
    agree("holder-memory", "holder_kb_after", KB, AGREE_QUIET),
    agree("keeper-cpu", "leader_cpu_ms_per_s_changing", 1.0, AGREE_QUIET),
    agree("keeper-bytes", "leader_bytes_per_s_changing", 1e3, AGREE_QUIET),
    agree("keeper-messages", "leader_messages_per_s_changing", 1.0, AGREE_QUIET),
    agree("keeper-memory", "keeper_kb", KB, AGREE_QUIET),
    agree("keeper-disk-change", "disk_bytes_per_change", 1.0, AGREE_QUIET),
    agree("keeper-disk", "disk_bytes_whole", KB, AGREE_QUIET),
    agree("keeper-catch-up", "catch_up_ms", 1e3, AGREE_QUIET),
    agree("keeper-catch-up-cpu", "catch_up_keepers_cpu_ms", 1.0, AGREE_QUIET),
    agree("keeper-catch-up-region", "catch_up_ms_255", 1e3, AGREE_QUIET),
    agree("keeper-catch-up-region-cpu", "catch_up_keepers_cpu_ms_255", 1.0, AGREE_QUIET),
    agree("agree-in-force", "in_force_ms_max", 1e3, AGREE_QUIET),
    agree("agree-all", "everything_ms", 1e3, AGREE_QUIET),
    agree("agree-in-force-dead", "in_force_ms_max", 1e3, AGREE_DEAD),
    agree("agree-in-force-cut", "in_force_ms_max", 1e3, AGREE_CUT),
    agree("agree-in-force-loss", "in_force_ms_max", 1e3, AGREE_LOSS),
    agree("agree-in-force-keeper", "in_force_ms_max", 1e3, AGREE_KEEPER),
    agree("agree-catch-up-loss", "catch_up_ms", 1e3, AGREE_LOSS),
    agree("agree-contradiction", "contradiction_ms_max", 1e3, AGREE_CUT),
    tool("tool-check-cpu", "check_cpu_ms"),
    tool("tool-check-memory", "check_peak_mb"),
    tool("tool-diff-cpu", "diff_cpu_ms"),
    tool("tool-diff-memory", "diff_peak_mb"),
    rpc("rpc-cpu", "cpu_us", FEW),
    rpc("rpc-ratio", "ratio", FEW),
    rpc("rpc-ratio-all", "ratio", ALL),
    rpc("rpc-to-before", "ratio_to_other", FEW),
    Made { scenario: "scale-rpc-lists", ..rpc("rpc-ratio-lists", "ratio", ALL) },
    callers("callers-memory", "memory_mb"),
    callers("callers-descriptors", "descriptors"),
    callers("callers-cpu", "cpu_ms_per_s"),
];

/// Objects that a file holds: one, a list of them, or lines of which some are objects, as scenarios print them.
pub fn read(path: &Path) -> Result<Vec<Value>, Wrong> {
    let text = super::read(path)?;
    let found: Vec<Value> = match serde_json::from_str(&text) {
        Ok(Value::Array(all)) => all,
        Ok(one) => vec![one],
        Err(_) => text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect(),
    };
    let all: Vec<_> = found.into_iter().flat_map(outputs).filter(|value| size(value).is_some()).collect();
    if all.is_empty() {
        let why =
            "no object with methods and tenants, nodes, holders or connections, as scale-* --json print them"
                .into();
        return Err(Wrong::Output { path: path.into(), why });
    }
    Ok(all)
}

/// An output may stand beside the command that it is of, and hold one for each size, with that of the build beside it.
fn outputs(found: Value) -> Vec<Value> {
    let output = if found["result"].is_object() { &found["result"] } else { &found };
    let list = |name: &'static str| Some((name, output[name].as_array()?));
    let runs: Vec<_> = ["runs", "points", "lists"].into_iter().filter_map(list).collect();
    if runs.is_empty() {
        return vec![output.clone()];
    }
    let scenario = output["scenario"].as_str().unwrap_or_default();
    let one = |(list, place, run): (&str, usize, &Value)| {
        let mut run = run.clone();
        run["scenario"] = scenario.into();
        run["other"] = output["other"][list][place].clone();
        if list == "lists" {
            run["scenario"] = format!("{scenario}-lists").into();
            run["methods"] = Value::Null;
        }
        run
    };
    let all =
        runs.into_iter().flat_map(|(list, runs)| runs.iter().enumerate().map(move |(n, run)| (list, n, run)));
    all.filter(|(_, _, run)| run.is_object()).map(one).collect()
}

fn size(output: &Value) -> Option<u64> {
    let both = output["methods"].as_u64().zip(output["tenants"].as_u64()).map(|(one, other)| one + other);
    both.or_else(|| output["nodes"].as_u64())
        .or_else(|| output["holders"].as_u64())
        .or_else(|| output["connections"].as_u64())
        .or_else(|| output["entries"].as_u64())
}

/// What one output says of a row.
struct Said {
    value: f64,
    least: f64,
    most: f64,
    /// Of what is taken instead.
    instead: bool,
    /// A rule that the run broke.
    broken: Option<String>,
}

fn said(output: &Value, made: &Made, build: As) -> Option<Said> {
    let is = |(field, value): &(&str, &str)| match &output[*field] {
        Value::String(text) => text == value,
        Value::Null => true,
        other => other.as_f64() == value.parse().ok(),
    };
    if output["scenario"] != made.scenario || !made.only.iter().all(is) {
        return None;
    }
    // A run beside the build before holds its figures as `other`.
    let figures = if build == As::Before && output["other"].is_object() { &output["other"] } else { output };
    let less = match made.less {
        Some(less) => figures[less].as_f64()?,
        None => 0.0,
    };
    let instead = figures[made.field].is_null();
    let field = if instead { made.or? } else { made.field };
    let unit = if made.over_other { output["other"][field].as_f64()? } else { made.unit };
    let of = |value: f64| (value - less) / unit;
    let value = of(figures[field].as_f64()?);
    let spreads = [&figures["spread"][field], &figures[format!("{field}_spread")], &figures["spread"]];
    let end = |n: usize| spreads.iter().find_map(|spread| spread[n].as_f64()).map_or(value, of);
    let broken = figures["broken"][0].as_str().map(str::to_string);
    Some(Said { value, least: end(0), most: end(1), instead, broken })
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        (values[middle - 1] + values[middle]) / 2.0
    }
}

/// Least and most at each size, where they differ.
fn spread(sizes: &BTreeMap<u64, Vec<Said>>, made: &Made) -> String {
    let mut told = Vec::new();
    for (size, all) in sizes {
        let least = all.iter().map(|said| said.least).fold(f64::INFINITY, f64::min);
        let most = all.iter().map(|said| said.most).fold(f64::NEG_INFINITY, f64::max);
        let size = number(*size as f64);
        if least < most {
            told.push(format!("at {size} {} to {}", number(least), number(most)));
        }
        if let Some(or) = made.or.filter(|_| all.iter().any(|said| said.instead)) {
            told.push(format!("at {size} `{or}`"));
        }
        if let Some(rule) = all.iter().find_map(|said| said.broken.as_ref()) {
            told.push(format!("at {size} a rule broke: {rule}"));
        }
    }
    if told.is_empty() {
        "one run each".into()
    } else {
        told.join("; ")
    }
}

/// The text of the slopes with the outputs as points, and the rows that got some. Points of other sizes stay.
pub fn take(
    path: &Path, text: &str, outputs: &[Value], build: As, commit: Option<&str>,
) -> Result<(String, Vec<String>), Wrong> {
    let mut slopes = Slopes::parse(path, text)?;
    let mut rows = Vec::new();
    for made in MADE {
        let mut sizes: BTreeMap<u64, Vec<Said>> = BTreeMap::new();
        for output in outputs {
            if let (Some(size), Some(said)) = (size(output), said(output, made, build)) {
                sizes.entry(size).or_default().push(said);
            }
        }
        let Some(slope) = slopes.slopes.iter_mut().find(|slope| slope.id == made.row && !sizes.is_empty())
        else {
            continue;
        };
        let spread = spread(&sizes, made);
        let (points, kept) = match (build, &mut slope.before) {
            (As::Before, Some(before)) => (&mut before.points, &mut before.spread),
            // A row without a build before is the same in both.
            _ => {
                if slope.note == UNTIL {
                    slope.note.clear();
                }
                (&mut slope.points, &mut slope.spread)
            }
        };
        for (size, all) in sizes {
            let size = size as f64;
            let mut values: Vec<f64> = all.iter().map(|said| said.value).collect();
            points.retain(|(known, _)| *known != size);
            points.push((size, (median(&mut values) * 1e4).round() / 1e4));
        }
        points.sort_by(|one, other| one.0.total_cmp(&other.0));
        *kept = spread;
        rows.push(made.row.to_string());
    }
    let taken = if build == As::After { &mut slopes.taken } else { &mut slopes.before };
    if let Some(commit) = commit {
        taken.commit = commit.into();
    }
    if rows.is_empty() {
        return Err(Wrong::Output {
            path: path.into(),
            why: "no row takes anything of these outputs".into(),
        });
    }
    let text = write(&slopes).map_err(|error| Wrong::Output { path: path.into(), why: error.to_string() })?;
    Slopes::parse(path, &text)?;
    Ok((text, rows))
}

/// The file's text: a field a line, points on one.
pub fn write(slopes: &Slopes) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut to =
        serde_json::Serializer::with_formatter(&mut bytes, Rows { pretty: PrettyFormatter::new(), depth: 0 });
    File { format: FORMAT, taken: &slopes.taken, before: &slopes.before, slopes: &slopes.slopes }
        .serialize(&mut to)?;
    let mut text = String::from_utf8(bytes).map_err(io::Error::other)?;
    text.push('\n');
    Ok(text)
}

#[derive(Serialize)]
struct File<'a> {
    format: u64,
    taken: &'a Taken,
    before: &'a Taken,
    slopes: &'a [Slope],
}

/// As `PrettyFormatter`, but lists within the outer one stay on their line.
struct Rows {
    pretty: PrettyFormatter<'static>,
    depth: usize,
}

impl Formatter for Rows {
    fn begin_array<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.depth += 1;
        if self.depth == 1 {
            self.pretty.begin_array(to)
        } else {
            to.write_all(b"[")
        }
    }
    fn end_array<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.depth -= 1;
        if self.depth == 0 {
            self.pretty.end_array(to)
        } else {
            to.write_all(b"]")
        }
    }
    fn begin_array_value<W: ?Sized + io::Write>(&mut self, to: &mut W, first: bool) -> io::Result<()> {
        match (self.depth, first) {
            (1, _) => self.pretty.begin_array_value(to, first),
            (_, true) => Ok(()),
            (_, false) => to.write_all(b", "),
        }
    }
    fn end_array_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        if self.depth == 1 {
            self.pretty.end_array_value(to)
        } else {
            Ok(())
        }
    }
    fn begin_object<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.begin_object(to)
    }
    fn end_object<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.end_object(to)
    }
    fn begin_object_key<W: ?Sized + io::Write>(&mut self, to: &mut W, first: bool) -> io::Result<()> {
        self.pretty.begin_object_key(to, first)
    }
    fn begin_object_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.begin_object_value(to)
    }
    fn end_object_value<W: ?Sized + io::Write>(&mut self, to: &mut W) -> io::Result<()> {
        self.pretty.end_object_value(to)
    }
}
