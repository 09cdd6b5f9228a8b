//! `fleet-members`: real processes that know each other, and cuts, losses, pauses and deaths between them. What each
//! says of its view is asked of it; what it took of a shared limit is in the layer's own account.

use super::restart_recovery::{habits, methods, ms, share, Terms, COLD, RAMP, WEIGHTS};
use super::script::{self, Line, Played, What};
use super::{mean_work, Fleet, Plan};
use crate::amqp::{self, LOOK, PRICE, UPDATE};
use crate::load::play;
use crate::report::{Fault, Report};
use crate::world::{Method, Setup};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

pub const PROBE: u64 = 150; // ms, as in the operator's file below
pub const SUSPICION: u64 = 900;
pub const GREET: u64 = 500;
pub const SETTLE: u64 = 1_000;
pub const SECTIONS: &str = "[changes]\ncontrol {dir}/control\nstate {dir}/state\n";
pub const FILE: &str =
    "[changes]\ncontrol {dir}/control\nstate {dir}/state\n[members]\ncluster lab\nlisten {own}\n\
    advertise {relay}\nkey-file {password}\n{contacts}probe 150ms\nsuspicion 900ms\ngreet 500ms\nsettle 1s\n";
const SHARE: f64 = 2.5; // calls at a time, of each
const SAFE: f64 = 0.8; // of them, what the module makes use of
const CALL: Duration = ms(150);
const LOAD: f64 = 0.45; // of the cores; calls asked for are then more than what there is to share
const LOOKS: u64 = 500; // ms between two looks at one member, and what a look takes
const WARM: u64 = 9_000; // ms of load until the first fault

/// The times that the operators' page promises, in ms, for so many members.
struct Promised {
    /// Until all that are there have found a loss, and until a part that was lost may be taken.
    found: u64,
    transition: u64,
    /// From the end of a fault until all views are the same again.
    healed: u64,
}

impl Promised {
    fn of(nodes: usize) -> Promised {
        let notice = PROBE * (2 * nodes as u64 + 2) + SUSPICION;
        let greet = GREET * 5 / 4;
        Promised {
            found: notice,
            transition: notice + notice / 10 + PROBE,
            healed: notice + 4 * greet + SETTLE,
        }
    }
}

/// The faults of a seed, and what they are called.
pub fn draw(nodes: usize, seed: u64) -> (&'static str, Vec<Line>) {
    let mut chance = StdRng::seed_from_u64(seed ^ 0xfee1);
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(&mut chance);
    let line = |at_ms, what, whom: &[usize]| Line { at_ms, what, whom: whom.to_vec() };
    let promised = Promised::of(nodes);
    let (from, to) = (WARM, WARM + promised.transition + 3_000);
    let few = (nodes / 5).max(1);
    let split = |groups: &[&[usize]]| What::Split(groups.iter().map(|g| g.to_vec()).collect());
    let weather = |first: Vec<What>| {
        let mut lines: Vec<Line> = first.into_iter().map(|what| line(from, what, &[])).collect();
        lines.push(line(to, What::Heal, &[]));
        lines
    };
    match seed % 16 {
        0 => ("halves", weather(vec![split(&[&all[..nodes / 2], &all[nodes / 2..]])])),
        1 => ("few apart", weather(vec![split(&[&all[..few], &all[few..]])])),
        2 => (
            "three parts",
            weather(vec![split(&[&all[..nodes / 3], &all[nodes / 3..2 * nodes / 3], &all[2 * nodes / 3..]])]),
        ),
        3 => ("one hears nobody", vec![line(from, What::NetDeaf, &all[..1]), line(to, What::Heal, &[])]),
        4 => ("nobody hears one", vec![line(from, What::NetMute, &all[..1]), line(to, What::Heal, &[])]),
        5 => {
            let (a, b) = (&all[..=nodes / 2], &all[nodes / 2..]);
            ("a bridge", weather(vec![split(&[a, b])]))
        }
        6 => ("loss of 5", weather(vec![What::Lossy(5)])),
        7 => (
            "loss of 15, doubled, overtaking",
            weather(vec![What::Lossy(15), What::Double(30), What::Late(20)]),
        ),
        8 => (
            "a short pause",
            vec![line(from, What::Pause, &all[..1]), line(from + 700, What::Resume, &all[..1])],
        ),
        9 => {
            ("a long pause", vec![line(from, What::Pause, &all[..few]), line(to, What::Resume, &all[..few])])
        }
        10 => {
            ("a fifth killed", vec![line(from, What::Kill, &all[..few]), line(to, What::Start, &all[..few])])
        }
        11 => ("all killed", vec![line(from, What::Kill, &all), line(from + 600, What::Start, &all)]),
        12 => {
            let one = |(i, n): (usize, &usize)| {
                let at = from + i as u64 * chance.random_range(900..1_100);
                [line(at, What::Term, &[*n]), line(at + 700, What::Start, &[*n])]
            };
            let mut lines: Vec<Line> = all.iter().enumerate().flat_map(one).collect();
            lines.sort_by_key(|line| line.at_ms);
            ("rolling", lines)
        }
        13 => ("a flood", vec![line(from, What::Flood, &all[..few]), line(from + 1_500, What::Heal, &[])]),
        14 => (
            "one that does no work",
            vec![line(from, What::AgentHang, &all[..1]), line(to, What::AgentPass, &all[..1])],
        ),
        _ => {
            // Cut, and paused within the cut, and one dead.
            let mut lines = weather(vec![split(&[&all[..few], &all[few..]])]);
            lines.push(line(from + 1_500, What::Pause, &all[few..=few]));
            lines.push(line(from + 3_500, What::Resume, &all[few..=few]));
            lines.push(line(from + 2_000, What::Kill, &all[nodes - 1..]));
            lines.push(line(to, What::Start, &all[nodes - 1..]));
            lines.sort_by_key(|line| line.at_ms);
            ("cut, pause and death", lines)
        }
    }
}

