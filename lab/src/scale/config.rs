//! `scale-config`: one process with many methods and tenants. RPCs go on while its configuration is changed by single
//! entries, by files that are read again, and as a whole; some of it is undone, and what is wrong is refused.

use super::rig::{
    machine_load, method_name, pair_names, tenant_name, Disk, Habits, Load, Operator, Reading, Rig, Site,
    Span,
};
use super::Sizes;
use crate::report::{Fault, Report};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Every field of an output, null where the build can't or nothing was measured.
#[rustfmt::skip]
const FIELDS: &[&str] = &[
    "start_ms", "rss_kb", "rss_kb_small", "rss_kb_after", "rss_kb_after_reloads", "rss_kb_end", "peak_kb",
    "peak_kb_after_reloads", "peak_kb_start", "file_bytes", "changes", "changes_by", "change_ms_p50",
    "change_ms_max", "cpu_ms_per_change", "reloads", "reload_ms_p50", "reload_ms_max", "cpu_ms_per_reload",
    "reloads_refused", "cpu_ms_per_refused_reload", "cpu_ms_all", "cpu_ms_all_step", "cpu_ms_all_file",
    "all_ms_step", "all_ms_file", "all_step_error", "cpu_ms_undo", "cpu_ms_undo_all", "undo_ms",
    "undo_all_ms", "undo_file_ms", "gap_ms_max", "gap_ms_max_quiet", "gap_ms_max_changes",
    "gap_ms_max_reloads", "gap_ms_max_all", "gap_ms_max_all_step", "gap_ms_max_all_file", "gap_ms_floor",
    "gap_ms_floor_quiet", "gap_ms_floor_changes", "gap_ms_floor_reloads", "gap_ms_floor_all",
    "gap_ms_floor_all_step", "gap_ms_floor_all_file", "added_ms_p50", "added_ms_p99", "added_ms_p50_quiet",
    "added_ms_p99_quiet", "added_ms_p50_changes", "added_ms_p99_changes", "added_ms_p99_reloads",
    "added_ms_p99_all", "added_ms_p99_all_step", "added_ms_p99_all_file", "bytes_per_change",
    "bytes_per_change_disk", "entry_bytes", "half_applied", "older_after_newer", "pairs", "refused",
    "refused_why", "no_final_answer", "answered_twice", "left_processes", "asked", "ok", "pushed_back",
    "aborted", "quiet_cpu_ms_per_s", "load",
];

// The spans under which RPCs and gaps are counted.
const WARM: usize = 0;
const QUIET: usize = 1;
const CHANGES: usize = 2;
const RELOADS: usize = 3;
const ALL: usize = 4; // as a step; as a file: one more
const UNDO: usize = 6;

const SMALL: usize = 5; // methods of the small site
const CALLERS: usize = 42;
const RATE: f64 = 84.0;
const GIVE_UP: usize = 3; // refused changes in a row, and no more are tried
const PACE: Duration = Duration::from_millis(20); // from one change to the next at the least
const SETTLED: Duration = Duration::from_secs(30); // a file that is read again is in force, or refused, by then

/// Budgets at 4,700 methods and 49,000 tenants: what is over one is told.
const BUDGETS: [(&str, f64); 6] = [
    ("cpu_ms_per_change", 3.0),
    ("cpu_ms_per_reload", 80.0),
    ("gap_ms_max", 4.0),
    ("added_ms_p99", 7.5),
    ("bytes_per_change", 1_024.0),
    ("bytes_per_change_disk", 1_024.0),
];
/// What memory is held to, less that of the small site: the last two after a change of everything as well.
const MEMORY: [&str; 6] =
    ["rss_kb", "rss_kb_after", "rss_kb_after_reloads", "peak_kb_after_reloads", "rss_kb_end", "peak_kb"];
const MEMORY_KB: f64 = 32.0 * 1024.0;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What is over a budget, in words.
pub fn over(figures: &Map<String, Value>) -> Vec<String> {
    let of = |name: &str| figures.get(name).and_then(Value::as_f64);
    let small = of("rss_kb_small").unwrap_or(0.0);
    let entry = of("entry_bytes").unwrap_or(0.0);
    let memory = MEMORY.into_iter().filter_map(|name| {
        let more = of(name)? - small;
        (more > MEMORY_KB)
            .then(|| format!("{name}: {more:.0} kB over the small site, {MEMORY_KB:.0} at most"))
    });
    let others = BUDGETS.into_iter().filter_map(|(name, most)| {
        let above = if name.starts_with("bytes") { entry } else { 0.0 };
        let value = of(name)? - above;
        (value > most).then(|| format!("{name}: {value:.2}, {most} at most"))
    });
    memory.chain(others).collect()
}

