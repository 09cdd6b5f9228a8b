//! `fleet-return`: most of a fleet restarted at once, stored state lost, the layer below away; how long until service
//! is full again, and who was asked too much meanwhile.

use super::callers::{Callers, Habits, Ledger, Tenth};
use super::script::{self, Line, Played, Spoil, What};
use super::{mean_work, plot, Fleet, Plan};
use crate::amqp::{LOOK, PRICE, UPDATE};
use crate::load::Share;
use crate::report::{Fault, Report};
use crate::world::{Cold, Method, Setup};
use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    /// All are killed within a moment and start again
    All,
    /// Seven in ten are, while the rest carry on; for odd seeds again while they are still warming
    Most,
    /// One after the other leaves and starts again, faster than they warm up
    Rolling,
    /// All are killed, and their state is lost, swapped, torn, old or another's
    StateLost,
    /// The layer below is away, and comes back empty and at a third of its speed
    BelowLost,
    /// Some stand still for ten seconds, or start anew beside an agent that goes on, or lose a way of their link to it
    Odd,
}

const KINDS: [Kind; 6] = [Kind::All, Kind::Most, Kind::Rolling, Kind::StateLost, Kind::BelowLost, Kind::Odd];
const WARM: u64 = 7_000; // ms of load before anything is measured
const BEFORE: u64 = 12_000; // ms at which the first fault comes
const LIMIT: u64 = 40_000; // ms that one run takes at the most
const WHOLE: f64 = 0.95; // of the service before that counts as full
const ROW: usize = 10; // seconds in a row that it has to hold
const STATED: Duration = Duration::from_secs(10); // beyond it nothing kept binds (asterrill-recovery::STATED)
pub const WEIGHTS: [u32; 3] = [10, 30, 4];
pub const RAMP: Duration = ms(4_000);
pub const COLD: Cold = Cold { from: 0.3, ramp: RAMP };

/// How it is played.
#[derive(Clone)]
pub struct Terms {
    pub seed: u64,
    pub kind: Option<Kind>,
    pub nodes: usize,
    pub script: Option<PathBuf>,
    pub plot: Option<PathBuf>,
    pub other: Option<PathBuf>,
    /// Ends as soon as service is full again, if it is by then.
    pub seconds: Option<u64>,
}

pub fn methods() -> [Method; 3] {
    [
        Method { work: ms(16), target_ms: 200, deadline_ms: 800, ..PRICE },
        Method { work: ms(24), target_ms: 400, deadline_ms: 1_600, calls: true, ..LOOK },
        Method { work: ms(20), target_ms: 1_000, deadline_ms: 3_000, effect: "single_shot", ..UPDATE },
    ]
}

fn shares(methods: &[Method]) -> Vec<Share> {
    let share = |(m, weight): (&Method, u32)| Share {
        method: m.name,
        weight,
        criticality: m.criticality,
        target: ms(m.target_ms),
        patience: ms(m.deadline_ms),
    };
    methods.iter().zip(WEIGHTS).map(share).collect()
}

/// Six callers, one of them deaf, who ask for three methods so often.
pub fn habits(rate: f64, seed: u64) -> Habits {
    let shares = shares(&methods());
    Habits { shares, once: vec![UPDATE.name], callers: 6, rate, deaf: 1.0 / 6.0, seed }
}

/// The share of all cores that is asked for.
fn load(kind: Kind, seed: u64) -> f64 {
    match kind {
        Kind::All | Kind::StateLost => 0.8,
        Kind::Most if seed.is_multiple_of(2) => 0.6,
        Kind::Most => 0.9,
        Kind::Rolling | Kind::Odd => 0.6,
        Kind::BelowLost => 0.7,
    }
}

