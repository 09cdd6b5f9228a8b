//! `members-cpu`: CPU of a framed RPC at one of so many processes, with `[members]` and without, in turns: medians of
//! five.

use super::setup::{member_setup, operator_file, FILE_WITHOUT_MEMBERS};
use crate::fleet::cluster::{Fleet, Plan};
use crate::fleet::workload::COLD;
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
const ALL_KNOWN: Duration = ms(6_000); // until all know each other
const SLOTS: usize = 1_000;

/// A fleet whose runs cost nothing, with this operator's file, on a network with this seed.
pub fn start_idle_fleet(nodes: usize, file: String, seed: u64) -> Result<Fleet, ScenarioError> {
    let methods = [TILL_PRICE, LOOK_UP].map(|method| method.without_work());
    let setup = Setup { operator_file: Some(file), shared_upstream: None, ..member_setup(&methods, nodes) };
    Fleet::start(&Plan { nodes, setup, cold: COLD, slots: SLOTS, call: ms(0), network: Some(seed) })
}

type Figure = fn(&Round) -> f64;

/// What one round has shown.
struct Round {
    cpu_us_per_rpc: f64,
    /// Of a process without RPCs, in microseconds a second.
    idle_cpu_us_per_s: f64,
}

fn run(nodes: usize, file: &str, load: RateSpan, seed: u64, round: u64) -> Result<Round, ScenarioError> {
    let never = AtomicBool::new(false);
    let fleet = start_idle_fleet(nodes, file.to_string(), seed + round)?;
    std::thread::sleep(ALL_KNOWN);
    let node = &fleet.members[0].node;
    let others = || fleet.members[1..].iter().map(|m| m.node.cpu_us()).sum::<u64>();
    run_load(node.address, &FRAMED_METHODS, &[RateSpan::new(WARM_UP, load.rate)], seed + 50 + round, &never)?;
    let (before, others_before, start) = (node.cpu_us(), others(), Instant::now());
    let stats = run_load(node.address, &FRAMED_METHODS, &[load], seed + round, &never)?;
    let rpcs = sum(&stats, |s| s.sent).max(1);
    let cpu_us_per_rpc = (node.cpu_us() - before) as f64 / rpcs as f64;
    let each = (others() - others_before) as f64 / (nodes - 1) as f64;
    Ok(Round { cpu_us_per_rpc, idle_cpu_us_per_s: each / start.elapsed().as_secs_f64() })
}

/// Plays it.
pub fn cpu(report: &mut Report, seed: u64, nodes: usize, load: RateSpan) -> Result<(), ScenarioError> {
    let files = [("off", FILE_WITHOUT_MEMBERS.to_string()), ("on", operator_file(nodes))];
    let mut rounds = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        for ((_, file), rounds) in files.iter().zip(&mut rounds) {
            rounds.push(run(nodes, file, load, seed, round)?);
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
