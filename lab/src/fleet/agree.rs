//! `fleet-agree`: real processes that agree on lists. One caller is let in and barred in turns, by an operator at any
//! node, while faults go on; a stand-in of that caller asks every node all the time, and its answers tell who acts on what.

use super::members::{ask, setup, FILE};
use super::restart_recovery::{ms, Terms, COLD};
use super::script::{Line, Played, What};
use super::{Fleet, Plan};
use crate::amqp::PRICE;
use crate::load::{frame, request, unix_us};
use crate::report::{Fault, Report};
use crate::world::{Method, Setup};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CALLER: u64 = 77;
const LEASE: u64 = 1_000; // ms
const STATED: u64 = LEASE + LEASE / 20 + LEASE / 5;
const SEEN: u64 = 150; // ms between two askings of one node, and what an answer takes
const PHASE: u64 = 3_000; // ms between two changes
const PHASES: usize = 8;

/// One asking: when it was sent, whom, and whether it was served.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: u64,
    node: usize,
    served: bool,
}

#[derive(Default)]
struct Ledger {
    asked: Vec<Asked>,
    unanswered: Vec<(usize, Instant)>,
}

/// Asks one node again and again, over a connection that is made anew when it breaks.
fn caller(at: SocketAddr, node: usize, start: Instant, ledger: &Mutex<Ledger>, ends: &AtomicBool) {
    while !ends.load(Ordering::Acquire) {
        let Ok(mut line) = TcpStream::connect_timeout(&at, ms(200)) else {
            std::thread::sleep(ms(30));
            continue;
        };
        line.set_nodelay(true).unwrap_or_default();
        line.set_read_timeout(Some(ms(2_500))).unwrap_or_default();
        for stream in 1.. {
            if ends.load(Ordering::Acquire) {
                return;
            }
            let fields = [
                ("route", PRICE.name.to_string()),
                ("trace", format!("{:016x}", unix_us() ^ (node as u64) << 56)),
                ("born", (unix_us() / 1_000).to_string()),
                ("client", CALLER.to_string()),
                ("patience", "1500".to_string()),
                ("size", "4".to_string()),
            ];
            let (sent, since) = (start.elapsed().as_millis() as u64, Instant::now());
            if line.write_all(&request(stream, &fields, b"price 77")).is_err() {
                break;
            }
            let answer = loop {
                match frame(&mut line) {
                    Some((2, on, payload)) if on == stream => break Some(payload),
                    Some(_) => {}
                    None => break None,
                }
            };
            let mut ledger = ledger.lock().unwrap_or_else(|e| e.into_inner());
            match answer.as_deref().and_then(|payload| payload.first()) {
                // What was aborted tells nothing of lists.
                Some(5) => {}
                Some(code) => ledger.asked.push(Asked { at: sent, node, served: *code == 0 }),
                None if since.elapsed() >= ms(2_400) => ledger.unanswered.push((node, since)),
                None => {}
            }
            drop(ledger);
            if answer.is_none() {
                break;
            }
            std::thread::sleep(ms(40));
        }
    }
}

/// The faults of a seed, and what they are called; times in ms from the first change on.
fn draw(nodes: usize, seed: u64) -> (&'static str, Vec<Line>) {
    let mut chance = StdRng::seed_from_u64(seed ^ 0xa9ee);
    let line = |at_ms, what, whom: &[usize]| Line { at_ms, what, whom: whom.to_vec() };
    let (from, to) = (PHASE - 700, PHASE * 5 - 500);
    let other = chance.random_range(3..nodes);
    let keeper = chance.random_range(0..3);
    let rest = |of: &[usize]| -> Vec<usize> { (0..nodes).filter(|n| !of.contains(n)).collect() };
    let split = |one: &[usize]| What::Split(vec![one.to_vec(), rest(one)]);
    match seed % 7 {
        0 => ("none", vec![]),
        1 => ("one cut off", vec![line(from, split(&[other]), &[]), line(to, What::Heal, &[])]),
        2 => ("a keeper cut off", vec![line(from, split(&[keeper]), &[]), line(to, What::Heal, &[])]),
        3 => {
            ("keepers cut from the rest", vec![line(from, split(&[0, 1, 2]), &[]), line(to, What::Heal, &[])])
        }
        4 => {
            let mut lines = Vec::new();
            for (i, n) in [0, 1, 2].into_iter().enumerate() {
                lines.push(line(from + i as u64 * 2_500, What::Kill, &[n]));
                lines.push(line(from + i as u64 * 2_500 + 900, What::Start, &[n]));
            }
            ("keepers killed in turns", lines)
        }
        5 => ("a holder paused", vec![line(from, What::Pause, &[other]), line(to, What::Resume, &[other])]),
        _ => (
            "all keepers killed",
            vec![line(from, What::Kill, &[0, 1, 2]), line(from + 800, What::Start, &[0, 1, 2])],
        ),
    }
}