/// The faults of a kind, drawn from the seed.
pub fn draw(kind: Kind, nodes: usize, seed: u64) -> Vec<Line> {
    let mut chance = StdRng::seed_from_u64(seed ^ 0x5eed);
    let all: Vec<usize> = (0..nodes).collect();
    let down = chance.random_range(300..700);
    let line = |at_ms, what, whom: &[usize]| Line { at_ms, what, whom: whom.to_vec() };
    let mut lines = Vec::new();
    match kind {
        Kind::All => {
            lines.push(line(BEFORE, What::Kill, &all));
            lines.push(line(BEFORE + down, What::Start, &all));
            if seed.is_multiple_of(3) {
                lines.push(line(BEFORE + down + 50, What::Reconnect, &[]));
            }
        }
        Kind::Most => {
            let mut some = all;
            some.shuffle(&mut chance);
            some.truncate((nodes * 7).div_ceil(10));
            lines.push(line(BEFORE, What::Kill, &some));
            lines.push(line(BEFORE + down, What::Start, &some));
            if seed % 2 == 1 {
                let again = BEFORE + down + chance.random_range(500..2_000);
                lines.push(line(again, What::Kill, &some));
                lines.push(line(again + down, What::Start, &some));
            }
        }
        Kind::Rolling => {
            for (i, n) in all.iter().enumerate() {
                let at = BEFORE + i as u64 * RAMP.as_millis() as u64 / 4;
                lines.push(line(at, What::Term, &[*n]));
                lines.push(line(at + 700, What::Start, &[*n]));
            }
        }
        Kind::StateLost => {
            lines.push(line(BEFORE, What::Kill, &all));
            let spoils = [Spoil::Lost, Spoil::Torn, Spoil::Old, Spoil::Other, Spoil::ReadOnly];
            let spoil = &spoils[seed as usize / KINDS.len() % spoils.len()];
            let (half, rest) = all.split_at(nodes / 2);
            lines.push(line(BEFORE + 50, What::State(spoil.clone()), half));
            if let [a, b, ..] = rest {
                lines.push(line(BEFORE + 60, What::State(Spoil::Swap(*b)), &[*a]));
            }
            lines.push(line(BEFORE + down, What::Start, &all));
        }
        Kind::BelowLost => {
            let away = chance.random_range(5_000..7_000);
            lines.push(line(BEFORE, What::BelowGone, &[]));
            lines.push(line(BEFORE + away, What::BelowBack(0.33), &[]));
            // It warms up: full speed again after a while.
            lines.push(line(BEFORE + away + 3_000, What::BelowBack(1.0), &[]));
        }
        Kind::Odd => {
            let mut some = all;
            some.shuffle(&mut chance);
            some.truncate((nodes / 4).max(1));
            // Of four: a pause; the process alone; the link to the agent, each way and both; the name service.
            let (first, last, span) = match seed / KINDS.len() as u64 % 6 {
                0 => (What::Pause, What::Resume, 10_000),
                1 => (What::Crash, What::Crash, 1_500),
                2 => (What::AgentDeaf, What::AgentPass, 2_500),
                3 => (What::AgentMute, What::AgentPass, 2_500),
                4 => (What::AgentHang, What::AgentPass, 2_500),
                _ => (What::NamingGone, What::NamingBack, 5_000),
            };
            if first == What::NamingGone {
                lines.push(line(BEFORE, What::AgentDelay(20), &some));
                lines.push(line(BEFORE + span, What::AgentDelay(0), &some));
                some.clear();
            }
            lines.push(line(BEFORE, first, &some));
            lines.push(line(BEFORE + span, last, &some));
        }
    }
    lines.sort_by_key(|line| line.at_ms);
    lines
}

/// What one run has found.
pub struct Found {
    pub tenths: Vec<Tenth>,
    pub before: f64,
    pub after: f64,
    /// Of all cores, the share that runs took before the fault, by the agents' own account.
    pub load: f64,
    pub unanswered: usize,
    pub fault_ms: u64,
    pub refused_below: u64,
    pub full_ms: Option<u64>,
    pub floor_ms: u64,
    pub attempts_peak: f64,
    pub calls_peak: f64,
    pub stale: u64,
    pub left: usize,
    pub effects_twice: u64,
    pub reports_peak: u32,
    pub snapshots_failed: u64,
    pub ledger: Ledger,
    pub faults: Vec<Line>,
    pub silent: bool,
}

pub fn share(tenths: &[Tenth]) -> f64 {
    let sum = |of: fn(&Tenth) -> f64| tenths.iter().map(of).sum::<f64>();
    sum(|t| t.in_time) / sum(|t| t.asked).max(1e-9)
}

/// Of tenths of a second, the first from which so many whole seconds in a row are full; in ms.
fn full_from(tenths: &[Tenth], from_ms: u64, before: f64) -> Option<u64> {
    let first = (from_ms / 100) as usize;
    (first..tenths.len()).find_map(|start| {
        let seconds = tenths.get(start..start + ROW * 10)?;
        let full = seconds.chunks(10).all(|second| share(second) >= WHOLE * before);
        full.then_some(start as u64 * 100)
    })
}

