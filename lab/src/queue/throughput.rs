//! `amqp-rate` and `amqp-lost`: a queue that is full at the start and work that costs nothing, so that what is measured
//! is the program itself. Messages that always fail are among them.

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
const FAILS_EVERY: u64 = 1_000;
const MEMORY_MB: f64 = 32.0;
const WIDE_WITHIN: Duration = Duration::from_secs(10);

/// How it is played.
#[derive(Clone, Copy, Debug)]
pub struct ThroughputOptions<'a> {
    /// Seed of the launch that is lost.
    pub seed: u64,
    /// Messages that are ready at the start.
    pub messages: u64,
    /// A launch drawn from the seed is lost on its way, on a link that stands; service has to go on.
    pub lost_launch: bool,
    /// Another build.
    pub other: Option<&'a Path>,
}

/// Plays it.
pub fn throughput(report: &mut Report, options: ThroughputOptions) -> Result<(), ScenarioError> {
    let messages = options.messages;
    let broker = Broker::start(FaultScript { counts_deliveries: true, ..FaultScript::default() })?;
    let all = (0..messages).map(|n| Message { number: n + 1, ..message(n) });
    broker.state().queues.entry(QUEUE.into()).or_default().extend(all);
    let update = Method { effect: "free", fails_every: FAILS_EVERY, ..STOCK_UPDATE.without_work() };
    let more = format!("prefetch {PREFETCH}\nbound 10m\nattempts 2\npause 1ms 5ms\n");
    let file = operator_file(&[&broker], STOCK_UPDATE.name, &more);
    let setup = Setup {
        advertise: "off",
        cores: CORES,
        program: options.other.map(Path::to_path_buf),
        lost_launch: Some(2 + options.seed * 17 % 100).filter(|_| options.lost_launch),
        ..backend_setup(&[TILL_PRICE, LOOK_UP, update], Some(file))
    };
    let mut backend = Backend::start(&setup, &broker.password())?;
    // The window opens by doublings; what is measured begins once it is wide, or with half of it all.
    wait_until(WIDE_WITHIN, || {
        broker.ledger().most_unsettled >= PREFETCH || broker.ready_messages(QUEUE) as u64 * 2 < messages
    });
    let start = Instant::now();
    let within = Duration::from_secs(if options.lost_launch { 20 } else { 120 });
    measure(report, &broker, &backend, within);
    // What is out is settled too, the run that was lost last of all.
    let settled = wait_until(within, || {
        let ledger = broker.ledger();
        ledger.acked + ledger.rejected >= messages
    });
    report.rule("a delivery was not settled", settled);
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

/// Deliveries, CPU and memory until the queue is empty.
fn measure(report: &mut Report, broker: &Broker, backend: &Backend, within: Duration) {
    let (start, before, cpu) = (Instant::now(), broker.ledger(), backend.node.cpu_us());
    let empty = wait_until(within, || broker.ready_messages(QUEUE) == 0);
    let (took, after) = (start.elapsed().as_secs_f64(), broker.ledger());
    report.rule("the queue was not worked off", empty);
    let settled = (after.acked + after.rejected - before.acked - before.rejected).max(1) as f64;
    let cpu_us = (backend.node.cpu_us() - cpu) as f64;
    let memory_mb = backend.node.memory_mb();
    report.set("deliveries_per_s", json!(settled / took));
    report.set("cpu_us_per_delivery", json!(cpu_us / settled));
    report.set("memory_mb", json!(memory_mb));
    report.rule("memory grew beyond 32 MB", memory_mb < MEMORY_MB);
    report.set("cores_used", json!(cpu_us / 1e6 / took));
}
