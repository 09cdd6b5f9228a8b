//! A comparison of real processes with simulated members at the same intervals, which shows what the simulation omits.
//!
//! Each process has an agent and proxies. Datagrams pass through relays in this process, whose CPU time does not
//! count for the measured processes.

use super::options::{MembersOptions, ScenarioKind};
use super::scenario::run_with_intervals;
use crate::fleet::members::setup::{
    operator_file, request_within, ANNOUNCE_MS, FILE_WITHOUT_MEMBERS, JOIN_DELAY_MS, PROBE_MS, SUSPICION_MS,
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

/// Numbers of processes that can be started.
const FLEET_SIZES: RangeInclusive<usize> = 4..=40;
const STARTUP_TIME: Duration = ms(3_000);
const IDLE_PHASE: Duration = ms(15_000);
const DISCOVERY_TIMEOUT: Duration = ms(60_000);
const CRASHES: usize = 3;
/// Maximum number of requests for counters: on a busy machine, a request may time out.
const MAX_COUNTER_ATTEMPTS: usize = 20;
const ANSWER_TIMEOUT: Duration = ms(400);
const POLL_INTERVAL: Duration = ms(20);
/// Time that polling may add to the bound on detection.
const POLLING_ALLOWANCE_MS: u64 = 500;
const US_PER_MS: u64 = 1_000;

/// Returns the intervals that the operator's file of the processes has.
fn intervals(nodes: usize) -> MembershipConfig {
    let us = |ms: u64| -> Us { ms * US_PER_MS };
    MembershipConfig {
        probe_interval: us(PROBE_MS),
        suspicion_timeout: us(SUSPICION_MS),
        announce_interval: us(ANNOUNCE_MS),
        join_delay: us(JOIN_DELAY_MS),
        forget_after: us(3_600_000),
        flap_window: us(60_000),
        expected_members: nodes,
    }
}

/// The view of one process of the other members.
struct MembersAnswer {
    alive: usize,
    failed: BTreeSet<String>,
    counters: Counters,
}

/// Counters of sent datagrams, of their bytes, and of pauses.
#[derive(Clone, Copy, Default)]
struct Counters {
    sent: u64,
    bytes: u64,
    pauses: u64,
}

/// Queries the members that a process sees, and its counters.
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

/// Returns the counters of a process, or zeros if it does not answer.
fn counters(fleet: &Fleet, n: usize) -> Counters {
    let answer = (0..MAX_COUNTER_ATTEMPTS).find_map(|_| query_members(fleet, n));
    answer.map_or(Counters::default(), |answer| answer.counters)
}

/// Polls processes until a condition holds for each. Returns the sorted times in milliseconds after which it held;
/// processes for which it did not hold before the timeout are missing.
fn wait_until(
    fleet: &Fleet, since: Instant, timeout: Duration, processes: &[usize],
    holds: impl Fn(&MembersAnswer) -> bool,
) -> Vec<u64> {
    let (mut pending, mut elapsed_ms) = (processes.to_vec(), Vec::new());
    while !pending.is_empty() && since.elapsed() < timeout {
        pending.retain(|n| {
            let held = query_members(fleet, *n).is_some_and(|answer| holds(&answer));
            if held {
                elapsed_ms.push(since.elapsed().as_millis() as u64);
            }
            !held
        });
        std::thread::sleep(POLL_INTERVAL);
    }
    elapsed_ms.sort_unstable();
    elapsed_ms
}

/// Mean resource usage of one idle process.
struct IdleUsage {
    cpu_ms_per_s: f64,
    /// Anonymous resident memory.
    memory_kb: f64,
    datagrams_per_s: f64,
    bytes_per_s: f64,
    pauses_per_s: f64,
}

/// Measures idle processes. Their counters are queried only if `with_members` is set, which requires membership.
fn measure_idle(fleet: &Fleet, with_members: bool) -> IdleUsage {
    let nodes = fleet.members.len();
    let average = |of: &dyn Fn(usize) -> f64| (0..nodes).map(of).sum::<f64>() / nodes.max(1) as f64;
    let cpu_ms = || average(&|n| fleet.members[n].node.cpu_us() as f64 / 1e3);
    let read =
        || -> Vec<Counters> { (0..nodes).filter(|_| with_members).map(|n| counters(fleet, n)).collect() };
    let (before, started_at) = (read(), Instant::now());
    let cpu_before = cpu_ms();
    std::thread::sleep(IDLE_PHASE);
    let cpu = cpu_ms() - cpu_before;
    let (span, after) = (started_at.elapsed().as_secs_f64(), read());
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

/// Kills processes in sequence. Returns the sorted times in milliseconds until each of the others detected the failure.
fn crash_processes(report: &mut Report, fleet: &mut Fleet, detection_ms: u64) -> Vec<u64> {
    let nodes = fleet.members.len();
    let (mut alive, mut detected_ms): (Vec<usize>, Vec<u64>) = ((0..nodes).collect(), Vec::new());
    for crash in 0..CRASHES.min(nodes - 2) {
        let n = nodes / 2 + crash;
        alive.retain(|other| *other != n);
        let killed_at = Instant::now();
        fleet.members[n].node.kill();
        let (name, timeout) = (format!("n{n}"), ms(2 * detection_ms));
        let found = wait_until(fleet, killed_at, timeout, &alive, |answer| answer.failed.contains(&name));
        report.rule("not all members detected a failure", found.len() == alive.len());
        detected_ms.extend(found);
    }
    detected_ms.sort_unstable();
    detected_ms
}

/// Figures of the processes.
struct ProcessFigures {
    /// Idle usage without `[members]`.
    without_members: IdleUsage,
    /// Idle usage with `[members]`.
    with_members: IdleUsage,
    /// Sorted times until each process knew all others.
    discovered_ms: Vec<u64>,
    /// Sorted times until failures were detected.
    detected_ms: Vec<u64>,
    /// Number of processes that are still running at the end.
    leftover_processes: usize,
}

fn measure_processes(
    report: &mut Report, seed: u64, nodes: usize, detection_ms: u64,
) -> Result<ProcessFigures, ScenarioError> {
    let mut fleet = start_idle_fleet(nodes, FILE_WITHOUT_MEMBERS.into(), seed)?;
    std::thread::sleep(STARTUP_TIME);
    let without_members = measure_idle(&fleet, false);
    let mut leftover_processes = fleet.kill_all();
    drop(fleet);
    let mut fleet = start_idle_fleet(nodes, operator_file(nodes), seed)?;
    let started_at = fleet.members.iter().map(|m| m.available_since).max().unwrap_or(fleet.start);
    let all: Vec<usize> = (0..nodes).collect();
    let discovered_ms =
        wait_until(&fleet, started_at, DISCOVERY_TIMEOUT, &all, |answer| answer.alive + 1 >= nodes);
    std::thread::sleep(STARTUP_TIME);
    let with_members = measure_idle(&fleet, true);
    let detected_ms = crash_processes(report, &mut fleet, detection_ms);
    leftover_processes += fleet.kill_all();
    Ok(ProcessFigures { without_members, with_members, discovered_ms, detected_ms, leftover_processes })
}

/// Runs the same number of real processes and of simulated members, and reports their figures side by side.
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
    report.set("left_processes", json!(real.leftover_processes));
    report.rule("not all members discovered each other in time", real.discovered_ms.len() == nodes);
    let in_time = real.detected_ms.last().is_none_or(|last| *last <= detection_ms + POLLING_ALLOWANCE_MS);
    report.rule("a failure was detected later than the documented bound", in_time);
    report.rule("a process was still running at the end", real.leftover_processes == 0);
    Ok(())
}

/// Reports the figures of the processes beside those of the simulated members.
fn report_comparison(report: &mut Report, real: &ProcessFigures, simulated: &Report) {
    let (with, without) = (&real.with_members, &real.without_members);
    let cpu = round(with.cpu_ms_per_s - without.cpu_ms_per_s);
    let memory = round(with.memory_kb - without.memory_kb);
    for (name, value) in [
        ("found_ms", json!(real.discovered_ms.last())),
        ("detect_ms_p50", json!(real.detected_ms.get(real.detected_ms.len() / 2))),
        ("detect_ms_max", json!(real.detected_ms.last())),
        ("datagrams_per_s", json!(with.datagrams_per_s)),
        ("bytes_per_s", json!(with.bytes_per_s)),
        ("cpu_ms_per_s", json!(cpu)),
        ("memory_kb", json!(memory)),
    ] {
        let pair: Value = json!({"real": value, "hollow": simulated.figure(name).unwrap_or(0.0)});
        report.set(name, pair);
    }
    let cpu = json!({"members": with.cpu_ms_per_s, "off": without.cpu_ms_per_s});
    report.set("cpu_ms_per_s_of_the_process", cpu);
    let memory = json!({"members": with.memory_kb, "off": without.memory_kb});
    report.set("memory_kb_of_the_process", memory);
    report.set("pauses_per_s", json!(with.pauses_per_s));
}