/// The time until cold cores bear the load, in ms after a start: what nobody can be quicker than.
fn floor(kind: Kind, nodes: usize, some: usize, load: f64) -> u64 {
    let warm = (nodes - some) as f64 / nodes as f64;
    let cold = some as f64 / nodes as f64;
    // The share of all cores at a moment; what is asked has to fit, with a twentieth to spare for chance.
    let fits = |t: u64| warm + cold * COLD.speed(ms(t)) >= load * 1.05;
    match kind {
        // At a third of its speed the layer below does not bear what is asked; it is slow for three seconds.
        Kind::BelowLost => 3_000,
        // Lists name who has left, and leave out who is back, for up to two seconds.
        Kind::Rolling | Kind::Odd => 2_000,
        _ => (0..20_000).step_by(50).find(|t| fits(*t)).unwrap_or(20_000),
    }
}

/// Plays the faults once, with this build or another.
pub fn play(terms: &Terms, kind: Kind, lines: &[Line], other: Option<&Path>) -> Result<Found, Fault> {
    let (methods, cores) = (methods(), 2);
    let mean = mean_work(&methods, &WEIGHTS);
    let capacity = terms.nodes as f64 * cores as f64 / mean.as_secs_f64();
    let rate = capacity * load(kind, terms.seed);
    let weights: u32 = WEIGHTS.iter().sum();
    let calls = rate * f64::from(WEIGHTS[1]) / f64::from(weights);
    let call = ms(10);
    let slots = ((calls * 1.3 * call.as_secs_f64()).ceil() as usize).max(1);
    let recovery = if other.is_some() { "" } else { "[recovery]\nsnapshot 1s\n" };
    let setup = Setup {
        methods: methods.to_vec(),
        cores,
        memory_mb: 64,
        sockets: 512,
        stop_ms: 1_500,
        file: Some(format!("[changes]\ncontrol {{dir}}/control\nstate {{dir}}/state\n{recovery}")),
        say: "window",
        program: other.map(Path::to_path_buf),
        loses: None,
        ramp: RAMP,
        skips: 0.5,
        shared: None,
        callers: 4,
    };
    let mut fleet = Fleet::start(&Plan { nodes: terms.nodes, setup, cold: COLD, slots, call, mesh: None })?;
    fleet.listed(); // callers come once backends are
    let offset = fleet.at_ms();
    let habits = habits(rate, terms.seed);
    let callers = fleet.callers(&habits);
    let mut played = Played::default();
    let end =
        lines.iter().filter(|l| !matches!(l.what, What::BelowBack(s) if s >= 1.0)).map(|l| l.at_ms).max();
    let end = end.unwrap_or(BEFORE) + offset;
    let limit = offset + terms.seconds.map_or(LIMIT.max(end - offset + 16_000), |s| s * 1_000);
    let (mut next, mut before) = (0, None);
    let worked = |fleet: &Fleet| fleet.members.iter().map(|m| m.agent.runs().worked).sum::<Duration>();
    let (mut then, mut measured) = (None, 0.0);
    loop {
        let now = fleet.at_ms();
        while lines.get(next).is_some_and(|line| line.at_ms + offset <= now) {
            if lines[next].what == What::Reconnect {
                callers.reconnect();
            }
            fleet.suffer(&lines[next], &mut played)?;
            next += 1;
        }
        if now >= offset + WARM && then.is_none() {
            then = Some((now, worked(&fleet)));
        }
        if let Some((since, work)) = then.filter(|_| now >= offset + BEFORE && before.is_none()) {
            let cores = (terms.nodes * cores) as f64 * (now - since) as f64 / 1e3;
            measured = (worked(&fleet) - work).as_secs_f64() / cores;
        }
        if now >= offset + BEFORE && before.is_none() {
            let span = ((offset + WARM) / 100) as usize..((offset + BEFORE - 500) / 100) as usize;
            before = Some(share(&callers.ledger().tenths[span]));
        }
        let done = before.is_some_and(|before| {
            let known = (now.saturating_sub(2_000) / 100) as usize;
            let ledger = callers.ledger();
            let tenths = &ledger.tenths[..known.min(ledger.tenths.len())];
            next >= lines.len() && full_from(tenths, end, before).is_some()
        });
        if done || now >= limit {
            break;
        }
        std::thread::sleep(ms(5));
    }
    callers.end(ms(3_400));
    let some = lines.iter().find(|l| l.what == What::Kill).map_or(1, |l| l.whom.len());
    let unanswered = played.excuse(&callers.ledger().unanswered);
    let measures = (before.unwrap_or(0.0), end, offset, some, rate, measured, unanswered);
    found(&mut fleet, &callers, terms, kind, lines, measures)
}

