//! Scenario `demo`: framed RPCs with a jump in load beside a queue, with progress on the terminal and a table at the
//! end.

use super::rules::{check_framed, report_broker_ledger, shut_down};
use super::setup::{backend_setup, endless_stock_queue, operator_file, QUEUE};
use crate::backend::Backend;
use crate::broker::{Broker, BrokerLedger, FaultScript};
use crate::load::{run_load, LoadStats, RateSpan};
use crate::method::{FRAMED_METHODS, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use serde_json::json;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const STEADY_RPCS_PER_S: f64 = 150.0;
const JUMP_RPCS_PER_S: f64 = 900.0;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs `demo` for `duration`, with a jump in load during the second third.
pub fn demo(report: &mut Report, seed: u64, duration: Duration) -> Result<(), ScenarioError> {
    let broker = Broker::start(FaultScript::default())?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let file = operator_file(&[&broker], STOCK_UPDATE.name, "caller 900\nprefetch 32\n");
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, STOCK_UPDATE], Some(file));
    let mut backend = Backend::start(&setup, &broker.password())?;
    println!("asterrilld serves framed RPCs at {} and consumes the queue {QUEUE}", backend.node.address);
    let third = duration / 3;
    let rates =
        [STEADY_RPCS_PER_S, JUMP_RPCS_PER_S, STEADY_RPCS_PER_S].map(|rate| RateSpan::new(third, rate));
    let (address, never_stopped) = (backend.node.address, AtomicBool::new(false));
    let load = std::thread::spawn(move || {
        run_load(address, &FRAMED_METHODS, &rates, seed, &never_stopped).map_err(|e| e.to_string())
    });
    let start = Instant::now();
    let mut runs_before = 0;
    while !load.is_finished() {
        std::thread::sleep(PROGRESS_INTERVAL);
        let (ledger, runs) = (broker.ledger(), backend.agent.state().started);
        let steady = start.elapsed() < third || start.elapsed() > third * 2;
        println!(
            "{:3} s  {:6}  runs per second {:5}  deliveries settled {:6}",
            start.elapsed().as_secs(),
            if steady { "steady" } else { "jump" },
            runs - runs_before,
            ledger.acked + ledger.rejected
        );
        runs_before = runs;
    }
    let stats = load.join().map_err(|_| "the load thread panicked")??;
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    let ledger = broker.ledger();
    print_table(&stats, &ledger);
    check_framed(report, &stats);
    report.set("drain_ms", json!(took_ms));
    report_broker_ledger(report, &ledger);
    Ok(())
}

fn print_table(stats: &LoadStats, ledger: &BrokerLedger) {
    println!(
        "\n{:14} {:>7} {:>7} {:>7} {:>11} {:>8}",
        "method", "sent", "ok", "in time", "rejected", "aborted"
    );
    for (name, s) in stats {
        println!("{name:14} {:7} {:7} {:7} {:11} {:8}", s.sent, s.ok, s.in_time, s.rejected, s.aborted);
    }
    println!(
        "{:14} {:7} {:7} {:>7} {:11} {:8}   delivered, acknowledged, requeued, rejected\n",
        STOCK_UPDATE.name, ledger.deliveries, ledger.acked, "", ledger.requeued, ledger.rejected
    );
}