/// The scenario.
pub fn scenario(report: &mut Report, terms: &Terms) -> Result<(), Fault> {
    let nodes = terms.nodes.max(5);
    let (kind, lines) = draw(nodes, terms.seed);
    let quick = [Method { work: ms(0), ..PRICE }];
    let fleet_file = "[fleet]\nkeeper n0\nkeeper n1\nkeeper n2\nlease 1s\ntick 20ms\n";
    let setup = Setup {
        file: Some(format!("{FILE}expect {nodes}\n{fleet_file}")),
        program: terms.other.clone(),
        shared: None,
        ..setup(&quick, nodes)
    };
    let plan = Plan { nodes, setup, cold: COLD, slots: 10, call: ms(1), mesh: Some(terms.seed) };
    let mut fleet = Fleet::start(&plan)?;
    let (ledger, ends) = (Arc::new(Mutex::new(Ledger::default())), Arc::new(AtomicBool::new(false)));
    for n in 0..nodes {
        let (at, start, ledger, ends) = (fleet.members[n].node.at, fleet.start, ledger.clone(), ends.clone());
        std::thread::spawn(move || caller(at, n, start, &ledger, &ends));
    }
    // Until all act on what the keepers say.
    let ready = |fleet: &Fleet, n: usize| {
        ask(&fleet.members[n].node.dir, &json!({"v": 1, "do": "fleet"}))
            .is_some_and(|v| v["lease_ms"].as_u64() > Some(0))
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !(0..nodes).all(|n| ready(&fleet, n)) {
        if Instant::now() > until {
            return Err("the processes do not come to act under a lease".into());
        }
        std::thread::sleep(ms(100));
    }
    let offset = fleet.at_ms() + 200;
    let mut chance = StdRng::seed_from_u64(terms.seed);
    let (mut played, mut next, mut done, mut phases, mut took) =
        (Played::default(), 0, Vec::new(), Vec::new(), Vec::new());
    let mut lost_majority = 0;
    for phase in 0..=PHASES {
        let at = offset + phase as u64 * PHASE;
        while fleet.at_ms() < at {
            while lines.get(next).is_some_and(|line| line.at_ms + offset <= fleet.at_ms()) {
                fleet.suffer(&lines[next], &mut played)?;
                next += 1;
            }
            std::thread::sleep(ms(5));
        }
        if phase == PHASES {
            break;
        }
        let standing = if phase % 2 == 0 { "in" } else { "out" };
        let row = json!([{"key": CALLER.to_string(), "standing": standing}]);
        let wish = json!({"v": 1, "do": "list-change", "list": "callers", "entries": row});
        let by = chance.random_range(0..3);
        let start = fleet.at_ms();
        let told = ask(&fleet.members[by].node.dir, &wish);
        let settled = told.as_ref().and_then(|told| told["version"].as_u64()).filter(|n| *n > 0);
        match (settled, told.as_ref().and_then(|told| told["hash"].as_str())) {
            (Some(number), Some(hash)) => {
                took.push(fleet.at_ms() - start);
                done.push((number, hash.to_string()));
                phases.push((start, fleet.at_ms(), standing));
            }
            _ => lost_majority += 1,
        }
    }
    std::thread::sleep(ms(1_500));
    ends.store(true, Ordering::Release);
    std::thread::sleep(ms(300));
    // What each says at the end: the newest, and that nothing told as done is gone.
    let (mut newest, mut lost, mut other_hash) = (Vec::new(), 0, 0);
    for n in 0..nodes {
        let told = ask(&fleet.members[n].node.dir, &json!({"v": 1, "do": "fleet"})).unwrap_or_default();
        newest.push(told["version"].as_u64().unwrap_or(0));
        for (number, hash) in &done {
            lost += u64::from(told["newest"].as_u64().unwrap_or(0) < *number);
            let known =
                told["versions"].as_array().into_iter().flatten().find(|v| v["version"] == json!(number));
            other_hash += u64::from(known.is_some_and(|v| v["hash"] != json!(hash)));
        }
    }
    let ledger = std::mem::take(&mut *ledger.lock().unwrap_or_else(|e| e.into_inner()));
    let unanswered = played.excuse(&ledger.unanswered);
    // Somebody was served after another had been turned away by a bar that was settled.
    let (mut contradiction, mut back, mut late) = (0, 0, 0);
    for (i, (start, settled, standing)) in phases.iter().enumerate() {
        let over = phases.get(i + 1).map_or(u64::MAX, |(start, _, _)| *start);
        let of = |n: usize, from: u64| {
            ledger.asked.iter().filter(move |a| a.node == n && a.at >= from && a.at < over)
        };
        if *standing == "in" {
            continue;
        }
        // First turned away, at a keeper whose lease held: it was served just before.
        let first = (0..nodes).filter_map(|n| {
            let served =
                ledger.asked.iter().any(|a| a.node == n && a.served && a.at < *start && a.at + 500 > *start);
            of(n, *start).find(|a| !a.served).filter(|_| served).map(|a| a.at)
        });
        let Some(first) = first.min() else { continue };
        for n in 0..nodes {
            contradiction =
                contradiction.max(of(n, first).filter(|a| a.served).map(|a| a.at - first).max().unwrap_or(0));
            let turned = of(n, *start).find(|a| !a.served).map(|a| a.at);
            back += turned.map_or(0, |turned| of(n, turned).filter(|a| a.served).count());
            late += of(n, settled + STATED + SEEN).filter(|a| a.served).count();
        }
    }
    took.sort_unstable();
    let silent = fleet.members.iter().all(|m| !m.node.read_log().contains("panick"));
    let left = fleet.end();
    let cut_served = ledger.asked.iter().filter(|a| a.served).count();
    for (name, value) in [
        ("kind", json!(kind)),
        ("nodes", json!(nodes)),
        ("versions", json!(done.len())),
        ("wishes_without_majority", json!(lost_majority)),
        ("stated_ms", json!(STATED)),
        ("contradiction_ms_max", json!(contradiction)),
        ("served_after_the_stated_time", json!(late)),
        ("older_after_newer", json!(back)),
        ("lost_versions", json!(lost)),
        ("other_histories", json!(other_hash)),
        ("propose_ms_p50", json!(took.get(took.len() / 2))),
        ("propose_ms_max", json!(took.last())),
        ("no_final_answer", json!(unanswered)),
        ("asked", json!(ledger.asked.len())),
        ("served", json!(cut_served)),
        ("newest", json!(newest)),
        ("left_processes", json!(left)),
    ] {
        report.set(name, value);
    }
    let same = newest.iter().all(|n| *n == newest[0] && *n >= done.last().map_or(1, |(n, _)| *n));
    report.rule("an RPC got no final answer", unanswered == 0);
    report.rule("answers contradicted each other for longer than is stated", contradiction <= STATED + SEEN);
    report.rule("a bar was not in force everywhere in the stated time", late == 0);
    report.rule("a node went back to an older version", back == 0);
    report.rule("a version that was told as done is gone", lost == 0);
    report.rule("two histories of a version", other_hash == 0);
    report.rule("not all act on the newest version at the end", same);
    report.rule("too few versions came about to show anything", done.len() >= PHASES / 2);
    report.rule("a process was left behind", left == 0);
    report.rule("a process panicked", silent);
    if !report.broken().is_empty() {
        lines.iter().for_each(|line| eprintln!("{line}"));
        phases.iter().for_each(|phase| eprintln!("{phase:?}"));
    }
    Ok(())
}