/// One site with one build, from its start to its end.
struct Play<'a> {
    rig: Rig,
    site: Site,
    operator: Operator,
    report: &'a mut Report,
    chance: StdRng,
    quick: bool,
    /// It is another build that is played, which may know no steps.
    other: bool,
    /// Of what was changed so far: makes each version another.
    changed: u64,
    refused: u64,
    why: Vec<String>,
    log: usize,
}

/// How a change got into force, or why it did not.
enum Done {
    Yes,
    Refused,
    /// This build has no such thing.
    Cannot,
}

fn agreed(told: &Value) -> bool {
    told["ok"] == json!(true)
}

/// Why not, with the problems named.
fn why(told: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let problems =
        told["problems"].as_array().and_then(|all| all.first()).map(|first| format!(": {}", text(first)));
    format!("{}{}", text(&told["error"]), problems.unwrap_or_default())
}

impl Play<'_> {
    fn note(&mut self, why: String) {
        self.refused += 1;
        if self.why.len() < 5 && !self.why.contains(&why) {
            self.why.push(why);
        }
    }
    /// Stages and applies; it is on probation then.
    fn apply(&mut self, stage: Value) -> Result<Done, Fault> {
        let staged = match self.operator.ask(stage) {
            Ok(staged) => staged,
            Err(fault) => {
                self.note(fault.to_string());
                return Ok(Done::Refused);
            }
        };
        if !agreed(&staged) {
            let why = why(&staged);
            if ["stage wants text", "a request is a line"].iter().any(|known| why.starts_with(known)) {
                return Ok(Done::Cannot);
            }
            self.note(why);
            return Ok(Done::Refused);
        }
        let applied = self.operator.ask(json!({"do": "apply"}))?;
        if !agreed(&applied) {
            self.note(why(&applied));
            return Ok(Done::Refused);
        }
        Ok(Done::Yes)
    }
    fn end(&mut self, word: &str) -> Result<(), Fault> {
        let told = self.operator.ask(json!({"do": word}))?;
        let broken = format!("a change could not be ended by {word}");
        self.report.rule(&broken, agreed(&told));
        Ok(())
    }
    /// One entry becomes another: the quota of a tenant, or the latency target of a method where there are no tenants.
    fn change_one(&mut self) -> String {
        self.changed += 1;
        if self.site.quotas.is_empty() {
            let n = self.chance.random_range(0..self.site.aims.len());
            self.site.aims[n] = 800 + self.changed % 1_000;
            let mut entry = self.site.method(n);
            entry["SkipWorth"] = json!(0);
            entry["put"] = json!("method");
            return entry.to_string();
        }
        let n = self.chance.random_range(0..self.site.quotas.len());
        self.site.quotas[n] = 100.0 + self.changed as f64 / 8.0;
        let mut entry = self.site.tenant(n);
        entry["put"] = json!("tenant");
        entry.to_string()
    }
    /// Every quota becomes another, and two tenants come in addition, one before all others and one behind. Where there
    /// are no tenants, every latency target becomes another.
    fn change_all(&mut self, load: &Load) -> String {
        self.changed += 1;
        let more = 1.0 + self.changed as f64 / 1_000.0;
        let mut lines = Vec::new();
        if self.site.quotas.is_empty() {
            let aim = 800 + self.changed % 1_000;
            for n in 0..self.site.aims.len() {
                self.site.aims[n] = aim;
                let mut entry = self.site.method(n);
                entry["SkipWorth"] = json!(0);
                entry["put"] = json!("method");
                lines.push(entry.to_string());
            }
        }
        for n in 0..self.site.quotas.len() {
            self.site.quotas[n] = (self.site.quotas[n] * more * 8.0).round() / 8.0 + 0.125;
            let mut entry = self.site.tenant(n);
            entry["put"] = json!("tenant");
            lines.push(entry.to_string());
        }
        if !self.site.quotas.is_empty() {
            let put = |name| json!({"put": "tenant", "Name": name, "QuotaRps": 100.0}).to_string();
            lines.extend(pair_names(self.changed).into_iter().map(put));
            self.site.pairs.push(self.changed);
            load.pair(self.changed);
            thread::sleep(ms(20)); // it is asked for before the change comes
        }
        lines.join("\n")
    }
    /// The file as the site is now, and a signal; until it is in force or refused.
    fn reload(&mut self) -> Result<Done, Fault> {
        let text = self.rig.text(&self.site);
        self.reload_text(&text)
    }
    fn reload_text(&mut self, text: &str) -> Result<Done, Fault> {
        let before = self.operator.status()?["version"].clone();
        self.log = self.rig.node.read_log().len();
        std::fs::write(self.rig.node.dir.join("config.json"), text)?;
        self.rig.node.signal("HUP");
        let until = Instant::now() + SETTLED;
        while Instant::now() < until {
            thread::sleep(ms(4));
            let log = self.rig.node.read_log();
            let new = log.get(self.log..).unwrap_or_default();
            let told = |what: &str| {
                let holds = |line: &str| line.contains(what) && line.ends_with('}');
                new.lines().find(|line| holds(line)).map(str::to_string)
            };
            let stays = ["the settings stay as they were", "the configuration stays as it was"];
            if let Some(line) = stays.iter().find_map(|what| told(what)) {
                let line: Value = serde_json::from_str(&line).unwrap_or_default();
                let said = |name: &str| line[name].as_str().unwrap_or_default().to_string();
                self.note(format!("{} {}", said("why"), said("problems")));
                return Ok(Done::Refused);
            }
            if told("\"applied\"").is_some() && self.operator.status()?["version"] != before {
                return Ok(Done::Yes);
            }
        }
        self.note(format!("a reload was not heard of within {} s", SETTLED.as_secs()));
        Ok(Done::Refused)
    }
    /// What runs, as the process tells it.
    fn running(&mut self) -> Result<(Value, Value), Fault> {
        let status = self.operator.status()?;
        Ok((status["version"].clone(), status["hash"].clone()))
    }
    fn read(&mut self) -> Reading {
        thread::sleep(ms(40)); // what goes on behind, as writing to disk, is a part of it
        self.rig.meter.read()
    }
}

