//! `members-cpu`: CPU time of a framed RPC at one of several processes, with and without `[members]` in alternating
//! rounds; reports medians of five rounds.

use super::setup::{member_setup, operator_file, FILE_WITHOUT_MEMBERS};
use crate::fleet::cluster::{Fleet, FleetConfig};
use crate::fleet::workload::COLD_START;
use crate::load::{run_load, sum, RateSpan};
use crate::method::{FRAMED_METHODS, LOOK_UP, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use crate::time::ms;
use serde_json::json;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 5;
const WARM_UP: Duration = ms(500);
/// Time until all processes have discovered each other.
const DISCOVERY_WAIT: Duration = ms(6_000);
const UPSTREAM_SLOTS: usize = 1_000;

/// Starts a fleet whose runs do no work, with this operator's file, on a network with this seed.
pub fn start_idle_fleet(nodes: usize, file: String, seed: u64) -> Result<Fleet, ScenarioError> {
    let methods = [TILL_PRICE, LOOK_UP].map(|method| method.without_work());
    let setup = Setup { operator_file: Some(file), shared_upstream: None, ..member_setup(&methods, nodes) };
    Fleet::start(&FleetConfig {
        nodes,
        setup,
        cold_start: COLD_START,
        upstream_slots: UPSTREAM_SLOTS,
        upstream_call_time: ms(0),
        network_seed: Some(seed),
    })
}

type Figure = fn(&Round) -> f64;

/// Figures of one round.
struct Round {
    cpu_us_per_rpc: f64,
    /// CPU time of a process without RPCs, in microseconds per second.
    idle_cpu_us_per_s: f64,
}

fn run_round(
    nodes: usize, file: &str, load: RateSpan, seed: u64, round: u64,
) -> Result<Round, ScenarioError> {
    let never_stopped = AtomicBool::new(false);
    let fleet = start_idle_fleet(nodes, file.to_string(), seed + round)?;
    std::thread::sleep(DISCOVERY_WAIT);
    let node = &fleet.members[0].node;
    let others = || fleet.members[1..].iter().map(|m| m.node.cpu_us()).sum::<u64>();
    run_load(
        node.address,
        &FRAMED_METHODS,
        &[RateSpan::new(WARM_UP, load.rate)],
        seed + 50 + round,
        &never_stopped,
    )?;
    let (before, others_before, start) = (node.cpu_us(), others(), Instant::now());
    let stats = run_load(node.address, &FRAMED_METHODS, &[load], seed + round, &never_stopped)?;
    let rpcs = sum(&stats, |s| s.sent).max(1);
    let cpu_us_per_rpc = (node.cpu_us() - before) as f64 / rpcs as f64;
    let idle_cpu_us = (others() - others_before) as f64 / (nodes - 1) as f64;
    Ok(Round { cpu_us_per_rpc, idle_cpu_us_per_s: idle_cpu_us / start.elapsed().as_secs_f64() })
}

/// Runs the scenario.
pub fn cpu(report: &mut Report, seed: u64, nodes: usize, load: RateSpan) -> Result<(), ScenarioError> {
    let files = [("off", FILE_WITHOUT_MEMBERS.to_string()), ("on", operator_file(nodes))];
    let mut rounds = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        for ((_, file), rounds) in files.iter().zip(&mut rounds) {
            rounds.push(run_round(nodes, file, load, seed, round)?);
        }
    }
    let figures: [(&str, Figure); 2] = [
        ("cpu_us_per_rpc", |round| round.cpu_us_per_rpc),
        ("cpu_us_per_s_of_an_idle_one", |round| round.idle_cpu_us_per_s),
    ];
    for (name, figure) in figures {
        for ((with, _), rounds) in files.iter().zip(&rounds) {
            let mut all: Vec<f64> = rounds.iter().map(figure).collect();
            all.sort_by(f64::total_cmp);
            report.set(&format!("{name}_{with}"), json!(all[all.len() / 2]));
            report.set(&format!("{name}_{with}_all"), json!(all));
        }
    }
    report.set("nodes", json!(nodes));
    Ok(())
}
