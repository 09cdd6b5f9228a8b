//! Scenarios `amqp-rate` and `amqp-lost`: a queue that is full at the start and runs without work, so that only the
//! cost of the daemon is measured. Some messages always fail.

use super::rules::{report_broker_ledger, shut_down};
use super::setup::{backend_setup, message, operator_file, QUEUE};
use crate::backend::{wait_until, Backend};
use crate::broker::{Broker, FaultScript, Message, Settlement};
use crate::method::{Method, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::report::{Report, ScenarioError};
use crate::setup::Setup;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const CORES: usize = 32;
const PREFETCH: usize = 128;
/// Interval of the messages that always fail: one in this many.
const MESSAGES_PER_FAILURE: u64 = 1_000;
const MAX_MEMORY_MB: f64 = 32.0;
const WINDOW_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the throughput scenarios.
#[derive(Clone, Copy, Debug)]
pub struct ThroughputOptions<'a> {
    /// Seed that selects the launch to be lost.
    pub seed: u64,
    /// Number of messages that are ready at the start.
    pub messages: u64,
    /// Whether a launch selected by the seed is lost while the connection to the agent stays up; service has to
    /// continue.
    pub lost_launch: bool,
    /// Another build to measure.
    pub other: Option<&'a Path>,
}

/// Runs `amqp-rate`, or `amqp-lost` if a launch is to be lost.
pub fn throughput(report: &mut Report, options: ThroughputOptions) -> Result<(), ScenarioError> {
    let messages = options.messages;
    let broker = Broker::start(FaultScript { counts_deliveries: true, ..FaultScript::default() })?;
    let all = (0..messages).map(|n| Message { number: n + 1, ..message(n) });
    broker.state().queues.entry(QUEUE.into()).or_default().extend(all);
    let update = Method { effect: "free", fails_every: MESSAGES_PER_FAILURE, ..STOCK_UPDATE.without_work() };
    let extra_lines = format!("prefetch {PREFETCH}\nbound 10m\nattempts 2\npause 1ms 5ms\n");
    let file = operator_file(&[&broker], STOCK_UPDATE.name, &extra_lines);
    let setup = Setup {
        advertise: "off",
        cores: CORES,
        program: options.other.map(Path::to_path_buf),
        lost_launch: Some(2 + options.seed * 17 % 100).filter(|_| options.lost_launch),
        ..backend_setup(&[TILL_PRICE, LOOK_UP, update], Some(file))
    };
    let mut backend = Backend::start(&setup, &broker.password())?;
    // The window doubles step by step: measure once it is fully open, or once half of the messages are delivered.
    wait_until(WINDOW_TIMEOUT, || {
        broker.ledger().max_unsettled >= PREFETCH || broker.ready_messages(QUEUE) as u64 * 2 < messages
    });
    let start = Instant::now();
    let timeout = Duration::from_secs(if options.lost_launch { 20 } else { 120 });
    measure(report, &broker, &backend, timeout);
    // Deliveries in flight are settled as well; the lost run is the last of them.
    let settled = wait_until(timeout, || {
        let ledger = broker.ledger();
        ledger.acked + ledger.rejected >= messages
    });
    report.rule("not every message was settled in time", settled);
    report.set("settled_ms", json!(start.elapsed().as_millis() as u64));
    report.set("agent_relaunches_known", json!(backend.agent.state().repeated_launches));
    std::thread::sleep(Duration::from_millis(200));
    let took_ms = shut_down(report, &mut backend, Some(&broker));
    report.set("drain_ms", json!(took_ms));
    let ledger = broker.ledger();
    let settlements = ledger.settlements.values().flatten();
    let dead_letters = settlements.filter(|settlement| **settlement == Settlement::Rejected).count();
    report.set("dead_letters", json!(dead_letters));
    report_broker_ledger(report, &ledger);
    Ok(())
}

/// Measures deliveries, CPU time and memory until the queue is empty.
fn measure(report: &mut Report, broker: &Broker, backend: &Backend, timeout: Duration) {
    let (start, before, cpu_us_before) = (Instant::now(), broker.ledger(), backend.node.cpu_us());
    let empty = wait_until(timeout, || broker.ready_messages(QUEUE) == 0);
    let (took, after) = (start.elapsed().as_secs_f64(), broker.ledger());
    report.rule("the queue was not empty in time", empty);
    let settled = (after.acked + after.rejected - before.acked - before.rejected).max(1) as f64;
    let cpu_us = (backend.node.cpu_us() - cpu_us_before) as f64;
    let memory_mb = backend.node.memory_mb();
    report.set("deliveries_per_s", json!(settled / took));
    report.set("cpu_us_per_delivery", json!(cpu_us / settled));
    report.set("memory_mb", json!(memory_mb));
    report.rule("peak memory reached 32 MB", memory_mb < MAX_MEMORY_MB);
    report.set("cores_used", json!(cpu_us / 1e6 / took));
}