fn found(
    fleet: &mut Fleet, callers: &Callers, terms: &Terms, kind: Kind, lines: &[Line],
    (before, end, offset, some, rate, measured, unanswered): (f64, u64, u64, usize, f64, f64, usize),
) -> Result<Found, Fault> {
    let ledger = std::mem::take(&mut *callers.ledger());
    let tenths = ledger.tenths.clone();
    let full = full_from(&tenths, end, before);
    let after = full.map_or(&tenths[tenths.len().saturating_sub(40)..], |full| {
        let from = (full / 100) as usize;
        &tenths[from..(from + 100).min(tenths.len())]
    });
    // Attempts a second in whole seconds from the first fault on, over what is asked a second.
    let from = ((offset + BEFORE) / 100) as usize;
    let seconds = |all: &[u32]| all.windows(10).map(|w| w.iter().sum::<u32>()).max().unwrap_or(0);
    let attempts: Vec<u32> = tenths.iter().skip(from).map(|t| t.attempts).collect();
    let usual: u32 = tenths[((offset + WARM) / 100) as usize..from].iter().map(|t| t.attempts).sum();
    let usual = f64::from(usual) / ((BEFORE - WARM) as f64 / 1_000.0);
    let desk = fleet.below.desk();
    let calls: Vec<u32> = desk.came.iter().copied().skip(from).collect();
    let (capacity, refused) = (desk.capacity(), desk.turned_away);
    drop(desk);
    // A pushback that only an old value explains: cores had been free for a while, later than the stated time after
    // the start of its node, which was not leaving.
    let mut stale = 0;
    for (node, at) in &ledger.turned_away {
        let member = &fleet.members[*node];
        let late = at.saturating_duration_since(member.since) > STATED;
        stale += u64::from(late && member.up && member.agent.runs().was_free(*at));
    }
    // The same for calls that were left out while cores and the layer below had been free, long after it came back.
    let back = lines.iter().filter(|l| matches!(l.what, What::BelowBack(_))).map(|l| l.at_ms + offset).max();
    let desk = fleet.below.desk();
    for member in &fleet.members {
        let runs = member.agent.runs();
        for at in &runs.forgone {
            let tenth = (at.saturating_duration_since(fleet.start).as_millis() / 100) as usize;
            let late = at.saturating_duration_since(member.since) > STATED
                && back.is_none_or(|back| tenth as u64 * 100 > back + STATED.as_millis() as u64);
            stale += u64::from(late && runs.was_free(*at) && desk.was_free(tenth.saturating_sub(3)..=tenth));
        }
    }
    drop(desk);
    let twice = fleet.effects_twice(UPDATE.name);
    let logs: Vec<String> = fleet.members.iter().map(|m| m.node.read_log()).collect();
    let snapshots_failed = logs.iter().map(|l| l.matches("could not be written").count() as u64).sum();
    let silent = logs.iter().all(|log| !log.contains("panick"));
    let reports_peak = fleet.naming.most_reports((end / 100) as usize + 30);
    let left = fleet.end();
    Ok(Found {
        before,
        load: measured,
        unanswered,
        after: share(after),
        fault_ms: end - offset,
        refused_below: refused,
        full_ms: full.map(|full| full.saturating_sub(end)),
        floor_ms: floor(kind, terms.nodes, some, load(kind, terms.seed)),
        attempts_peak: f64::from(seconds(&attempts)) / usual.max(rate * 0.5),
        calls_peak: f64::from(seconds(&calls)) / capacity,
        stale,
        left,
        effects_twice: twice,
        reports_peak,
        snapshots_failed,
        tenths: tenths[(offset / 100) as usize..].to_vec(),
        ledger,
        faults: lines.to_vec(),
        silent,
    })
}

/// The share in time of each second of load, from two seconds before the first fault.
fn curve(found: &Found) -> Vec<f64> {
    let tenths = found.tenths.get(BEFORE as usize / 100 - 20..).unwrap_or(&[]);
    tenths.chunks(10).map(|second| (share(second) * 1_000.0).round() / 1_000.0).collect()
}