/// CPU of the process beyond what the RPCs take in a span of the same length, in ms.
fn beyond(now: &Reading, since: &Reading, quiet_per_s: f64) -> f64 {
    (now.cpu_ms(since) - quiet_per_s * now.ms(since) / 1e3).max(0.0)
}

/// Of an even number the mean of the two in the middle.
pub fn median(all: &mut [f64]) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let (low, high) = (all.get(all.len().checked_sub(1)? / 2)?, all.get(all.len() / 2)?);
    Some((low + high) / 2.0)
}

pub fn rounded(n: f64) -> Value {
    json!((n * 1_000.0).round() / 1_000.0)
}

/// The same build with a few methods and no tenants: its memory at rest.
fn small(program: Option<&Path>, report: &mut Report) -> Result<Value, Fault> {
    let mut rig = Rig::start(&Site::new(SMALL, 0, CALLERS), program, ms(2))?;
    thread::sleep(ms(500));
    let rss = rig.kb("VmRSS");
    let (_, left) = rig.leave();
    report.rule("a process was left over", left == 0);
    Ok(json!(rss))
}

/// Plays one build. Its figures, and the rules that it broke.
pub fn play(
    seed: u64, to: &Sizes, rate: f64, program: Option<&Path>,
) -> Result<(Map<String, Value>, Vec<String>), Fault> {
    let mut report = Report::default();
    FIELDS.iter().for_each(|name| report.set(name, Value::Null));
    let small = small(program, &mut report)?;
    report.set("rss_kb_small", small);
    let site = Site::new(to.methods.max(1), to.tenants, CALLERS);
    let work = ms(if rate > 400.0 { 1 } else { 2 });
    let mut rig = Rig::start(&site, program, work)?;
    report.set("start_ms", rounded(rig.start_ms));
    report.set("file_bytes", json!(rig.text(&site).len()));
    thread::sleep(ms(500));
    report.set("rss_kb", json!(rig.kb("VmRSS")));
    report.set("peak_kb_start", json!(rig.kb("VmHWM")));
    let (at, machine, operator) = (rig.node.at, rig.machine.clone(), rig.operator());
    let habits = Habits { methods: to.methods.max(1), tenants: to.tenants, callers: CALLERS, rate, seed };
    let mut load = Load::start(at, &machine, habits)?;
    load.asker(at)?;
    if to.tenants > 0 {
        load.pairs(at, seed)?;
    }
    let mut play = Play {
        rig,
        site,
        operator,
        report: &mut report,
        chance: StdRng::seed_from_u64(seed),
        quick: to.quick,
        other: program.is_some(),
        changed: 0,
        refused: 0,
        why: Vec::new(),
        log: 0,
    };
    thread::sleep(ms(500));
    let first = play.quiet(&load);
    let fine = play.changes(&load, to.changes, first)?;
    let second = play.quiet(&load);
    let quiet = (first + second) / 2.0;
    play.report.set("quiet_cpu_ms_per_s", rounded(quiet));
    let files = play.reloads(&load, if to.quick { to.reloads.min(5) } else { to.reloads }, quiet)?;
    play.all(&load, quiet, fine)?;
    play.undo(&load, quiet, fine, files)?;
    play.refusals()?;
    load.phase(WARM);
    let status = play.operator.status()?;
    let half = status["counters"]["half_applied"].as_u64();
    play.report.set("half_applied", json!(half));
    play.report.rule("an answer was decided under parts of two versions", half == Some(0));
    play.report.set("rss_kb_end", json!(play.rig.kb("VmRSS")));
    play.report.set("peak_kb", json!(play.rig.kb("VmHWM")));
    play.report.set("refused", json!(play.refused));
    play.report.set("refused_why", json!(play.why));
    let (spans, broken) = load.end()?;
    let (code, left) = play.rig.leave();
    play.report.set("left_processes", json!(left));
    play.report.rule("a process was left over", left == 0);
    play.report.rule("the process did not end well", code == Some(0));
    if to.quick {
        play.report.rule("a change was refused that is good", play.refused == 0);
    }
    drop(play);
    report.set("no_final_answer", json!(broken.lost));
    report.set("answered_twice", json!(broken.twice));
    report.set("older_after_newer", json!((broken.pairs > 0).then_some(broken.older_after_newer)));
    report.set("pairs", json!(broken.pairs));
    report.rule("an RPC got no final answer", broken.lost == 0);
    report.rule("an RPC was answered twice", broken.twice == 0);
    report.rule("an RPC got the result of another", broken.wrong == 0);
    report
        .rule("an RPC was decided under an older version than one before it", broken.older_after_newer == 0);
    spans_told(&mut report, &spans);
    report.set("load", json!(machine_load()));
    let (mut figures, mut broken) = report.parts();
    let over = over(&figures);
    if to.budgets {
        broken.extend(over.iter().map(|line| format!("over budget: {line}")));
    }
    figures.insert("over".into(), json!(over));
    Ok((figures, broken))
}

