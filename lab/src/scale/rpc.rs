//! `scale-rpc`: what an RPC costs the process in CPU, by methods and tenants, by callers, and by entries of agreed lists.
//! All processes stand from the start, and are called in turns; a figure is the median of the rounds, a ratio that of the
//! ratios within a round. Background work is reported apart: it is what the process takes with nothing going on.

use super::sizes::Sizes;
use super::statistics::{median, rounded};
use super::test_bed::{tenant_name, BackgroundLoad, LoadProfile, SiteSettings, TestBed};
use crate::process::load_average;
use crate::report::{Report, ScenarioError};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const RATE: f64 = 3_000.0; // RPCs a second: enough that an RPC's work stands out from all else
const QUICK_RATE: f64 = 500.0;
const ROUNDS: usize = 5;
const WARM_UP: Duration = Duration::from_millis(400);
const AT_REST: Duration = Duration::from_millis(500); // after the start
const IDLE: Duration = Duration::from_secs(2);
const QUICK_SPAN: Duration = Duration::from_millis(500); // of rest and of load
const MEASURED: usize = 1; // the phase whose RPCs count
const COOL_DOWN: usize = 2; // the phase of those behind
const SIZES: [(usize, usize); 3] = [(5, 0), (470, 4_900), (4_700, 49_000)]; // methods and tenants
const QUICK_SIZES: [(usize, usize); 2] = [(5, 0), (40, 400)];
const CALLERS: [usize; 2] = [42, 5_100];
const LISTS: [usize; 3] = [0, 10_000, 100_000];
const QUICK_LISTS: [usize; 2] = [0, 1_000];
const STEP: usize = 1_000; // entries of one change of a list
const RATIO: f64 = 1.10; // of the smallest, at most
const IN_FORCE_WITHIN: Duration = Duration::from_secs(60); // for lists

/// Rows that change one list.
#[derive(Debug)]
pub struct ListChange {
    /// The list's name.
    pub list: &'static str,
    /// What is put on it.
    pub rows: Vec<Value>,
}

/// One kind of process, and what was found of it.
struct Point {
    other_build: bool,
    methods: usize,
    tenants: usize,
    callers: usize,
    /// Entries of agreed lists; none where nothing is agreed on.
    entries: Option<usize>,
    bed: TestBed,
    idle_ms_per_s: f64,
    /// CPU of an RPC in each round, in microseconds.
    cpu_us: Vec<f64>,
    sent: u64,
    ok: u64,
    peak_kb: u64,
}

/// How the points are measured.
struct Plan {
    rate: f64,
    rounds: usize,
    span: Duration,
    idle: Duration,
    sizes: &'static [(usize, usize)],
    lists: &'static [usize],
}

impl Plan {
    fn new(sizes: &Sizes, rate: Option<f64>, seconds: Option<u64>) -> Plan {
        let quick = sizes.quick;
        Plan {
            rate: rate.unwrap_or(if quick { QUICK_RATE } else { RATE }),
            rounds: sizes.turns.unwrap_or(if quick { 1 } else { ROUNDS }).max(1),
            span: if quick { QUICK_SPAN } else { Duration::from_secs(seconds.unwrap_or(2)) },
            idle: if quick { QUICK_SPAN } else { IDLE },
            sizes: if quick { &QUICK_SIZES } else { &SIZES },
            lists: if quick { &QUICK_LISTS } else { &LISTS },
        }
    }
}

/// The changes that put entries with these numbers on lists: tenants first, then callers, all admitted, so that service
/// is the same with them.
pub fn list_changes(from: usize, to: usize, tenants: usize) -> Vec<ListChange> {
    let row = |n: usize| match n < tenants {
        true => ("tenants", json!({"key": tenant_name(n), "standing": "in"})),
        false => ("callers", json!({"key": (n - tenants + 1).to_string(), "standing": "in"})),
    };
    let mut changes: Vec<ListChange> = Vec::new();
    for (list, row) in (from..to).map(row) {
        match changes.last_mut() {
            Some(last) if last.list == list => last.rows.push(row),
            _ => changes.push(ListChange { list, rows: vec![row] }),
        }
    }
    changes
}

