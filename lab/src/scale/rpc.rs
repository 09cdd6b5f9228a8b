//! `scale-rpc`: what an RPC costs the process in CPU, by methods and tenants, by callers, and by entries of agreed lists.
//! All processes stand from the start, and are asked in turns; a figure is the median of the rounds, a ratio that of the
//! ratios within a round. Background work is told apart: it is what the process takes with nothing going on.

use super::config::{median, rounded};
use super::rig::{machine_load, tenant_name, Habits, Load, Rig, Site};
use super::Sizes;
use crate::report::{Fault, Report};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const RATE: f64 = 3_000.0; // RPCs a second: enough that an RPC's work stands out from all else
const ROUNDS: usize = 5;
const WARM: Duration = Duration::from_millis(400);
const IDLE: Duration = Duration::from_secs(2);
const SIZES: [(usize, usize); 3] = [(5, 0), (470, 4_900), (4_700, 49_000)];
const CALLERS: [usize; 2] = [42, 5_100];
const LISTS: [usize; 3] = [0, 10_000, 100_000];
const STEP: usize = 1_000; // entries of one change of a list
const RATIO: f64 = 1.10; // of the smallest, at most
const AGREED: Duration = Duration::from_secs(60); // lists are in force by then

/// One kind of process, and what was found of it.
struct Point {
    other: bool,
    methods: usize,
    tenants: usize,
    callers: usize,
    /// Entries of agreed lists; none where nobody agrees.
    entries: Option<usize>,
    rig: Rig,
    idle: f64,
    cpu_us: Vec<f64>,
    asked: u64,
    ok: u64,
    most_kb: u64,
}

