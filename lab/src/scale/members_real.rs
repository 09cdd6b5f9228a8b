//! Real processes beside members in memory, with the same intervals: how hollow those are. Each process has the agent and
//! the relays that the rig gives it; datagrams go over relays, which are in this process and cost it, not them.

use super::members::{memory_kb, play, round, Kind, Terms};
use crate::fleet::members::setup::{
    operator_file, request_within, FILE_WITHOUT_MEMBERS, GREET_MS, PROBE_MS, SETTLE_MS, SUSPICION_MS,
};
use crate::fleet::members::start_idle_fleet;
use crate::fleet::Fleet;
use crate::report::{Fault, Report};
use asterrill_membership::{LeaseTiming, MembershipConfig};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const MOST: usize = 40; // processes
const CALM: Duration = ms(15_000);
const ANSWER_TIMEOUT: Duration = ms(400);
const DEATHS: usize = 3;
const ASKED: usize = 20; // times at the most
const LOOKS: Duration = ms(20); // between rounds of asking

/// The same intervals as in the processes' file.
fn intervals(expect: usize) -> MembershipConfig {
    let us = |ms: u64| ms * 1_000;
    MembershipConfig {
        probe_interval: us(PROBE_MS),
        suspicion_timeout: us(SUSPICION_MS),
        announce_interval: us(GREET_MS),
        join_delay: us(SETTLE_MS),
        forget_after: us(3_600_000),
        flap_window: us(60_000),
        expected_members: expect,
    }
}

/// What one process says of the others.
struct Told {
    alive: usize,
    failed: BTreeSet<String>,
    sent: u64,
    bytes: u64,
    pauses: u64,
}

fn told(fleet: &Fleet, n: usize) -> Option<Told> {
    let told = request_within(&fleet.members.get(n)?.node.dir, json!({"do": "members"}), ANSWER_TIMEOUT)?;
    let members = told["members"].as_array()?;
    let failed = members.iter().filter(|m| m["standing"] == json!("failed"));
    Some(Told {
        alive: members.iter().filter(|m| m["standing"] == json!("alive")).count(),
        failed: failed.filter_map(|m| m["name"].as_str().map(String::from)).collect(),
        sent: told["counters"]["sent"].as_u64()?,
        bytes: told["counters"]["sent_bytes"].as_u64()?,
        pauses: told["counters"]["pauses"].as_u64()?,
    })
}

/// Sent datagrams and bytes, and pauses; on a busy machine it may have to be asked for more than once.
fn counts(fleet: &Fleet, n: usize) -> [u64; 3] {
    let told = (0..ASKED).find_map(|_| told(fleet, n));
    told.map_or([0; 3], |told| [told.sent, told.bytes, told.pauses])
}

/// Asks those until each has said so, at most so long; how long after the moment each did, in ms.
fn until(
    fleet: &Fleet, since: Instant, most: Duration, whom: &[usize], so: impl Fn(&Told) -> bool,
) -> Vec<u64> {
    let (mut open, mut took) = (whom.to_vec(), Vec::new());
    while !open.is_empty() && since.elapsed() < most {
        open.retain(|n| {
            let said = told(fleet, *n).is_some_and(|told| so(&told));
            if said {
                took.push(since.elapsed().as_millis() as u64);
            }
            !said
        });
        std::thread::sleep(LOOKS);
    }
    took.sort_unstable();
    took
}

/// Of each over a time in which nothing happens: CPU in ms a second, KB of memory of its own, datagrams, bytes and pauses a
/// second.
fn calm(fleet: &Fleet, members: bool) -> [f64; 5] {
    let nodes = fleet.members.len();
    let all = |of: &dyn Fn(usize) -> f64| (0..nodes).map(of).sum::<f64>() / nodes.max(1) as f64;
    let cpu = || all(&|n| fleet.members[n].node.cpu_us() as f64 / 1e3);
    let counted = || -> Vec<[u64; 3]> { (0..nodes).filter(|_| members).map(|n| counts(fleet, n)).collect() };
    let (before, since) = (counted(), Instant::now());
    let used = cpu();
    std::thread::sleep(CALM);
    let used = cpu() - used;
    let (span, after) = (since.elapsed().as_secs_f64(), counted());
    let each = |which: usize| {
        let pairs =
            before.iter().zip(&after).map(|(before, after)| after[which].saturating_sub(before[which]));
        pairs.sum::<u64>() as f64 / span / nodes.max(1) as f64
    };
    let memory = all(&|n| memory_kb(&fleet.members[n].node.child.id().to_string(), "RssAnon:"));
    [used / CALM.as_secs_f64(), memory, each(0), each(1), each(2)].map(round)
}

