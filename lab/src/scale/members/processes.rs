//! Real processes beside simulated members, with the same intervals: how much the simulation leaves out. Each process has
//! an agent and proxies; datagrams go over relays, which are in this process and cost it, not them.

use super::options::{MembersOptions, ScenarioKind};
use super::scenario::run_with_intervals;
use crate::fleet::members::setup::{
    operator_file, request_within, FILE_WITHOUT_MEMBERS, GREET_MS, PROBE_MS, SETTLE_MS, SUSPICION_MS,
};
use crate::fleet::members::start_idle_fleet;
use crate::fleet::Fleet;
use crate::process::status_kb_or_zero;
use crate::report::{Report, ScenarioError};
use crate::scale::statistics::round;
use crate::time::ms;
use asterrill::Us;
use asterrill_membership::{LeaseTiming, MembershipConfig};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

const FLEET_SIZES: RangeInclusive<usize> = 4..=40; // processes
const STARTUP_TIME: Duration = ms(3_000);
const IDLE_PHASE: Duration = ms(15_000);
const DISCOVERY_TIMEOUT: Duration = ms(60_000);
const CRASHES: usize = 3;
const MAX_COUNTER_ATTEMPTS: usize = 20; // a busy machine may have to be asked more than once
const ANSWER_TIMEOUT: Duration = ms(400);
const POLL_INTERVAL: Duration = ms(20); // between rounds
const POLLING_ALLOWANCE_MS: u64 = 500; // that asking adds to what is promised
const US_PER_MS: u64 = 1_000;

/// The same intervals as in the processes' file.
fn intervals(nodes: usize) -> MembershipConfig {
    let us = |ms: u64| -> Us { ms * US_PER_MS };
    MembershipConfig {
        probe_interval: us(PROBE_MS),
        suspicion_timeout: us(SUSPICION_MS),
        announce_interval: us(GREET_MS),
        join_delay: us(SETTLE_MS),
        forget_after: us(3_600_000),
        flap_window: us(60_000),
        expected_members: nodes,
    }
}

/// What one process says of the others.
struct MembersAnswer {
    alive: usize,
    failed: BTreeSet<String>,
    counters: Counters,
}

/// Datagrams that were sent, their bytes, and pauses.
#[derive(Clone, Copy, Default)]
struct Counters {
    sent: u64,
    bytes: u64,
    pauses: u64,
}

fn query_members(fleet: &Fleet, n: usize) -> Option<MembersAnswer> {
    let dir = &fleet.members.get(n)?.node.dir;
    let answer = request_within(dir, json!({"do": "members"}), ANSWER_TIMEOUT)?;
    let members = answer["members"].as_array()?;
    let failed = members.iter().filter(|m| m["standing"] == json!("failed"));
    let counter = |name: &str| answer["counters"][name].as_u64();
    Some(MembersAnswer {
        alive: members.iter().filter(|m| m["standing"] == json!("alive")).count(),
        failed: failed.filter_map(|m| m["name"].as_str().map(String::from)).collect(),
        counters: Counters {
            sent: counter("sent")?,
            bytes: counter("sent_bytes")?,
            pauses: counter("pauses")?,
        },
    })
}

/// Counters of a process; zeros if it does not answer.
fn counters(fleet: &Fleet, n: usize) -> Counters {
    let answer = (0..MAX_COUNTER_ATTEMPTS).find_map(|_| query_members(fleet, n));
    answer.map_or(Counters::default(), |answer| answer.counters)
}

/// Asks processes until it holds for each, at most so long; how long after the moment it did for each, in ms.
fn wait_until(
    fleet: &Fleet, since: Instant, within: Duration, processes: &[usize],
    holds: impl Fn(&MembersAnswer) -> bool,
) -> Vec<u64> {
    let (mut open, mut took_ms) = (processes.to_vec(), Vec::new());
    while !open.is_empty() && since.elapsed() < within {
        open.retain(|n| {
            let held = query_members(fleet, *n).is_some_and(|answer| holds(&answer));
            if held {
                took_ms.push(since.elapsed().as_millis() as u64);
            }
            !held
        });
        std::thread::sleep(POLL_INTERVAL);
    }
    took_ms.sort_unstable();
    took_ms
}

/// What one process takes on average in a time in which nothing happens.
struct IdleUsage {
    cpu_ms_per_s: f64,
    /// Memory of its own, not shared with a file.
    memory_kb: f64,
    datagrams_per_s: f64,
    bytes_per_s: f64,
    pauses_per_s: f64,
}

/// `with_members`: the processes know each other and can be asked for counters.
fn measure_idle(fleet: &Fleet, with_members: bool) -> IdleUsage {
    let nodes = fleet.members.len();
    let average = |of: &dyn Fn(usize) -> f64| (0..nodes).map(of).sum::<f64>() / nodes.max(1) as f64;
    let cpu_ms = || average(&|n| fleet.members[n].node.cpu_us() as f64 / 1e3);
    let read =
        || -> Vec<Counters> { (0..nodes).filter(|_| with_members).map(|n| counters(fleet, n)).collect() };
    let (before, since) = (read(), Instant::now());
    let cpu_before = cpu_ms();
    std::thread::sleep(IDLE_PHASE);
    let cpu = cpu_ms() - cpu_before;
    let (span, after) = (since.elapsed().as_secs_f64(), read());
    let rate = |of: fn(&Counters) -> u64| {
        let pairs = before.iter().zip(&after).map(|(before, after)| of(after).saturating_sub(of(before)));
        round(pairs.sum::<u64>() as f64 / span / nodes.max(1) as f64)
    };
    IdleUsage {
        cpu_ms_per_s: round(cpu / IDLE_PHASE.as_secs_f64()),
        memory_kb: round(average(&|n| status_kb_or_zero(&fleet.members[n].node.process(), "RssAnon"))),
        datagrams_per_s: rate(|counters| counters.sent),
        bytes_per_s: rate(|counters| counters.bytes),
        pauses_per_s: rate(|counters| counters.pauses),
    }
}

