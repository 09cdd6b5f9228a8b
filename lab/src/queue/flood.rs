//! Scenario `amqp-flood`: framed RPCs alone, then beside a queue that never empties.

use super::rules::{check_framed, report_broker_ledger, shut_down};
use super::setup::{backend_setup, endless_stock_queue, operator_file};
use crate::backend::Backend;
use crate::broker::{Broker, FaultScript};
use crate::load::{in_time, p99_ms, run_load, sum, RateSpan};
use crate::method::{FRAMED_METHODS, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use serde_json::json;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const WARM_UP: Duration = Duration::from_millis(1_000);

/// Service level of framed RPCs in one run.
struct Service {
    in_time: f64,
    p99_ms: f64,
}

/// Runs `amqp-flood` with framed RPCs for `duration` at `rate` per second.
pub fn flood(report: &mut Report, seed: u64, duration: Duration, rate: f64) -> Result<(), ScenarioError> {
    let alone = measure_service(report, seed, RateSpan::new(duration, rate), false)?;
    let flooded = measure_service(report, seed, RateSpan::new(duration, rate), true)?;
    report.set("framed_in_time_alone", json!(alone.in_time));
    report.set("framed_in_time_flooded", json!(flooded.in_time));
    report.set("p99_ms_alone", json!(alone.p99_ms));
    report.set("p99_ms_flooded", json!(flooded.p99_ms));
    report.rule("at most 90% of framed RPCs were in time without the queue", alone.in_time > 0.9);
    let difference = (alone.in_time - flooded.in_time).abs();
    report.rule("the queue changed the in-time fraction of framed RPCs by 0.02 or more", difference < 0.02);
    Ok(())
}

fn measure_service(
    report: &mut Report, seed: u64, load: RateSpan, flooded: bool,
) -> Result<Service, ScenarioError> {
    let never_stopped = AtomicBool::new(false);
    let broker = Broker::start(FaultScript::default())?;
    broker.state().endless_queue = Some(endless_stock_queue());
    let file = flooded.then(|| operator_file(&[&broker], STOCK_UPDATE.name, "caller 900\nprefetch 64\n"));
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, STOCK_UPDATE], file);
    let mut backend = Backend::start(&setup, &broker.password())?;
    let address = backend.node.address;
    let warm_up =
        run_load(address, &FRAMED_METHODS, &[RateSpan::new(WARM_UP, load.rate)], seed + 100, &never_stopped)?;
    report.rule("no framed RPC was answered during the warm-up", sum(&warm_up, |s| s.ok) > 0);
    let (cpu_us_before, before) = (backend.node.cpu_us(), broker.ledger());
    let stats = run_load(address, &FRAMED_METHODS, &[load], seed, &never_stopped)?;
    let after = broker.ledger();
    let cpu_us = backend.node.cpu_us() - cpu_us_before;
    check_framed(report, &stats);
    if flooded {
        let deliveries = after.acked - before.acked;
        report.set("deliveries_per_s", json!(deliveries as f64 / load.duration.as_secs_f64()));
        report.set("most_out", json!(after.max_unsettled));
        report.set("subscriptions", json!(after.subscriptions));
        report.set("memory_mb", json!(backend.node.memory_mb()));
        report.rule("no delivery was acknowledged", deliveries > 0);
    } else {
        report.set("cpu_us_per_rpc", json!(cpu_us / sum(&stats, |s| s.sent).max(1)));
    }
    let took_ms = shut_down(report, &mut backend, Some(&broker).filter(|_| flooded));
    if flooded {
        report.set("drain_ms", json!(took_ms));
        report_broker_ledger(report, &broker.ledger());
    }
    Ok(Service { in_time: in_time(&stats, &FRAMED_METHODS), p99_ms: p99_ms(&stats) })
}