/// What was asked, added and waited for, by spans.
fn spans_told(report: &mut Report, spans: &[Span]) {
    let added = |span: &Span, q: f64| json!(span.added_ms(q));
    let all = spans[ALL].clone().with(&spans[ALL + 1]);
    let told = [
        ("quiet", &spans[QUIET]),
        ("changes", &spans[CHANGES]),
        ("reloads", &spans[RELOADS]),
        ("all_step", &spans[ALL]),
        ("all_file", &spans[ALL + 1]),
        ("all", &all),
    ];
    for (at, (name, span)) in told.into_iter().enumerate() {
        if span.asked == 0 {
            continue;
        }
        report.set(&format!("gap_ms_max_{name}"), rounded(span.gap.as_secs_f64() * 1e3));
        report.set(&format!("gap_ms_floor_{name}"), rounded(span.floor.as_secs_f64() * 1e3));
        report.set(&format!("added_ms_p99_{name}"), added(span, 0.99));
        if at < 2 {
            report.set(&format!("added_ms_p50_{name}"), added(span, 0.5));
        }
    }
    let Some((first, others)) = spans.split_first() else { return };
    let whole = others.iter().fold(first.clone(), Span::with);
    report.set("gap_ms_floor", rounded(whole.floor.as_secs_f64() * 1e3));
    report.set("gap_ms_max", rounded(whole.gap.as_secs_f64() * 1e3));
    report.set("added_ms_p50", added(&whole, 0.5));
    report.set("added_ms_p99", added(&whole, 0.99));
    report.set("asked", json!(whole.asked));
    report.set("ok", json!(whole.ok));
    report.set("pushed_back", json!(whole.pushed_back));
    report.set("aborted", json!(whole.aborted));
    // A build that takes whole texts stands still for most of a second at full size, and pushes back what comes then.
    let by_steps = report.get("changes_by") == Some(&json!("step"));
    let (least, of) = if by_steps { (9, 10) } else { (1, 2) };
    report.rule("hardly anything was answered ok", whole.ok * of >= whole.asked * least);
}