fn figures(found: &Found) -> Value {
    json!({"full_service_ms": found.full_ms, "floor_ms": found.floor_ms, "in_time_before": found.before, "load_before": found.load,
        "in_time_after": found.after, "attempts_peak_ratio": found.attempts_peak,
        "calls_below_peak_ratio": found.calls_peak, "no_final_answer": found.unanswered,
        "answered_twice": found.ledger.answered_twice, "effects_twice": found.effects_twice,
        "stale_decisions": found.stale, "left_processes": found.left, "curve": curve(found)})
}

/// The scenario.
pub fn scenario(report: &mut Report, terms: &Terms) -> Result<(), Fault> {
    let kind = terms.kind.unwrap_or(KINDS[terms.seed as usize % KINDS.len()]);
    let lines = match &terms.script {
        Some(path) => script::parse(&std::fs::read_to_string(path)?, terms.nodes)?,
        None => draw(kind, terms.nodes, terms.seed),
    };
    let found = play(terms, kind, &lines, None)?;
    report.set("kind", json!(format!("{kind:?}").to_lowercase()));
    report.set("nodes", json!(terms.nodes));
    for (name, value) in figures(&found).as_object().into_iter().flatten() {
        report.set(name, value.clone());
    }
    report.set("rpcs", json!(found.ledger.rpcs));
    report.set("fault_ended_ms", json!(found.fault_ms));
    report.set("calls_turned_away_below", json!(found.refused_below));
    report.set("pushed_back", json!(found.ledger.pushed_back));
    report.set("reports_peak_tenth", json!(found.reports_peak));
    report.set("snapshots_failed", json!(found.snapshots_failed));
    if let Some(path) = &terms.other {
        let other = play(terms, kind, &lines, Some(path))?;
        report.set("other", figures(&other));
        draw_plot(terms, kind, &[("this build", &found), ("the build before", &other)])?;
    } else {
        draw_plot(terms, kind, &[("this build", &found)])?;
    }
    let rule = |report: &mut Report, broken: &str, holds: bool| report.rule(broken, holds);
    rule(report, "an RPC got no final answer", found.unanswered == 0);
    rule(report, "an RPC was answered twice", found.ledger.answered_twice == 0);
    rule(report, "an RPC got the result of another", found.ledger.wrong == 0);
    rule(report, "an effect was made twice", found.effects_twice == 0);
    rule(report, "a decision rested on an old value", found.stale == 0);
    rule(report, "a process was left behind", found.left == 0);
    rule(report, "a process panicked", found.silent);
    rule(report, "service before the fault is no measure", found.before > 0.9);
    let meant = load(kind, terms.seed);
    rule(report, "the load is not what was meant", (0.8..1.15).contains(&(found.load / meant)));
    // What the cold cores alone force, a third more and a second; a slow machine gets another second.
    let bound = found.floor_ms as f64 * 1.3 + 2_000.0;
    report.set("bound_ms", json!(found.floor_ms as f64 * 1.3 + 1_000.0));
    rule(report, "service did not come back", found.full_ms.is_some());
    let quick = found.full_ms.is_some_and(|full| full as f64 <= bound);
    // Of few processes one second's share swings by chance more than the bound allows for.
    let many = terms.nodes >= 10;
    rule(report, "service came back late", quick || found.full_ms.is_none() || !many);
    rule(report, "reports come in step", !many || f64::from(found.reports_peak) <= 0.75 * terms.nodes as f64);
    if !report.broken().is_empty() {
        found.faults.iter().for_each(|line| eprintln!("{line}"));
    }
    Ok(())
}

fn draw_plot(terms: &Terms, kind: Kind, all: &[(&str, &Found)]) -> Result<(), Fault> {
    let Some(path) = &terms.plot else { return Ok(()) };
    let curve = |(name, found): &(&str, &Found)| {
        let points = found.tenths.windows(5).enumerate().map(|(i, w)| (i as f64 / 10.0, share(w))).collect();
        (name.to_string(), points)
    };
    let curves: Vec<plot::Curve> = all.iter().map(curve).collect();
    let faults: Vec<f64> = all[0].1.faults.iter().map(|line| line.at_ms as f64 / 1_000.0).collect();
    let kind = format!("{kind:?}").to_lowercase();
    let title = format!("fleet-return {kind}, {} nodes, seed {}", terms.nodes, terms.seed);
    plot::curves(path, &title, &curves, &faults)
}

#[cfg(test)]
#[path = "tests/restart_recovery.rs"]
mod tests;
