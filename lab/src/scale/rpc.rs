//! `scale-rpc`: CPU time of an RPC against the number of methods and tenants, of callers, and of entries in replicated
//! lists.
//!
//! All processes run from the start and receive load in turns. A figure is the median over the rounds, and a ratio the
//! median of the ratios within each round. The CPU time of an idle process is reported separately.

use super::options::ScaleOptions;
use super::statistics::{median, rounded};
use super::test_bed::{tenant_name, BackgroundLoad, LoadProfile, SiteSettings, TestBed};
use crate::process::load_average;
use crate::report::{Report, ScenarioError};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Rate of the load, high enough that the CPU time of RPCs dominates that of all other work.
const RPCS_PER_S: f64 = 3_000.0;
const QUICK_RPCS_PER_S: f64 = 500.0;
const ROUNDS: usize = 5;
const WARM_UP: Duration = Duration::from_millis(400);
/// Delay after the start of the processes, before the first measurement.
const STARTUP_SETTLE_TIME: Duration = Duration::from_millis(500);
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Duration of the idle measurement and of each load measurement in the quick form.
const QUICK_MEASUREMENT_TIME: Duration = Duration::from_millis(500);
/// Phase of the load whose RPCs are measured.
const MEASURED_PHASE: usize = 1;
/// Phase of the RPCs that are sent after the measurement.
const COOL_DOWN_PHASE: usize = 2;
const METHODS_AND_TENANTS: [(usize, usize); 3] = [(5, 0), (470, 4_900), (4_700, 49_000)];
const QUICK_METHODS_AND_TENANTS: [(usize, usize); 2] = [(5, 0), (40, 400)];
const CALLERS: [usize; 2] = [42, 5_100];
const LIST_ENTRIES: [usize; 3] = [0, 10_000, 100_000];
const QUICK_LIST_ENTRIES: [usize; 2] = [0, 1_000];
/// Maximum number of list entries changed by one request.
const MAX_ENTRIES_PER_CHANGE: usize = 1_000;
/// Maximum CPU time of an RPC relative to that at the smallest point.
const MAX_RATIO: f64 = 1.10;
/// Timeout until all lists are active.
const LISTS_ACTIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Change of one list.
#[derive(Debug)]
pub struct ListChange {
    /// Name of the list.
    pub list: &'static str,
    /// Entries that are added to the list.
    pub entries: Vec<Value>,
}

/// Process with one combination of sizes, and what was measured of it.
struct Point {
    other_build: bool,
    methods: usize,
    tenants: usize,
    callers: usize,
    /// Number of entries in replicated lists; `None` without replication.
    list_entries: Option<usize>,
    bed: TestBed,
    idle_ms_per_s: f64,
    /// CPU time of an RPC in each round, in microseconds.
    cpu_us: Vec<f64>,
    sent: u64,
    ok: u64,
    peak_kb: u64,
}

/// Parameters of the measurement.
struct Plan {
    rate_per_s: f64,
    rounds: usize,
    load_time: Duration,
    idle_time: Duration,
    methods_and_tenants: &'static [(usize, usize)],
    list_entries: &'static [usize],
}

impl Plan {
    fn new(options: &ScaleOptions, rate: Option<f64>, seconds: Option<u64>) -> Plan {
        let quick = options.quick;
        Plan {
            rate_per_s: rate.unwrap_or(if quick { QUICK_RPCS_PER_S } else { RPCS_PER_S }),
            rounds: options.turns.unwrap_or(if quick { 1 } else { ROUNDS }).max(1),
            load_time: if quick { QUICK_MEASUREMENT_TIME } else { Duration::from_secs(seconds.unwrap_or(2)) },
            idle_time: if quick { QUICK_MEASUREMENT_TIME } else { IDLE_TIME },
            methods_and_tenants: if quick { &QUICK_METHODS_AND_TENANTS } else { &METHODS_AND_TENANTS },
            list_entries: if quick { &QUICK_LIST_ENTRIES } else { &LIST_ENTRIES },
        }
    }
}

/// Returns the changes that add the entries numbered `from..to` to the lists, tenants before callers. Every entry
/// admits its key, so the lists do not alter which RPCs are served.
pub fn list_changes(from: usize, to: usize, tenants: usize) -> Vec<ListChange> {
    let entry = |index: usize| match index < tenants {
        true => ("tenants", json!({"key": tenant_name(index), "standing": "in"})),
        false => ("callers", json!({"key": (index - tenants + 1).to_string(), "standing": "in"})),
    };
    let mut changes: Vec<ListChange> = Vec::new();
    for (list, entry) in (from..to).map(entry) {
        match changes.last_mut() {
            Some(last) if last.list == list => last.entries.push(entry),
            _ => changes.push(ListChange { list, entries: vec![entry] }),
        }
    }
    changes
}

