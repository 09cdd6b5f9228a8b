//! Scenario `amqp-drain`: a graceful shutdown during deliveries, framed RPCs and an incomplete delivery.

use super::rules::{check_framed, check_runs_once, report_broker_ledger, shut_down};
use super::setup::{backend_setup, endless_stock_queue, operator_file};
use crate::backend::{wait_until, Backend};
use crate::broker::{Broker, BrokerFault, FaultScript};
use crate::load::{run_load, sum, RateSpan};
use crate::method::{Method, FRAMED_METHODS, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time that the run of a message occupies a core.
const SLOW_WORK: Duration = Duration::from_millis(20);
/// Time within which the connection to the broker has to be closed.
const MAX_CLOSE_MS: f64 = 2_900.0;

/// Runs `amqp-drain`.
pub fn shutdown(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let split_at = 150 + rng.random_range(0..50);
    let script =
        FaultScript { faults: [(split_at, BrokerFault::SplitContent)].into(), ..FaultScript::default() };
    let broker = Broker::start(script)?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let file = operator_file(&[&broker], STOCK_UPDATE.name, "prefetch 32\n");
    let slow = Method { work: SLOW_WORK, ..STOCK_UPDATE };
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, slow], Some(file));
    let mut backend = Backend::start(&setup, &broker.password())?;
    let (address, stop) = (backend.node.address, Arc::new(AtomicBool::new(false)));
    let load = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let rates = [RateSpan::new(Duration::from_secs(30), 100.0)];
            run_load(address, &FRAMED_METHODS, &rates, seed, &stop).map_err(|e| e.to_string())
        })
    };
    let split_sent = wait_until(Duration::from_secs(20), || broker.ledger().faults == 1);
    report.rule("the split delivery was not sent within 20 s", split_sent);
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    stop.store(true, Ordering::Release);
    let stats = load.join().map_err(|_| "the load thread panicked")??;
    check_framed(report, &stats);
    report.set("drain_ms", json!(took_ms));
    report.rule("the broker connection was not closed within 2.9 s", took_ms < MAX_CLOSE_MS);
    let ledger = broker.ledger();
    report.rule("not exactly one broker connection was closed with code 200", ledger.closed_cleanly == 1);
    check_runs_once(report, &backend);
    report.set("framed_ok", json!(sum(&stats, |s| s.ok)));
    report_broker_ledger(report, &ledger);
    Ok(())
}
