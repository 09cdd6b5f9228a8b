//! `amqp-odd`: everything a broker may do wrong, one after the other, with answers wanted and messages that fail.

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
const DELIVERIES_APART: u64 = 30; // from one fault to the next
const REPLY_QUEUE: &str = "answers";
const NO_QUEUE: &str = "gone";
const MEMORY_MB: f64 = 32.0;

/// Plays it.
pub fn broker_faults(report: &mut Report, seed: u64) -> Result<(), ScenarioError> {
    let faults = FAULTS.iter().zip(1..).map(|(fault, n)| (DELIVERIES_APART * n, *fault));
    let broker = Broker::start(FaultScript {
        faults: faults.collect(),
        frame_max: Some(4096),
        heartbeat_s: 1,
        ..FaultScript::default()
    })?;
    broker.state().reply_queues.insert(REPLY_QUEUE.into());
    let messages = 400 + seed % 50;
    for n in 0..messages {
        let to = [REPLY_QUEUE, NO_QUEUE][n as usize % 2];
        let reply_to = Some(to.to_string()).filter(|_| n % 3 == 0);
        broker.publish(QUEUE, Message { reply_to, ..message(n) });
    }
    let update = Method { work: Duration::from_millis(1), ..STOCK_UPDATE };
    // Where the first broker should be nobody listens.
    let brokers = [&broker.unreachable()?, &broker];
    let file = operator_file(&brokers, STOCK_UPDATE.name, "prefetch 32\nbound 60s\n");
    let setup = backend_setup(&[TILL_PRICE, LOOK_UP, update], Some(file));
    let mut backend = Backend::start(&setup, &broker.password())?;
    let never = AtomicBool::new(false);
    let rates = [RateSpan::new(Duration::from_secs(4), 100.0)];
    let stats = run_load(backend.node.address, &FRAMED_METHODS, &rates, seed, &never)?;
    check_framed(report, &stats);
    // Two messages more than were published: those of the huge body and of the halves.
    let complete = wait_until(Duration::from_secs(40), || {
        let ledger = broker.ledger();
        ledger.faults == FAULTS.len() as u64
            && broker.ready_messages(QUEUE) == 0
            && ledger.settlements.len() as u64 >= messages + 2
    });
    report.rule("not every message was settled", complete);
    std::thread::sleep(Duration::from_millis(300));
    let memory_mb = backend.node.memory_mb();
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    report.set("drain_ms", json!(took_ms));
    report.set("memory_mb", json!(memory_mb));
    report.rule("memory grew beyond 32 MB", memory_mb > 1.0 && memory_mb < MEMORY_MB);
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
    report.rule("no answer arrived", !ledger.replies.is_empty() && ledger.returned > 0);
    let own = ledger.replies.iter().all(|reply| {
        reply.correlation.is_some() && (reply.body.is_empty() || reply.body.starts_with(b"did job "))
    });
    report.rule("an answer is not that of its message", own);
}
