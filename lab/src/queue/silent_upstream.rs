//! Scenario `amqp-silent`: messages whose runs call an upstream that never answers. Once their deliveries are given up,
//! no run of them waits any longer.

use super::rules::{report_broker_ledger, shut_down};
use super::setup::{backend_setup, message, operator_file, QUEUE};
use crate::backend::{wait_until, Backend};
use crate::broker::{Broker, FaultScript};
use crate::method::{Method, STOCK_UPDATE};
use crate::report::{Report, ScenarioError};
use crate::stubs::start_silent_upstream;
use serde_json::json;
use std::time::Duration;

const MESSAGES: u64 = 40;
/// Settings of the queue: the time after which a delivery is given up, and one run for each message.
const QUEUE_LINES: &str = "bound 1s\nattempts 1\n";
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the last settlement within which the runs have to end.
const RUN_END_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs `amqp-silent`.
pub fn silent_upstream(report: &mut Report) -> Result<(), ScenarioError> {
    let broker = Broker::start(FaultScript::default())?;
    (0..MESSAGES).for_each(|n| broker.publish(QUEUE, message(n)));
    let method = Method { calls_upstream: true, ..STOCK_UPDATE };
    let setup = backend_setup(&[method], Some(operator_file(&[&broker], method.name, QUEUE_LINES)));
    let mut backend = Backend::start_with_upstream(&setup, &broker.password(), start_silent_upstream()?)?;
    let settled = wait_until(SETTLEMENT_TIMEOUT, || broker.ledger().settlements.len() as u64 == MESSAGES);
    report.rule("not every message was settled within 20 s", settled);
    wait_until(RUN_END_TIMEOUT, || backend.agent.state().waiting_for_calls() == 0);
    let waiting = backend.agent.state().waiting_for_calls();
    let started = backend.agent.state().started;
    report.set("runs", json!(started));
    report.set("runs_waiting", json!(waiting));
    report.rule("no run called the upstream", started > 0);
    report.rule("a run waits for a call although its delivery was given up", waiting == 0);
    backend.node.signal("USR1");
    let no_rpc_open = wait_until(RUN_END_TIMEOUT, || {
        backend.node.read_log().contains("counters") && backend.node.logged_count("open") == 0
    });
    report.set("open_rpcs", json!(backend.node.logged_count("open")));
    report.rule("an RPC is open although its delivery was given up", no_rpc_open);
    shut_down(report, &mut backend, Some(&broker));
    report_broker_ledger(report, &broker.ledger());
    Ok(())
}