/// Kills processes, one after the other; how long each of the others took to find that, in ms.
fn crash_processes(report: &mut Report, fleet: &mut Fleet, detection_ms: u64) -> Vec<u64> {
    let nodes = fleet.members.len();
    let (mut alive, mut took_ms): (Vec<usize>, Vec<u64>) = ((0..nodes).collect(), Vec::new());
    for death in 0..CRASHES.min(nodes - 2) {
        let n = nodes / 2 + death;
        alive.retain(|other| *other != n);
        let since = Instant::now();
        fleet.members[n].node.kill();
        let (name, within) = (format!("n{n}"), ms(2 * detection_ms));
        let found = wait_until(fleet, since, within, &alive, |answer| answer.failed.contains(&name));
        report.rule("a loss was not found by all", found.len() == alive.len());
        took_ms.extend(found);
    }
    took_ms.sort_unstable();
    took_ms
}

/// What the processes have shown.
struct ProcessFigures {
    /// In calm, without `[members]` and with it.
    without: IdleUsage,
    with: IdleUsage,
    /// How long each took to know all others, and losses to be found, in ms, sorted.
    met_ms: Vec<u64>,
    detected_ms: Vec<u64>,
    /// Processes that are still there at the end.
    left: usize,
}

fn measure_processes(
    report: &mut Report, seed: u64, nodes: usize, detection_ms: u64,
) -> Result<ProcessFigures, ScenarioError> {
    let mut fleet = start_idle_fleet(nodes, FILE_WITHOUT_MEMBERS.into(), seed)?;
    std::thread::sleep(STARTUP_TIME);
    let without = measure_idle(&fleet, false);
    let mut left = fleet.end();
    drop(fleet);
    let mut fleet = start_idle_fleet(nodes, operator_file(nodes), seed)?;
    let begun = fleet.members.iter().map(|m| m.since).max().unwrap_or(fleet.start);
    let all: Vec<usize> = (0..nodes).collect();
    let met_ms = wait_until(&fleet, begun, DISCOVERY_TIMEOUT, &all, |answer| answer.alive + 1 >= nodes);
    std::thread::sleep(STARTUP_TIME);
    let with = measure_idle(&fleet, true);
    let detected_ms = crash_processes(report, &mut fleet, detection_ms);
    left += fleet.end();
    Ok(ProcessFigures { without, with, met_ms, detected_ms, left })
}

/// Plays so many processes beside as many simulated members.
pub fn compare_with_processes(report: &mut Report, seed: u64, nodes: usize) -> Result<(), ScenarioError> {
    let nodes = nodes.clamp(*FLEET_SIZES.start(), *FLEET_SIZES.end());
    let mut simulated = Report::default();
    let options = MembersOptions { nodes, seed, kind: ScenarioKind::Quiet, loss: 0.0, quick: false };
    run_with_intervals(&mut simulated, &options, intervals(nodes));
    simulated.broken().iter().for_each(|rule| report.rule(rule, false));
    let timing = LeaseTiming::from_intervals(PROBE_MS * US_PER_MS, SUSPICION_MS * US_PER_MS, nodes);
    let detection_ms = timing.detection_time / US_PER_MS;
    let real = measure_processes(report, seed, nodes, detection_ms)?;
    report_comparison(report, &real, &simulated);
    report.set("notice_ms", json!(detection_ms));
    report.set("nodes", json!(nodes));
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    report.set("load", json!(load.trim()));
    report.set("left_processes", json!(real.left));
    report.rule("they did not find each other", real.met_ms.len() == nodes);
    let in_time = real.detected_ms.last().is_none_or(|last| *last <= detection_ms + POLLING_ALLOWANCE_MS);
    report.rule("a loss was found later than is promised", in_time);
    report.rule("a process was left behind", real.left == 0);
    Ok(())
}

/// The figures of processes beside those of simulated members.
fn report_comparison(report: &mut Report, real: &ProcessFigures, simulated: &Report) {
    let (with, without) = (&real.with, &real.without);
    let cpu = round(with.cpu_ms_per_s - without.cpu_ms_per_s);
    let memory = round(with.memory_kb - without.memory_kb);
    for (name, value) in [
        ("found_ms", json!(real.met_ms.last())),
        ("detect_ms_p50", json!(real.detected_ms.get(real.detected_ms.len() / 2))),
        ("detect_ms_max", json!(real.detected_ms.last())),
        ("datagrams_per_s", json!(with.datagrams_per_s)),
        ("bytes_per_s", json!(with.bytes_per_s)),
        ("cpu_ms_per_s", json!(cpu)),
        ("memory_kb", json!(memory)),
    ] {
        let beside: Value = json!({"real": value, "hollow": simulated.figure(name).unwrap_or(0.0)});
        report.set(name, beside);
    }
    let cpu = json!({"members": with.cpu_ms_per_s, "off": without.cpu_ms_per_s});
    report.set("cpu_ms_per_s_of_the_process", cpu);
    let memory = json!({"members": with.memory_kb, "off": without.memory_kb});
    report.set("memory_kb_of_the_process", memory);
    report.set("pauses_per_s", json!(with.pauses_per_s));
}