/// Adds entries to the lists of a process that is the only member and voter, and waits until the lists are active.
fn create_lists(bed: &TestBed, entries: usize, tenants: usize) -> Result<(), ScenarioError> {
    let (mut control, deadline) = (bed.control_client(), Instant::now() + LISTS_ACTIVE_TIMEOUT);
    for from in (0..entries).step_by(MAX_ENTRIES_PER_CHANGE) {
        let to = (from + MAX_ENTRIES_PER_CHANGE).min(entries);
        for ListChange { list, entries } in list_changes(from, to, tenants) {
            loop {
                let answer =
                    control.request(json!({"do": "list-change", "list": list, "entries": entries}))?;
                if answer["ok"] == json!(true) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!(
                        "the change of the list {list} was not accepted within {} s; last answer: {answer}",
                        LISTS_ACTIVE_TIMEOUT.as_secs()
                    )
                    .into());
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
        if Instant::now() > deadline {
            return Err(format!(
                "the lists did not become active within {} s; last status: {answer}",
                LISTS_ACTIVE_TIMEOUT.as_secs()
            )
            .into());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

impl Point {
    fn start(
        (methods, tenants): (usize, usize), callers: usize, list_entries: Option<usize>,
        program: Option<&Path>,
    ) -> Result<Point, ScenarioError> {
        let site = SiteSettings::new(methods, tenants, callers);
        let sections = match list_entries {
            Some(_) => {
                let address = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
                format!("[members]\ncluster lab\nlisten {address}\nkey-file {{password}}\nexpect 1\n[fleet]\nkeeper n1\n")
            }
            None => String::new(),
        };
        let bed = TestBed::start_with(&site, program, Duration::ZERO, &sections)?;
        if let Some(entries) = list_entries {
            create_lists(&bed, entries, tenants)?;
        }
        Ok(Point {
            other_build: program.is_some(),
            methods,
            tenants,
            callers,
            list_entries,
            bed,
            idle_ms_per_s: 0.0,
            cpu_us: Vec::new(),
            sent: 0,
            ok: 0,
            peak_kb: 0,
        })
    }

    /// Sends RPCs for the load time and records the CPU time of each.
    fn measure_round(&mut self, report: &mut Report, plan: &Plan, seed: u64) -> Result<(), ScenarioError> {
        let (methods, tenants, callers) = (self.methods, self.tenants, self.callers);
        let profile = LoadProfile { methods, tenants, callers, rate: plan.rate_per_s, seed };
        let load = BackgroundLoad::start(self.bed.node.address, &self.bed.agent, profile)?;
        thread::sleep(WARM_UP);
        load.set_phase(MEASURED_PHASE);
        let before = self.bed.meter.read();
        thread::sleep(plan.load_time);
        let after = self.bed.meter.read();
        load.set_phase(COOL_DOWN_PHASE);
        let (phases, violations) = load.finish()?;
        report.rule("an RPC got no final answer", violations.unanswered == 0);
        report.rule("an RPC was answered twice", violations.answered_twice == 0);
        report.rule("an RPC got the result of another RPC", violations.wrong_results == 0);
        let stats = &phases[MEASURED_PHASE];
        report.rule("fewer than 9 of 10 RPCs were answered ok", stats.ok * 10 >= stats.sent * 9);
        self.cpu_us.push(after.cpu_ms(&before) * 1e3 / stats.sent.max(1) as f64);
        self.sent += stats.sent;
        self.ok += stats.ok;
        self.peak_kb = self.bed.status_kb("VmHWM").unwrap_or(0);
        Ok(())
    }

    /// Returns the ratio of this point's CPU time to another's for each round.
    fn ratios(&self, reference: &Point) -> Vec<f64> {
        self.cpu_us.iter().zip(&reference.cpu_us).map(|(this, other)| this / other).collect()
    }

    /// Returns the figures of the point, with its ratios to the smallest point and to the other build.
    fn figures(&self, smallest: &Point, to_other: Option<f64>) -> Value {
        let (mut cpu_us, mut ratios) = (self.cpu_us.clone(), self.ratios(smallest));
        let (cpu_us_median, ratio) = (median(&mut cpu_us), median(&mut ratios));
        let range = |sorted: &[f64]| {
            json!([sorted.first().copied().map(rounded), sorted.last().copied().map(rounded)])
        };
        json!({"methods": self.methods, "tenants": self.tenants, "callers": self.callers, "entries": self.list_entries,
            "cpu_us": cpu_us_median.map(rounded), "spread": range(&cpu_us), "ratio": ratio.map(rounded),
            "ratio_spread": range(&ratios), "idle_ms_per_s": rounded(self.idle_ms_per_s), "asked": self.sent,
            "ok": self.ok, "peak_kb": self.peak_kb, "ratio_to_other": to_other.map(rounded)})
    }
}

/// Starts the processes of all points of this build, followed by those of the other build.
fn start_points(plan: &Plan, other: Option<&Path>) -> Result<Vec<Point>, ScenarioError> {
    let largest = plan.methods_and_tenants.last().copied().unwrap_or((5, 0));
    let mut points = Vec::new();
    for program in std::iter::once(None).chain(other.map(Some)) {
        for size in plan.methods_and_tenants {
            for callers in CALLERS {
                points.push(Point::start(*size, callers, None, program)?);
            }
        }
        for entries in plan.list_entries {
            points.push(Point::start(largest, CALLERS[1], Some(*entries), program)?);
        }
    }
    Ok(points)
}

/// Measures the idle CPU time of all points, then their RPCs in rounds.
fn measure(report: &mut Report, points: &mut [Point], plan: &Plan, seed: u64) -> Result<(), ScenarioError> {
    thread::sleep(STARTUP_SETTLE_TIME);
    let before: Vec<_> = points.iter_mut().map(|point| point.bed.meter.read()).collect();
    thread::sleep(plan.idle_time);
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

/// Shuts all processes down and checks their exits.
fn shut_down(report: &mut Report, points: &mut [Point]) {
    let mut left_processes = 0;
    points.iter().for_each(|point| point.bed.node.signal("TERM"));
    for point in points {
        let exit = point.bed.shut_down();
        left_processes += exit.leftover_processes;
        report.rule("asterrilld did not exit with code 0 within 30 s", exit.code == Some(0));
    }
    report.set("left_processes", json!(left_processes));
    report.rule("a process was still running at the end", left_processes == 0);
}

/// Figures of one build.
struct BuildFigures {
    points: Vec<Value>,
    lists: Vec<Value>,
}

impl BuildFigures {
    /// Collects the figures of one build. `to_other` holds the ratio of this build's CPU time to the other's for each
    /// point, in order. Points beyond its end have no such ratio.
    fn new(points: &[Point], other_build: bool, to_other: &[Option<f64>]) -> BuildFigures {
        let figures = |with_lists: bool| -> Vec<Value> {
            let belongs = |point: &Point| {
                point.other_build == other_build && point.list_entries.is_some() == with_lists
            };
            let Some(smallest) = points.iter().find(|point| belongs(point)) else { return Vec::new() };
            let chosen = points.iter().enumerate().filter(|(_, point)| belongs(point));
            chosen
                .map(|(index, point)| point.figures(smallest, to_other.get(index).copied().flatten()))
                .collect()
        };
        BuildFigures { points: figures(false), lists: figures(true) }
    }

    fn to_json(&self) -> Value {
        let max_ratio =
            |points: &[Value]| points.iter().filter_map(|point| point["ratio"].as_f64()).reduce(f64::max);
        let lists_ratio_note =
            "of the smallest with lists of no entries, which stands for all lists with members and keeper";
        json!({"points": self.points, "lists": self.lists, "lists_ratio": lists_ratio_note,
            "cpu_us": self.points[0]["cpu_us"], "ratio": max_ratio(&self.points), "ratio_lists": max_ratio(&self.lists)})
    }

    /// Returns a description of each point that is over budget.
    fn over_budget(&self) -> Vec<String> {
        let all = self.points.iter().chain(&self.lists);
        let over_budget = all.filter(|point| point["ratio"].as_f64().is_some_and(|ratio| ratio > MAX_RATIO));
        let describe = |point: &Value| {
            let (methods, tenants, callers) = (&point["methods"], &point["tenants"], &point["callers"]);
            let sizes = format!("{methods} methods, {tenants} tenants, {callers} callers");
            format!("ratio: {} at {sizes}, {} entries; {MAX_RATIO} at most", point["ratio"], point["entries"])
        };
        over_budget.map(describe).collect()
    }
}

/// Measures this build, alternating with the other build if there is one.
pub fn scenario(
    report: &mut Report, seed: u64, options: &ScaleOptions, rate: Option<f64>, seconds: Option<u64>,
    other: Option<&Path>,
) -> Result<(), ScenarioError> {
    let plan = Plan::new(options, rate, seconds);
    let mut points = start_points(&plan, other)?;
    measure(report, &mut points, &plan, seed)?;
    shut_down(report, &mut points);
    // The first half of the points is of this build, and the second of the other build, if there is one. The CPU times
    // of the two builds are compared point by point and round by round.
    let points_per_build = if other.is_some() { points.len() / 2 } else { points.len() };
    let (this_build, other_build) = points.split_at(points_per_build);
    let to_other = this_build.iter().enumerate().map(|(index, point)| {
        let mut ratios = point.ratios(other_build.get(index)?);
        median(&mut ratios)
    });
    let to_other: Vec<Option<f64>> = to_other.collect();
    let this = BuildFigures::new(&points, false, &to_other);
    for (name, value) in this.to_json().as_object().into_iter().flatten() {
        report.set(name, value.clone());
    }
    if other.is_some() {
        report.set("other", BuildFigures::new(&points, true, &to_other).to_json());
    }
    let over_budget = this.over_budget();
    if options.budgets {
        over_budget.iter().for_each(|line| report.rule(&format!("over budget: {line}"), false));
    }
    report.set("over", json!(over_budget));
    report.set("rate", json!(plan.rate_per_s));
    report.set("turns", json!(plan.rounds));
    report.set("load", json!(load_average()));
    Ok(())
}

#[cfg(test)]
#[path = "tests/rpc.rs"]
mod tests;