/// What changes one list by so many entries, from this one on: tenants first, then callers, all let in, so that service
/// is the same with them.
pub fn entries(from: usize, to: usize, tenants: usize) -> Vec<(&'static str, Vec<Value>)> {
    let row = |n: usize| match n < tenants {
        true => ("tenants", json!({"key": tenant_name(n), "standing": "in"})),
        false => ("callers", json!({"key": (n - tenants + 1).to_string(), "standing": "in"})),
    };
    let mut lists: Vec<(&'static str, Vec<Value>)> = Vec::new();
    for (list, row) in (from..to).map(row) {
        match lists.last_mut() {
            Some((last, rows)) if *last == list => rows.push(row),
            _ => lists.push((list, vec![row])),
        }
    }
    lists
}

/// Lists of so many entries come into force at a process that agrees with nobody but itself.
fn agree(rig: &Rig, count: usize, tenants: usize) -> Result<(), Fault> {
    let (mut operator, until) = (rig.operator(), Instant::now() + AGREED);
    for from in (0..count).step_by(STEP) {
        for (list, rows) in entries(from, (from + STEP).min(count), tenants) {
            loop {
                let told = operator.ask(json!({"do": "list-change", "list": list, "entries": rows}))?;
                if told["ok"] == json!(true) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("a list was not changed: {told}").into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
    loop {
        let told = operator.ask(json!({"do": "fleet"}))?;
        if told["form"] == json!("full") && told["version"] == told["newest"] {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(format!("lists are not in force: {told}").into());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

impl Point {
    fn start(
        size: (usize, usize), callers: usize, entries: Option<usize>, program: Option<&Path>,
    ) -> Result<Point, Fault> {
        let (methods, tenants) = size;
        let site = Site::new(methods, tenants, callers);
        let sections = match entries {
            Some(_) => {
                let own = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
                format!("[members]\ncluster lab\nlisten {own}\nkey-file {{password}}\nexpect 1\n[fleet]\nkeeper n1\n")
            }
            None => String::new(),
        };
        let rig = Rig::start_with(&site, program, Duration::ZERO, &sections)?;
        if let Some(entries) = entries {
            agree(&rig, entries, tenants)?;
        }
        let (idle, cpu_us, asked, ok) = (0.0, Vec::new(), 0, 0);
        #[rustfmt::skip]
        let point = Point {
            other: program.is_some(), methods, tenants, callers, entries, rig, idle, cpu_us, asked, ok, most_kb: 0,
        };
        Ok(point)
    }
    /// RPCs for a while: CPU of each.
    fn round(&mut self, report: &mut Report, rate: f64, span: Duration, seed: u64) -> Result<(), Fault> {
        let (methods, tenants, callers) = (self.methods, self.tenants, self.callers);
        let habits = Habits { methods, tenants, callers, rate, seed };
        let load = Load::start(self.rig.node.at, &self.rig.machine, habits)?;
        thread::sleep(WARM);
        load.phase(1);
        let before = self.rig.meter.read();
        thread::sleep(span);
        let after = self.rig.meter.read();
        load.phase(2);
        let (spans, broken) = load.end()?;
        report.rule("an RPC got no final answer", broken.lost == 0);
        report.rule("an RPC was answered twice", broken.twice == 0);
        report.rule("an RPC got the result of another", broken.wrong == 0);
        let of = &spans[1];
        report.rule("hardly anything was answered ok", of.ok * 10 >= of.asked * 9);
        self.cpu_us.push(after.cpu_ms(&before) * 1e3 / of.asked.max(1) as f64);
        (self.asked, self.ok) = (self.asked + of.asked, self.ok + of.ok);
        self.most_kb = self.rig.kb("VmHWM").unwrap_or(0);
        Ok(())
    }
    /// The median of another point's ratios to this one, round by round.
    fn ratio(&self, of: &Point) -> Option<f64> {
        let mut all: Vec<f64> = of.cpu_us.iter().zip(&self.cpu_us).map(|(of, this)| of / this).collect();
        median(&mut all)
    }
    /// What was found, with the median of ratios to another point, round by round.
    fn told(&self, to: &Point) -> Value {
        let mut all = self.cpu_us.clone();
        let mut ratios: Vec<f64> = self.cpu_us.iter().zip(&to.cpu_us).map(|(a, b)| a / b).collect();
        let (cpu_us, ratio) = (median(&mut all), median(&mut ratios));
        let ends = |of: &[f64]| json!([of.first().copied().map(rounded), of.last().copied().map(rounded)]);
        json!({"methods": self.methods, "tenants": self.tenants, "callers": self.callers, "entries": self.entries,
            "cpu_us": cpu_us.map(rounded), "spread": ends(&all), "ratio": ratio.map(rounded),
            "ratio_spread": ends(&ratios), "idle_ms_per_s": rounded(self.idle), "asked": self.asked, "ok": self.ok,
            "peak_kb": self.most_kb})
    }
}

/// Plays this build, and another in turns.
pub fn scenario(
    report: &mut Report, seed: u64, to: &Sizes, rate: Option<f64>, seconds: Option<u64>, other: Option<&Path>,
) -> Result<(), Fault> {
    let rate = rate.unwrap_or(if to.quick { 500.0 } else { RATE });
    let rounds = to.turns.unwrap_or(if to.quick { 1 } else { ROUNDS }).max(1);
    let span = if to.quick { Duration::from_millis(500) } else { Duration::from_secs(seconds.unwrap_or(2)) };
    let sizes: &[(usize, usize)] = if to.quick { &[(5, 0), (40, 400)] } else { &SIZES };
    let lists: &[usize] = if to.quick { &[0, 1_000] } else { &LISTS };
    let largest = sizes.last().copied().unwrap_or((5, 0));
    let mut points = Vec::new();
    for program in [None, other].into_iter().enumerate().filter(|(i, p)| *i == 0 || p.is_some()) {
        let program = program.1;
        for size in sizes {
            for callers in CALLERS {
                points.push(Point::start(*size, callers, None, program)?);
            }
        }
        for entries in lists {
            points.push(Point::start(largest, CALLERS[1], Some(*entries), program)?);
        }
    }
    thread::sleep(Duration::from_millis(500));
    let before: Vec<_> = points.iter_mut().map(|point| point.rig.meter.read()).collect();
    thread::sleep(if to.quick { Duration::from_millis(500) } else { IDLE });
    for (point, before) in points.iter_mut().zip(before) {
        let after = point.rig.meter.read();
        point.idle = after.cpu_ms(&before) / after.ms(&before) * 1e3;
    }
    for round in 0..rounds as u64 {
        for point in &mut points {
            point.round(report, rate, span, seed + round)?;
        }
    }
    let mut left = 0;
    points.iter().for_each(|point| point.rig.node.signal("TERM"));
    for point in &mut points {
        let (code, still) = point.rig.leave();
        left += still;
        report.rule("the process did not end well", code == Some(0));
    }
    report.set("left_processes", json!(left));
    report.rule("a process was left over", left == 0);
    // Where another build is played, this one's CPU over the other's at the same point, round by round.
    let half = if other.is_some() { points.len() / 2 } else { points.len() };
    let (these, those) = points.split_at(half);
    let to_other: Vec<Option<f64>> = (0..half).map(|n| those.get(n)?.ratio(&these[n])).collect();
    let mut over = Vec::new();
    for build in [false, true] {
        let of = |lists: bool| {
            let fits = move |(_, p): &(usize, &Point)| p.other == build && p.entries.is_some() == lists;
            points.iter().enumerate().filter(fits)
        };
        let told = |lists: bool| -> Vec<Value> {
            let Some((_, first)) = of(lists).next() else { return Vec::new() };
            let told = |(n, point): (usize, &Point)| {
                let mut told = point.told(first);
                told["ratio_to_other"] = json!(to_other.get(n).copied().flatten().map(rounded));
                told
            };
            of(lists).map(told).collect()
        };
        let (plain, listed) = (told(false), told(true));
        if plain.is_empty() {
            continue;
        }
        let worst = |all: &[Value]| all.iter().filter_map(|p| p["ratio"].as_f64()).reduce(f64::max);
        let lists =
            "of the smallest with lists of no entries, which stands for all lists with members and keeper";
        let found = json!({"points": plain, "lists": listed, "lists_ratio": lists,
            "cpu_us": plain[0]["cpu_us"], "ratio": worst(&plain), "ratio_lists": worst(&listed)});
        if build {
            report.set("other", found);
            continue;
        }
        let names = plain.iter().chain(&listed).filter(|p| p["ratio"].as_f64().is_some_and(|r| r > RATIO));
        let line = |p: &Value| {
            let at = format!("{} methods, {} tenants, {} callers", p["methods"], p["tenants"], p["callers"]);
            format!("ratio: {} at {at}, {} entries; {RATIO} at most", p["ratio"], p["entries"])
        };
        over.extend(names.map(line));
        for (name, value) in found.as_object().into_iter().flatten() {
            report.set(name, value.clone());
        }
    }
    if to.budgets {
        over.iter().for_each(|line| report.rule(&format!("over budget: {line}"), false));
    }
    report.set("over", json!(over));
    report.set("rate", json!(rate));
    report.set("turns", json!(rounds));
    report.set("load", json!(machine_load()));
    Ok(())
}

#[cfg(test)]
#[path = "tests/rpc.rs"]
mod tests;