/// Who can hear whom, as far as the faults say.
#[derive(Clone, PartialEq)]
struct Truth {
    up: Vec<bool>,
    awake: Vec<bool>,
    cut: BTreeSet<(usize, usize)>,
    /// The weather is such that a view may be any of those that lead.
    rough: bool,
}

impl Truth {
    fn suffer(&mut self, line: &Line) {
        let nodes = self.up.len();
        match &line.what {
            What::Kill | What::Term => line.whom.iter().for_each(|n| self.up[*n] = false),
            What::Start => line.whom.iter().for_each(|n| self.up[*n] = true),
            What::Pause => line.whom.iter().for_each(|n| self.awake[*n] = false),
            What::Resume => line.whom.iter().for_each(|n| self.awake[*n] = true),
            What::Split(groups) => self.cut = super::mesh::apart(groups, nodes),
            What::NetDeaf => self.cut.extend(line.whom.iter().flat_map(|n| (0..nodes).map(move |a| (a, *n)))),
            What::NetMute => self.cut.extend(line.whom.iter().flat_map(|n| (0..nodes).map(move |a| (*n, a)))),
            What::Lossy(_) | What::Late(_) => self.rough = true,
            What::Heal => (self.cut, self.rough) = (BTreeSet::new(), false),
            _ => {}
        }
    }
    fn on(&self, n: usize) -> bool {
        self.up[n] && self.awake[n]
    }
    fn both(&self, a: usize, b: usize) -> bool {
        self.on(a) && self.on(b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }
    /// Members that one is in touch with, both ways, directly or over others, itself among them.
    fn reach(&self, n: usize) -> BTreeSet<usize> {
        let mut seen = BTreeSet::from([n]);
        let mut open = vec![n];
        while let Some(a) = open.pop() {
            for b in (0..self.up.len()).filter(|b| self.both(a, *b)) {
                if seen.insert(b) {
                    open.push(b);
                }
            }
        }
        seen
    }
    /// The view that one has to come to.
    fn view(&self, n: usize) -> &'static str {
        let (count, size) = (self.reach(n).len(), self.up.len());
        match count {
            _ if count == size => "whole",
            _ if 2 * count > size => "majority",
            1 => "alone",
            _ => "minority",
        }
    }
}

/// One look at one member.
struct Look {
    at: u64,
    node: usize,
    view: String,
    /// Members that it says have failed.
    failed: BTreeSet<usize>,
    part: f64,
}

