//! Scenario `amqp-odd`: each fault that a broker may cause, one after the other, with messages that request replies.

use super::rules::{check_framed, check_runs_once, report_broker_ledger, shut_down};
use super::setup::{backend_setup, message, operator_file, QUEUE};
use crate::backend::{wait_until, Backend};
use crate::broker::{Broker, BrokerFault, BrokerLedger, FaultScript, Message};
use crate::load::{run_load, RateSpan};
use crate::method::{Method, FRAMED_METHODS, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use serde_json::json;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

const FAULTS: [BrokerFault; 9] = [
    BrokerFault::CancelConsumer,
    BrokerFault::Block,
    BrokerFault::CloseChannel,
    BrokerFault::HugeBody,
    BrokerFault::UnknownMethod,
    BrokerFault::CloseConnection,
    BrokerFault::Garbage,
    BrokerFault::SplitContent,
    BrokerFault::Silence,
];
const DELIVERIES_BETWEEN_FAULTS: u64 = 30;
const REPLY_QUEUE: &str = "answers";
const MISSING_QUEUE: &str = "gone";
const MAX_MEMORY_MB: f64 = 32.0;

/// Runs `amqp-odd`.
pub fn broker_faults(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let faults = FAULTS.iter().zip(1..).map(|(fault, n)| (DELIVERIES_BETWEEN_FAULTS * n, *fault));
    let broker = Broker::start(FaultScript {
        faults: faults.collect(),
        frame_max: Some(4096),
        heartbeat_s: 1,
        ..FaultScript::default()
    })?;
    broker.state().reply_queues.insert(REPLY_QUEUE.into());
    let messages = 400 + seed % 50;
    for n in 0..messages {
        let to = [REPLY_QUEUE, MISSING_QUEUE][n as usize % 2];
        let reply_to = Some(to.to_string()).filter(|_| n % 3 == 0);
        broker.publish(QUEUE, Message { reply_to, ..message(n) });
    }
    let update = Method { work: Duration::from_millis(1), ..STOCK_UPDATE };
    // Nothing listens at the address of the first broker.
    let brokers = [&broker.unreachable()?, &broker];
    let file = operator_file(&brokers, STOCK_UPDATE.name, "prefetch 32\nbound 60s\n");
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, update], Some(file));
    let mut backend = Backend::start(&setup, &broker.password())?;
    let never_stopped = AtomicBool::new(false);
    let rates = [RateSpan::new(Duration::from_secs(4), 100.0)];
    let stats = run_load(backend.node.address, &FRAMED_METHODS, &rates, seed, &never_stopped)?;
    check_framed(report, &stats);
    // The huge body and the split delivery add two messages to the published ones.
    let complete = wait_until(Duration::from_secs(40), || {
        let ledger = broker.ledger();
        ledger.faults == FAULTS.len() as u64
            && broker.ready_messages(QUEUE) == 0
            && ledger.settlements.len() as u64 >= messages + 2
    });
    report.rule("not every fault was injected and every message settled within 40 s", complete);
    std::thread::sleep(Duration::from_millis(300));
    let memory_mb = backend.node.memory_mb();
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    report.set("drain_ms", json!(took_ms));
    report.set("memory_mb", json!(memory_mb));
    report.rule("peak memory is not between 1 and 32 MB", memory_mb > 1.0 && memory_mb < MAX_MEMORY_MB);
    check_runs_once(report, &backend);
    let ledger = broker.ledger();
    check_replies(report, &ledger);
    report_broker_ledger(report, &ledger);
    Ok(())
}

fn check_replies(report: &mut Report, ledger: &BrokerLedger) {
    report.set("odd", json!(ledger.faults));
    report.set("connections", json!(ledger.connections));
    report.set("replies", json!(ledger.replies.len()));
    report.set("returned", json!(ledger.returned));
    report.rule(
        "no reply reached its queue, or none was returned",
        !ledger.replies.is_empty() && ledger.returned > 0,
    );
    let matching = ledger.replies.iter().all(|reply| {
        reply.correlation_id.is_some() && (reply.body.is_empty() || reply.body.starts_with(b"did job "))
    });
    report.rule("a reply does not belong to its message", matching);
}
