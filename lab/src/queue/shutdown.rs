//! `amqp-drain`: a graceful shutdown in the middle of deliveries, framed RPCs and a half-sent delivery.

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

const SLOW: Duration = Duration::from_millis(20); // work of a message
const GRACE_MS: f64 = 2_900.0; // within which the broker has to be left

/// Plays it.
pub fn shutdown(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let half_at = 150 + rng.random_range(0..50);
    let script =
        FaultScript { faults: [(half_at, BrokerFault::SplitContent)].into(), ..FaultScript::default() };
    let broker = Broker::start(script)?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let file = operator_file(&[&broker], STOCK_UPDATE.name, "prefetch 32\n");
    let slow = Method { work: SLOW, ..STOCK_UPDATE };
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, slow], Some(file));
    let mut backend = Backend::start(&setup, &broker.password())?;
    let (at, stop) = (backend.node.address, Arc::new(AtomicBool::new(false)));
    let load = {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let rates = [RateSpan::new(Duration::from_secs(30), 100.0)];
            run_load(at, &FRAMED_METHODS, &rates, seed, &stop).map_err(|e| e.to_string())
        })
    };
    let half = wait_until(Duration::from_secs(20), || broker.ledger().faults == 1);
    report.rule("the half delivery was not reached", half);
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    stop.store(true, Ordering::Release);
    let stats = load.join().map_err(|_| "the load ended badly")??;
    check_framed(report, &stats);
    report.set("drain_ms", json!(took_ms));
    report.rule("the broker was not left within the grace", took_ms < GRACE_MS);
    let ledger = broker.ledger();
    report.rule("the connection was not closed well", ledger.closed_cleanly == 1);
    check_runs_once(report, &backend);
    report.set("framed_ok", json!(sum(&stats, |s| s.ok)));
    report_broker_ledger(report, &ledger);
    Ok(())
}