/// Asks a process over its control socket.
pub fn ask(dir: &Path, request: &Value) -> Option<Value> {
    let mut stream = UnixStream::connect(dir.join("control")).ok()?;
    stream.set_read_timeout(Some(ms(if request["do"] == json!("members") { 400 } else { 6_000 }))).ok()?;
    stream.write_all(format!("{request}\n").as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    serde_json::from_str(&line).ok()
}

fn look(fleet: &Fleet, node: usize) -> Option<Look> {
    let told = ask(&fleet.members[node].node.dir, &json!({"v": 1, "do": "members"}))?;
    let failed = told["members"].as_array()?.iter().filter(|m| m["standing"] == json!("failed"));
    let number = |m: &Value| m["name"].as_str()?.strip_prefix('n')?.parse().ok();
    Some(Look {
        at: fleet.at_ms(),
        node,
        view: told["view"]["name"].as_str()?.into(),
        failed: failed.filter_map(number).collect(),
        part: told["part"].as_f64()?,
    })
}

pub fn setup(methods: &[Method], nodes: usize) -> Setup {
    Setup {
        methods: methods.to_vec(),
        cores: 2,
        memory_mb: 64,
        sockets: 512,
        stop_ms: 1_500,
        file: Some(format!("{FILE}expect {nodes}\n")),
        say: "window",
        program: None,
        loses: None,
        ramp: RAMP,
        skips: 0.5,
        shared: Some((SHARE, nodes, CALL)),
        callers: 4,
    }
}

/// The scenario.
pub fn scenario(report: &mut Report, terms: &Terms) -> Result<(), Fault> {
    let (nodes, cores) = (terms.nodes, 2);
    let (kind, lines) = match &terms.script {
        Some(path) => ("script", script::parse(&std::fs::read_to_string(path)?, nodes)?),
        None => draw(nodes, terms.seed),
    };
    let (methods, promised) = (methods(), Promised::of(nodes));
    let rate = (nodes * cores) as f64 / mean_work(&methods, &WEIGHTS).as_secs_f64() * LOAD;
    let setup = Setup { program: terms.other.clone(), ..setup(&methods, nodes) };
    let slots = (SHARE * nodes as f64 * 4.0) as usize; // what is over the whole is served all the same, and seen
    let plan = Plan { nodes, setup, cold: COLD, slots, call: CALL, mesh: Some(terms.seed) };
    let mut fleet = Fleet::start(&plan)?;
    fleet.listed();
    let offset = fleet.at_ms();
    let habits = habits(rate, terms.seed);
    let callers = fleet.callers(&habits);
    let (mut played, mut looks, mut next) = (Played::default(), Vec::new(), 0);
    let fresh = Truth { up: vec![true; nodes], awake: vec![true; nodes], cut: BTreeSet::new(), rough: false };
    // What is true from when on, in ms since the start.
    let mut truth = vec![(0, fresh)];
    let last = lines.last().map_or(WARM, |line| line.at_ms);
    let end = offset + last + promised.healed + promised.transition + 1_000;
    let pace = ms(if nodes <= 12 { 100 } else { 400 });
    while fleet.at_ms() < end {
        let turn = Instant::now();
        while lines.get(next).is_some_and(|line| line.at_ms + offset <= fleet.at_ms()) {
            fleet.suffer(&lines[next], &mut played)?;
            let mut now = truth.last().map(|(_, truth)| truth.clone()).unwrap_or_else(|| truth[0].1.clone());
            now.suffer(&lines[next]);
            truth.push((fleet.at_ms(), now));
            next += 1;
        }
        let now = truth.last().map(|(_, truth)| truth.clone()).unwrap_or_else(|| truth[0].1.clone());
        looks.extend((0..nodes).filter(|n| now.on(*n)).filter_map(|n| look(&fleet, n)));
        std::thread::sleep(pace.saturating_sub(turn.elapsed()));
    }
    callers.end(ms(3_400));
    judge(report, &mut fleet, &callers, &Seen { kind, lines, looks, truth, played, offset, last, promised })
}

/// CPU of a framed RPC at one of so many processes, with `[members]` and without, in turns: medians of five.
pub fn cpu(report: &mut Report, seed: u64, nodes: usize, span: Duration, rate: f64) -> Result<(), Fault> {
    let none = std::sync::atomic::AtomicBool::new(false);
    let (mut cpu, mut idle) = ([vec![], vec![]], [vec![], vec![]]);
    for round in 0..5 {
        for (which, file) in [SECTIONS.to_string(), format!("{FILE}expect {nodes}\n")].into_iter().enumerate()
        {
            let quick = [PRICE, LOOK].map(|method| Method { work: ms(0), ..method });
            let setup = Setup { file: Some(file), shared: None, ..setup(&quick, nodes) };
            let plan = Plan { nodes, setup, cold: COLD, slots: 1_000, call: ms(0), mesh: Some(seed + round) };
            let fleet = Fleet::start(&plan)?;
            std::thread::sleep(ms(6_000)); // until all know each other
            let node = &fleet.members[0].node;
            let others = || fleet.members[1..].iter().map(|m| m.node.cpu_us()).sum::<u64>();
            play(node.at, &amqp::shares(), &[(ms(500), rate)], seed + 50 + round, &none)?;
            let (before, rest, start) = (node.cpu_us(), others(), Instant::now());
            let tallies = play(node.at, &amqp::shares(), &[(span, rate)], seed + round, &none)?;
            let rpcs = crate::load::sum(&tallies, |t| t.asked).max(1);
            cpu[which].push((node.cpu_us() - before) as f64 / rpcs as f64);
            idle[which].push((others() - rest) as f64 / (nodes - 1) as f64 / start.elapsed().as_secs_f64());
        }
    }
    for (name, all) in [("cpu_us_per_rpc", &mut cpu), ("cpu_us_per_s_of_an_idle_one", &mut idle)] {
        for (all, of) in all.iter_mut().zip(["off", "on"]) {
            all.sort_by(f64::total_cmp);
            report.set(&format!("{name}_{of}"), json!(all[all.len() / 2]));
            report.set(&format!("{name}_{of}_all"), json!(all));
        }
    }
    report.set("nodes", json!(nodes));
    Ok(())
}

/// What one run has shown.
struct Seen {
    kind: &'static str,
    lines: Vec<Line>,
    looks: Vec<Look>,
    truth: Vec<(u64, Truth)>,
    played: Played,
    offset: u64,
    last: u64,
    promised: Promised,
}

impl Seen {
    /// What has been true, without a change, for so long before a moment.
    fn settled(&self, at: u64, span: u64) -> Option<&Truth> {
        let known = self.truth.iter().rev().find(|(since, _)| *since <= at)?;
        (known.0 == 0 || known.0 + span <= at).then_some(&known.1)
    }
}

fn judge(
    report: &mut Report, fleet: &mut Fleet, callers: &super::callers::Callers, seen: &Seen,
) -> Result<(), Fault> {
    let nodes = fleet.members.len();
    let Promised { found, transition, healed } = seen.promised;
    let begun = seen.offset + WARM;
    // Views are right once what is true has been so for as long as is promised.
    let wrong = seen.looks.iter().filter(|look| look.at >= begun).filter(|look| {
        let Some(truth) = seen.settled(look.at, healed.max(found)) else { return false };
        let right = truth.view(look.node);
        let rough = truth.rough && matches!(look.view.as_str(), "whole" | "majority");
        look.view != right && !rough
    });
    let wrong: Vec<String> =
        wrong.map(|l| format!("{} ms: n{} says {}", l.at - seen.offset, l.node, l.view)).collect();
    // Called failed though it was in touch with whoever says so for as long as it takes to notice anything.
    let mut false_failed = BTreeSet::new();
    for look in seen.looks.iter().filter(|look| look.at >= begun) {
        let Some(truth) = seen.settled(look.at, healed.max(found)) else { continue };
        false_failed
            .extend(look.failed.iter().filter(|m| truth.both(look.node, **m)).map(|m| (look.node, *m)));
    }
    // Found: for each member that fell silent for all, the first look at each other one that says so.
    let mut detect = Vec::new();
    for (i, (at, truth)) in seen.truth.iter().enumerate().skip(1) {
        let before = &seen.truth[i - 1].1;
        for m in (0..nodes).filter(|m| before.on(*m) && !truth.on(*m)) {
            let until =
                seen.truth[i + 1..].iter().find(|(_, later)| later.on(m)).map_or(u64::MAX, |(at, _)| *at);
            for n in (0..nodes).filter(|n| *n != m && truth.both(*n, *n)) {
                let said = |l: &&Look| l.node == n && l.at >= *at && l.at < until && l.failed.contains(&m);
                detect.extend(seen.looks.iter().find(said).map(|l| l.at - at));
            }
        }
        // A cut: the first look that says so of each direction that carries nothing any more, to whoever hears nothing,
        // where nobody between them is left.
        for (b, a) in truth.cut.iter().filter(|pair| !before.cut.contains(*pair)) {
            let apart = truth.on(*a) && truth.on(*b) && !truth.reach(*a).contains(b);
            let said = |l: &&Look| l.node == *a && l.at >= *at && l.failed.contains(b);
            detect.extend(seen.looks.iter().filter(|_| apart).find(said).map(|l| l.at - at));
        }
    }
    detect.sort_unstable();
    let over = seen.offset + seen.last;
    let last_wrong =
        |l: &&Look| l.at > over && seen.truth.last().is_some_and(|(_, t)| t.view(l.node) != l.view);
    let heal = seen.looks.iter().filter(last_wrong).map(|l| l.at - over).max().unwrap_or(0);
    // What all together had in hand of the shared limit, second by second, over the whole.
    let whole = SHARE * SAFE * nodes as f64;
    let held = fleet.below.desk().held.clone();
    let tenth = |ms: u64| (ms / 100) as usize;
    let second = |w: &[f64]| w.iter().sum::<f64>();
    let taken: Vec<f64> = held.get(tenth(seen.offset)..).unwrap_or(&[]).windows(10).map(second).collect();
    let over_whole = taken.iter().filter(|taken| **taken > whole * 1.05).count();
    let ledger = std::mem::take(&mut *callers.ledger());
    let times = |from: u64, to: u64| {
        let tenths = ledger.tenths.get(tenth(from)..tenth(to).min(ledger.tenths.len())).unwrap_or(&[]);
        if tenths.is_empty() {
            0.0
        } else {
            share(tenths)
        }
    };
    let unanswered = seen.played.excuse(&ledger.unanswered);
    let (calm, cut) = (times(begun - 4_000, begun), times(begun, over.max(begun + 1_000)));
    let twice = fleet.effects_twice(UPDATE.name);
    let silent = fleet.members.iter().all(|m| !m.node.read_log().contains("panick"));
    let carried = fleet.mesh.as_ref().map_or(0, |mesh| mesh.carried());
    let parts = |from: u64, to: u64| {
        let of = |n: usize| {
            seen.looks.iter().rfind(|l| l.node == n && (from..to).contains(&l.at)).map_or(0.0, |l| l.part)
        };
        (0..nodes).map(of).sum::<f64>() / nodes as f64
    };
    let (parts_calm, parts_cut) = (parts(begun - 1_000, begun), parts(over - 1_000, over));
    let left = fleet.end();
    let middle = |all: &[u64]| all.get(all.len() / 2).copied();
    for (name, value) in [
        ("kind", json!(seen.kind)),
        ("nodes", json!(nodes)),
        ("detect_ms_p50", json!(middle(&detect))),
        ("detect_ms_max", json!(detect.last())),
        ("detect_bound_ms", json!(found)),
        ("false_failed", json!(false_failed.len())),
        ("heal_ms", json!(heal)),
        ("heal_bound_ms", json!(healed)),
        ("transition_ms", json!(transition)),
        ("views_wrong_beyond_bound", json!(wrong.len())),
        ("share_over_whole_beyond_bound", json!(over_whole)),
        ("share_peak", json!(taken.iter().copied().fold(0.0, f64::max) / whole)),
        ("parts_calm", json!(parts_calm)),
        ("parts_at_the_end_of_the_fault", json!(parts_cut)),
        ("no_final_answer", json!(unanswered)),
        ("answered_twice", json!(ledger.answered_twice)),
        ("effects_twice", json!(twice)),
        ("in_time_calm", json!(calm)),
        ("in_time_cut", json!(cut)),
        ("rpcs", json!(ledger.rpcs)),
        ("looks", json!(seen.looks.len())),
        ("datagrams", json!(carried)),
        ("left_processes", json!(left)),
    ] {
        report.set(name, value);
    }
    report.rule("an RPC got no final answer", unanswered == 0);
    report.rule("an RPC was answered twice", ledger.answered_twice == 0);
    report.rule("an RPC got the result of another", ledger.wrong == 0);
    report.rule("an effect was made twice", twice == 0);
    report.rule("a view was wrong for longer than is promised", wrong.is_empty());
    let late = detect.last().is_some_and(|at| *at > found + LOOKS);
    report.rule("a loss was found later than is promised", !late);
    report.rule("a member in touch was called failed", false_failed.is_empty());
    report.rule("more than the whole was taken of what is shared", over_whole == 0);
    report.rule("the parts are not all taken in calm", (0.99..1.01).contains(&parts_calm));
    report.rule(
        "calls asked for were too few to show what is taken",
        taken.iter().any(|taken| *taken > 0.85 * whole),
    );
    report.rule("a process was left behind", left == 0);
    report.rule("a process panicked", silent);
    if !report.broken().is_empty() {
        seen.lines.iter().for_each(|line| eprintln!("{line}"));
        wrong.iter().take(8).for_each(|wrong| eprintln!("{wrong}"));
        false_failed.iter().take(8).for_each(|(n, m)| eprintln!("n{n} calls n{m} failed"));
    }
    Ok(())
}

#[cfg(test)]
#[path = "tests/members.rs"]
mod tests;