impl Play<'_> {
    /// Nothing changes for a while: CPU of the process in ms a second.
    fn quiet(&mut self, load: &Load) -> f64 {
        load.phase(QUIET);
        let before = self.rig.meter.read();
        thread::sleep(ms(if self.quick { 700 } else { 4_000 }));
        let after = self.rig.meter.read();
        load.phase(WARM);
        after.cpu_ms(&before) / after.ms(&before) * 1e3
    }

    /// Changes of one entry by the control socket, as steps where the build speaks them. Whether it does, and they come
    /// into force.
    fn changes(&mut self, load: &Load, changes: usize, quiet: f64) -> Result<bool, Fault> {
        let spoken = self.speaks_steps()?;
        let mut disk = Disk::new(&self.rig.state());
        let (mut done, mut took, mut entries, mut in_a_row) = (0, Vec::new(), 0, 0);
        self.operator.bytes = 0;
        load.phase(CHANGES);
        let before = self.rig.meter.read();
        let mut beside = 0; // bytes of what was refused
        for _ in 0..changes {
            let (start, kept, bytes) = (Instant::now(), self.site.clone(), self.operator.bytes);
            let entry = self.change_one();
            let stage = match spoken {
                true => json!({"do": "stage", "step": entry}),
                false => json!({"do": "stage", "text": self.rig.text(&self.site)}),
            };
            match self.apply(stage)? {
                Done::Yes => {
                    disk.look();
                    self.end("settle")?;
                    (done, entries, in_a_row) = (done + 1, entries + entry.len(), 0);
                    took.push(start.elapsed().as_secs_f64() * 1e3);
                    disk.look();
                }
                Done::Refused => {
                    (self.site, in_a_row) = (kept, in_a_row + 1);
                    beside += self.operator.bytes - bytes;
                }
                Done::Cannot => {
                    self.site = kept;
                    break;
                }
            }
            if in_a_row == GIVE_UP {
                break;
            }
            thread::sleep(PACE.saturating_sub(start.elapsed()));
        }
        let after = self.read();
        load.phase(WARM);
        disk.look();
        self.report.set("changes", json!(done));
        let by_steps = spoken && done > 0;
        self.report.rule("this build took no change as a step", by_steps || self.other || changes == 0);
        if done > 0 {
            let each = |n: f64| rounded(n / f64::from(done));
            let cpu = beyond(&after, &before, quiet);
            self.report.set("changes_by", json!(if spoken { "step" } else { "text" }));
            self.report.set("cpu_ms_per_change", each(cpu));
            self.report.set("bytes_per_change", each((self.operator.bytes - beside) as f64));
            self.report.set("bytes_per_change_disk", each(disk.bytes as f64));
            self.report.set("entry_bytes", each(entries as f64));
            self.report.set("change_ms_max", json!(took.iter().copied().reduce(f64::max).map(rounded)));
            self.report.set("change_ms_p50", json!(median(&mut took).map(rounded)));
            self.report.set("rss_kb_after", json!(self.rig.kb("VmRSS")));
            if self.quick && spoken {
                let above = (self.operator.bytes - beside) as f64 / f64::from(done)
                    - entries as f64 / f64::from(done);
                self.report.rule("a step takes over 1 KiB above its entries on the socket", above <= 1_024.0);
                let above = (disk.bytes as f64 - entries as f64) / f64::from(done);
                self.report.rule("a step takes over 1 KiB above its entries on disk", above <= 1_024.0);
            }
        }
        Ok(spoken && done > 0)
    }

    /// Whether this build takes steps at its control socket: one that changes nothing is not understood by one that
    /// doesn't.
    fn speaks_steps(&mut self) -> Result<bool, Fault> {
        let told = self.operator.ask(json!({"do": "stage", "step": ""}))?;
        let spoken = agreed(&told) || !why(&told).starts_with("stage wants text");
        if agreed(&told) {
            self.operator.ask(json!({"do": "drop"}))?;
        }
        Ok(spoken)
    }

    /// Files read again with one entry changed. Whether they come into force.
    fn reloads(&mut self, load: &Load, reloads: usize, quiet: f64) -> Result<bool, Fault> {
        let (mut cpu, mut cpu_refused, mut took, mut in_a_row) = (Vec::new(), Vec::new(), Vec::new(), 0);
        for _ in 0..reloads {
            let kept = self.site.clone();
            self.change_one();
            load.phase(RELOADS);
            let before = self.rig.meter.read();
            let done = self.reload()?;
            let there = Instant::now();
            match done {
                Done::Yes => {
                    self.end("settle")?;
                    let after = self.read();
                    took.push(there.duration_since(before.at).as_secs_f64() * 1e3);
                    cpu.push(beyond(&after, &before, quiet));
                    in_a_row = 0;
                }
                _ => {
                    self.site = kept;
                    let after = self.read();
                    cpu_refused.push(beyond(&after, &before, quiet));
                    in_a_row += 1;
                }
            }
            load.phase(WARM);
            if in_a_row == GIVE_UP {
                break;
            }
        }
        let mean = |all: &[f64]| {
            let sum: f64 = all.iter().sum();
            json!((!all.is_empty()).then(|| rounded(sum / all.len() as f64)))
        };
        self.report.set("reloads", json!(cpu.len()));
        self.report.set("cpu_ms_per_reload", mean(&cpu));
        self.report.set("reloads_refused", json!(cpu_refused.len()));
        self.report.set("cpu_ms_per_refused_reload", mean(&cpu_refused));
        self.report.set("reload_ms_max", json!(took.iter().copied().reduce(f64::max).map(rounded)));
        self.report.set("reload_ms_p50", json!(median(&mut took).map(rounded)));
        self.report.set("rss_kb_after_reloads", json!(self.rig.kb("VmRSS")));
        self.report.set("peak_kb_after_reloads", json!(self.rig.kb("VmHWM")));
        Ok(!cpu.is_empty())
    }

    /// Every entry at once: as one step, and as one file.
    fn all(&mut self, load: &Load, quiet: f64, steps: bool) -> Result<(), Fault> {
        let mut both = [None, None];
        for (which, name) in ["step", "file"].into_iter().enumerate() {
            load.phase(ALL + which);
            if which == 0 && !steps {
                continue;
            }
            let kept = self.site.clone();
            let entries = self.change_all(load);
            let before = self.rig.meter.read();
            let done = match which {
                0 => self.apply(json!({"do": "stage", "step": entries}))?,
                _ => self.reload()?,
            };
            let there = Instant::now();
            if let Done::Yes = done {
                self.end("settle")?;
                let after = self.read();
                both[which] = Some(beyond(&after, &before, quiet));
                self.report.set(&format!("cpu_ms_all_{name}"), json!(both[which].map(rounded)));
                let took = there.duration_since(before.at).as_secs_f64() * 1e3;
                self.report.set(&format!("all_ms_{name}"), rounded(took));
            } else {
                self.site = kept;
                if which == 0 {
                    let last = self.why.last().cloned();
                    let said =
                        if let Done::Cannot = done { Some("too long for a request".into()) } else { last };
                    self.report.set("all_step_error", json!(said));
                }
            }
            thread::sleep(ms(100));
            load.pair(0);
        }
        self.report.set("cpu_ms_all", json!(both[0].or(both[1]).map(rounded)));
        load.phase(WARM);
        Ok(())
    }

    /// Undo of each kind: one entry, a file, everything. What runs afterwards is what ran before, by its hash.
    fn undo(&mut self, load: &Load, quiet: f64, steps: bool, files: bool) -> Result<(), Fault> {
        load.phase(UNDO);
        for kind in ["one", "file", "all"] {
            let (_, hash) = self.running()?;
            let kept = self.site.clone();
            let done = match kind {
                "one" if steps => {
                    let entry = self.change_one();
                    self.apply(json!({"do": "stage", "step": entry}))?
                }
                "file" if files => {
                    self.change_one();
                    self.reload()?
                }
                "all" if steps || files => {
                    let entries = self.change_all(load);
                    match if steps {
                        self.apply(json!({"do": "stage", "step": entries}))?
                    } else {
                        Done::Cannot
                    } {
                        Done::Yes => Done::Yes,
                        _ if files => self.reload()?,
                        other => other,
                    }
                }
                _ => Done::Cannot,
            };
            self.site = kept;
            if !matches!(done, Done::Yes) {
                load.pair(0);
                continue;
            }
            thread::sleep(ms(50));
            let before = self.rig.meter.read();
            let start = Instant::now();
            self.end("undo")?;
            let took = rounded(start.elapsed().as_secs_f64() * 1e3);
            let after = self.read();
            let cpu = rounded(beyond(&after, &before, quiet));
            load.pair(0);
            let (_, now) = self.running()?;
            self.report.rule("an undo did not bring back what was", now == hash);
            match kind {
                "one" => {
                    self.report.set("undo_ms", took);
                    self.report.set("cpu_ms_undo", cpu);
                }
                "file" => self.report.set("undo_file_ms", took),
                _ => {
                    self.report.set("undo_all_ms", took);
                    self.report.set("cpu_ms_undo_all", cpu);
                }
            }
            // The file says what runs, again.
            let text = self.rig.text(&self.site);
            std::fs::write(self.rig.node.dir.join("config.json"), text)?;
        }
        load.phase(WARM);
        Ok(())
    }

    /// What is wrong is refused, and the version stays.
    fn refusals(&mut self) -> Result<(), Fault> {
        let before = self.running()?;
        let good = self.rig.text(&self.site);
        let (refused, why) = (self.refused, self.why.clone());
        let put = |name: &str, rate: i64| {
            let entry = json!({"put": "tenant", "Name": name, "QuotaRps": rate});
            json!({"do": "stage", "step": entry.to_string()})
        };
        let unknown = json!({"take": "method", "Name": method_name(99_999)}).to_string();
        let mistakes = [
            put(&tenant_name(0), -1),
            put(&"x".repeat(129), 1),
            json!({"do": "stage", "step": unknown}),
            json!({"do": "stage", "text": "{\"name\": 1}"}),
        ];
        for mistake in mistakes {
            let told = self.operator.ask(mistake)?;
            self.report.rule("what is wrong was staged", !agreed(&told));
        }
        let half = good.get(..good.len() / 2).unwrap_or_default();
        let done = self.reload_text(half)?;
        self.report.rule("half a file was taken", matches!(done, Done::Refused));
        std::fs::write(self.rig.node.dir.join("config.json"), good)?;
        (self.refused, self.why) = (refused, why);
        let after = self.running()?;
        self.report.rule("a refused change left another version", before == after);
        Ok(())
    }
}

