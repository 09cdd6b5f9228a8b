//! Scenario `amqp-redeliver`: thousands of redeliveries after cut connections, some of them duplicated, by a broker
//! that loses settlements.

use super::rules::{check_runs_once, report_broker_ledger, shut_down};
use super::setup::{backend_setup, message, operator_file, QUEUE};
use crate::backend::{wait_until, Backend};
use crate::broker::{Broker, FaultScript};
use crate::method::{LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::time::Duration;

/// Number of cores. Without advertised credit the window of deliveries is limited per core.
const CORES: usize = 32;
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs `amqp-redeliver` with a number of messages.
pub fn redelivery(report: &mut Report, seed: u64, messages: u64) -> Result<(), ScenarioError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let first = messages / 4 + rng.random_range(0..messages / 8);
    let script = FaultScript {
        cuts: [first, messages + first / 2].into(),
        loses_settlements: true,
        duplicate_every: rng.random_range(5..15),
        ..FaultScript::default()
    };
    let broker = Broker::start(script)?;
    (0..messages).for_each(|n| broker.publish(QUEUE, message(n)));
    let extra_lines = "prefetch 256\nbound 60s\nremember 10m 20000\n";
    let methods = [TILL_PRICE, LOOK_UP, STOCK_UPDATE.without_work()];
    let setup = backend_setup(&methods, Some(operator_file(&[&broker], STOCK_UPDATE.name, extra_lines)));
    let setup = Setup { advertise: "off", cores: CORES, ..setup };
    let mut backend = Backend::start(&setup, &broker.password())?;
    let complete = wait_until(SETTLEMENT_TIMEOUT, || {
        let ledger = broker.ledger();
        ledger.cuts == 2 && ledger.settlements.len() as u64 == messages && broker.ready_messages(QUEUE) == 0
    });
    report.rule("not both cuts were made and every message settled within 60 s", complete);
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    report.set("drain_ms", json!(took_ms));
    let ledger = broker.ledger();
    report.set("redeliveries", json!(ledger.redeliveries));
    report.set("runs", json!(backend.agent.state().started));
    check_runs_once(report, &backend);
    report.rule("at most a quarter as many redeliveries as messages", ledger.redeliveries > messages / 4);
    // The broker may record several settlements of a message, but all of the same kind.
    let same = ledger.settlements.values().all(|all| all.iter().all(|one| *one == all[0]));
    report.rule("a message was settled in two different ways", same);
    report_broker_ledger(report, &ledger);
    Ok(())
}