/// The scenario.
pub fn scenario(report: &mut Report, seed: u64, nodes: usize) -> Result<(), Fault> {
    let nodes = nodes.clamp(4, MOST);
    let mut hollow = Report::default();
    let terms = Terms { nodes, seed, kind: Kind::Quiet, loss: 0.0, quick: false, real: None };
    play(&mut hollow, &terms, intervals(nodes));
    hollow.broken().iter().for_each(|rule| report.rule(rule, false));

    let mut off = start_idle_fleet(nodes, FILE_WITHOUT_MEMBERS.into(), seed)?;
    std::thread::sleep(ms(3_000));
    let [cpu_off, memory_off, ..] = calm(&off, false);
    let mut left = off.end();
    drop(off);

    let mut fleet = start_idle_fleet(nodes, operator_file(nodes), seed)?;
    let begun = fleet.members.iter().map(|m| m.since).max().unwrap_or(fleet.start);
    let mut all: Vec<usize> = (0..nodes).collect();
    let found = until(&fleet, begun, ms(60_000), &all, |told| told.alive + 1 >= nodes);
    std::thread::sleep(ms(3_000));
    let [cpu, memory, datagrams, bytes, pauses] = calm(&fleet, true);
    let notice =
        LeaseTiming::from_intervals(PROBE_MS * 1_000, SUSPICION_MS * 1_000, nodes).detection_time / 1_000;
    let mut took = Vec::new();
    for death in 0..DEATHS.min(nodes - 2) {
        let n = nodes / 2 + death;
        all.retain(|other| *other != n);
        let since = Instant::now();
        fleet.members[n].node.kill();
        let name = format!("n{n}");
        let one = until(&fleet, since, ms(2 * notice), &all, |told| told.failed.contains(&name));
        report.rule("a loss was not found by all", one.len() == all.len());
        took.extend(one);
    }
    took.sort_unstable();
    left += fleet.end();
    let figure = |name: &str| hollow.figure(name).unwrap_or(0.0);
    let beside = |real: Value, name: &str| json!({"real": real, "hollow": figure(name)});
    for (name, value) in [
        ("found_ms", beside(json!(found.last()), "found_ms")),
        ("detect_ms_p50", beside(json!(took.get(took.len() / 2)), "detect_ms_p50")),
        ("detect_ms_max", beside(json!(took.last()), "detect_ms_max")),
        ("datagrams_per_s", beside(json!(datagrams), "datagrams_per_s")),
        ("bytes_per_s", beside(json!(bytes), "bytes_per_s")),
        ("cpu_ms_per_s", beside(json!(round(cpu - cpu_off)), "cpu_ms_per_s")),
        ("memory_kb", beside(json!(round(memory - memory_off)), "memory_kb")),
        ("cpu_ms_per_s_of_the_process", json!({"members": cpu, "off": cpu_off})),
        ("memory_kb_of_the_process", json!({"members": memory, "off": memory_off})),
        ("pauses_per_s", json!(pauses)),
        ("notice_ms", json!(notice)),
        ("nodes", json!(nodes)),
        ("load", json!(std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim())),
        ("left_processes", json!(left)),
    ] {
        report.set(name, value);
    }
    report.rule("they did not find each other", found.len() == nodes);
    report.rule(
        "a loss was found later than is promised",
        took.last().is_none_or(|last| *last <= notice + 500),
    );
    report.rule("a process was left behind", left == 0);
    Ok(())
}