/// Plays this build, and another in turns; medians of the turns.
pub fn scenario(
    report: &mut Report, seed: u64, to: &Sizes, rate: Option<f64>, other: Option<&Path>,
) -> Result<(), Fault> {
    let rate = rate.unwrap_or(RATE);
    let (mut these, mut those) = (Vec::new(), Vec::new());
    for turn in 0..to.turns.unwrap_or(1).max(1) as u64 {
        let (figures, broken) = play(seed + turn, to, rate, None)?;
        these.push(figures);
        broken.iter().for_each(|rule| report.rule(rule, false));
        if let Some(program) = other {
            let (mut figures, broken) = play(seed + turn, to, rate, Some(program))?;
            figures.insert("broken".into(), json!(broken));
            those.push(figures);
        }
    }
    for (name, value) in medians(these) {
        report.set(&name, value);
    }
    if other.is_some() {
        report.set("other", Value::Object(medians(those)));
    }
    report.set("methods", json!(to.methods));
    report.set("tenants", json!(to.tenants));
    report.set("rate", json!(rate));
    report.set("turns", json!(to.turns.unwrap_or(1)));
    Ok(())
}

/// Of figures the medians over turns, with `spread`; of all else what the last turn said.
pub fn medians(mut turns: Vec<Map<String, Value>>) -> Map<String, Value> {
    let Some(mut last) = turns.pop() else { return Map::new() };
    if turns.is_empty() {
        return last;
    }
    let mut spread = Map::new();
    for (name, value) in &mut last {
        let all = turns.iter().filter_map(|turn| turn.get(name)).chain([&*value]);
        let mut all: Vec<f64> = all.filter_map(Value::as_f64).collect();
        if let Some(median) = median(&mut all).filter(|_| all.len() > 1) {
            if let [first, .., end] = all[..] {
                spread.insert(name.clone(), json!([first, end]));
            }
            *value = json!(median);
        }
    }
    last.insert("spread".into(), Value::Object(spread));
    last
}

#[cfg(test)]
#[path = "tests/config.rs"]
mod tests;