/// Lists of so many entries come into force at a process that agrees with nobody but itself.
fn agree_on_lists(bed: &TestBed, count: usize, tenants: usize) -> Result<(), ScenarioError> {
    let (mut control, until) = (bed.control_client(), Instant::now() + IN_FORCE_WITHIN);
    for from in (0..count).step_by(STEP) {
        for ListChange { list, rows } in list_changes(from, (from + STEP).min(count), tenants) {
            loop {
                let answer = control.request(json!({"do": "list-change", "list": list, "entries": rows}))?;
                if answer["ok"] == json!(true) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("a list was not changed: {answer}").into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    loop {
        let answer = control.request(json!({"do": "fleet"}))?;
        if answer["form"] == json!("full") && answer["version"] == answer["newest"] {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(format!("lists are not in force: {answer}").into());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

impl Point {
    fn start(
        (methods, tenants): (usize, usize), callers: usize, entries: Option<usize>, program: Option<&Path>,
    ) -> Result<Point, ScenarioError> {
        let site = SiteSettings::new(methods, tenants, callers);
        let sections = match entries {
            Some(_) => {
                let own = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
                format!("[members]\ncluster lab\nlisten {own}\nkey-file {{password}}\nexpect 1\n[fleet]\nkeeper n1\n")
            }
            None => String::new(),
        };
        let bed = TestBed::start_with(&site, program, Duration::ZERO, &sections)?;
        if let Some(entries) = entries {
            agree_on_lists(&bed, entries, tenants)?;
        }
        Ok(Point {
            other_build: program.is_some(),
            methods,
            tenants,
            callers,
            entries,
            bed,
            idle_ms_per_s: 0.0,
            cpu_us: Vec::new(),
            sent: 0,
            ok: 0,
            peak_kb: 0,
        })
    }

    /// RPCs for a while: CPU of each.
    fn measure_round(&mut self, report: &mut Report, plan: &Plan, seed: u64) -> Result<(), ScenarioError> {
        let (methods, tenants, callers) = (self.methods, self.tenants, self.callers);
        let profile = LoadProfile { methods, tenants, callers, rate: plan.rate, seed };
        let load = BackgroundLoad::start(self.bed.node.at, &self.bed.agent, profile)?;
        thread::sleep(WARM_UP);
        load.set_phase(MEASURED);
        let before = self.bed.meter.read();
        thread::sleep(plan.span);
        let after = self.bed.meter.read();
        load.set_phase(COOL_DOWN);
        let (phases, violations) = load.finish()?;
        report.rule("an RPC got no final answer", violations.unanswered == 0);
        report.rule("an RPC was answered twice", violations.answered_twice == 0);
        report.rule("an RPC got the result of another", violations.wrong_results == 0);
        let stats = &phases[MEASURED];
        report.rule("hardly anything was answered ok", stats.ok * 10 >= stats.sent * 9);
        self.cpu_us.push(after.cpu_ms(&before) * 1e3 / stats.sent.max(1) as f64);
        self.sent += stats.sent;
        self.ok += stats.ok;
        self.peak_kb = self.bed.status_kb("VmHWM").unwrap_or(0);
        Ok(())
    }

    /// Ratios of this point's CPU to another's, round by round.
    fn ratios(&self, to: &Point) -> Vec<f64> {
        self.cpu_us.iter().zip(&to.cpu_us).map(|(this, other)| this / other).collect()
    }

    /// What was found, with the ratios to the smallest point and that to the other build.
    fn figures(&self, smallest: &Point, to_other: Option<f64>) -> Value {
        let (mut cpu_us, mut ratios) = (self.cpu_us.clone(), self.ratios(smallest));
        let (cpu_us_median, ratio) = (median(&mut cpu_us), median(&mut ratios));
        let ends = |sorted: &[f64]| {
            json!([sorted.first().copied().map(rounded), sorted.last().copied().map(rounded)])
        };
        json!({"methods": self.methods, "tenants": self.tenants, "callers": self.callers, "entries": self.entries,
            "cpu_us": cpu_us_median.map(rounded), "spread": ends(&cpu_us), "ratio": ratio.map(rounded),
            "ratio_spread": ends(&ratios), "idle_ms_per_s": rounded(self.idle_ms_per_s), "asked": self.sent,
            "ok": self.ok, "peak_kb": self.peak_kb, "ratio_to_other": to_other.map(rounded)})
    }
}

/// All points of this build, then those of another.
fn start_points(plan: &Plan, other: Option<&Path>) -> Result<Vec<Point>, ScenarioError> {
    let largest = plan.sizes.last().copied().unwrap_or((5, 0));
    let mut points = Vec::new();
    for program in std::iter::once(None).chain(other.map(Some)) {
        for size in plan.sizes {
            for callers in CALLERS {
                points.push(Point::start(*size, callers, None, program)?);
            }
        }
        for entries in plan.lists {
            points.push(Point::start(largest, CALLERS[1], Some(*entries), program)?);
        }
    }
    Ok(points)
}

fn measure(report: &mut Report, points: &mut [Point], plan: &Plan, seed: u64) -> Result<(), ScenarioError> {
    thread::sleep(AT_REST);
    let before: Vec<_> = points.iter_mut().map(|point| point.bed.meter.read()).collect();
    thread::sleep(plan.idle);
    for (point, before) in points.iter_mut().zip(before) {
        let after = point.bed.meter.read();
        point.idle_ms_per_s = after.cpu_ms(&before) / after.ms(&before) * 1e3;
    }
    for round in 0..plan.rounds as u64 {
        for point in points.iter_mut() {
            point.measure_round(report, plan, seed + round)?;
        }
    }
    Ok(())
}

fn shut_down(report: &mut Report, points: &mut [Point]) {
    let mut left = 0;
    points.iter().for_each(|point| point.bed.node.signal("TERM"));
    for point in points {
        let exit = point.bed.shut_down();
        left += exit.leftover_processes;
        report.rule("the process did not end well", exit.code == Some(0));
    }
    report.set("left_processes", json!(left));
    report.rule("a process was left over", left == 0);
}

/// What was found of one build.
struct BuildFigures {
    points: Vec<Value>,
    lists: Vec<Value>,
}

impl BuildFigures {
    /// `to_other`: this build's CPU over another's, for each point in order; shorter where there is no other.
    fn new(points: &[Point], other_build: bool, to_other: &[Option<f64>]) -> BuildFigures {
        let figures = |lists: bool| -> Vec<Value> {
            let fits = |point: &Point| point.other_build == other_build && point.entries.is_some() == lists;
            let Some(smallest) = points.iter().find(|point| fits(point)) else { return Vec::new() };
            let chosen = points.iter().enumerate().filter(|(_, point)| fits(point));
            chosen.map(|(n, point)| point.figures(smallest, to_other.get(n).copied().flatten())).collect()
        };
        BuildFigures { points: figures(false), lists: figures(true) }
    }

    fn output(&self) -> Value {
        let worst = |all: &[Value]| all.iter().filter_map(|point| point["ratio"].as_f64()).reduce(f64::max);
        let lists =
            "of the smallest with lists of no entries, which stands for all lists with members and keeper";
        json!({"points": self.points, "lists": self.lists, "lists_ratio": lists,
            "cpu_us": self.points[0]["cpu_us"], "ratio": worst(&self.points), "ratio_lists": worst(&self.lists)})
    }

    /// The points that are over budget, in words.
    fn over_budget(&self) -> Vec<String> {
        let all = self.points.iter().chain(&self.lists);
        let over = all.filter(|point| point["ratio"].as_f64().is_some_and(|ratio| ratio > RATIO));
        let line = |point: &Value| {
            let (methods, tenants, callers) = (&point["methods"], &point["tenants"], &point["callers"]);
            let at = format!("{methods} methods, {tenants} tenants, {callers} callers");
            format!("ratio: {} at {at}, {} entries; {RATIO} at most", point["ratio"], point["entries"])
        };
        over.map(line).collect()
    }
}

/// Plays this build, and another in turns.
pub fn scenario(
    report: &mut Report, seed: u64, sizes: &Sizes, rate: Option<f64>, seconds: Option<u64>,
    other: Option<&Path>,
) -> Result<(), ScenarioError> {
    let plan = Plan::new(sizes, rate, seconds);
    let mut points = start_points(&plan, other)?;
    measure(report, &mut points, &plan, seed)?;
    shut_down(report, &mut points);
    // Where another build is played, this one's CPU over the other's at the same point, round by round.
    let half = if other.is_some() { points.len() / 2 } else { points.len() };
    let (this_build, other_build) = points.split_at(half);
    let to_other = this_build.iter().enumerate().map(|(n, point)| {
        let mut ratios = point.ratios(other_build.get(n)?);
        median(&mut ratios)
    });
    let to_other: Vec<Option<f64>> = to_other.collect();
    let this = BuildFigures::new(&points, false, &to_other);
    for (name, value) in this.output().as_object().into_iter().flatten() {
        report.set(name, value.clone());
    }
    if other.is_some() {
        report.set("other", BuildFigures::new(&points, true, &to_other).output());
    }
    let over = this.over_budget();
    if sizes.budgets {
        over.iter().for_each(|line| report.rule(&format!("over budget: {line}"), false));
    }
    report.set("over", json!(over));
    report.set("rate", json!(plan.rate));
    report.set("turns", json!(plan.rounds));
    report.set("load", json!(load_average()));
    Ok(())
}

#[cfg(test)]
#[path = "tests/rpc.rs"]
mod tests;
