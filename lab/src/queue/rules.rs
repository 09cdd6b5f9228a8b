//! Figures and rules of the broker's ledger and of framed RPCs that all queue scenarios share.

use crate::backend::Backend;
use crate::broker::{Broker, BrokerLedger};
use crate::load::{sum, LoadStats};
use crate::report::Report;
use serde_json::json;
use std::time::{Duration, Instant};

const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time until the broker has seen the end of its connection.
const LEDGER_CLOSE_DELAY: Duration = Duration::from_millis(50);

/// Reports the ledger of the broker, and checks that each delivery was settled once.
pub fn report_broker_ledger(report: &mut Report, ledger: &BrokerLedger) {
    report.set("deliveries_read", json!(ledger.deliveries));
    report.set("acked", json!(ledger.acked));
    report.set("rejected", json!(ledger.rejected));
    report.set("requeued", json!(ledger.requeued));
    report.set("lost_with_link", json!(ledger.lost));
    report.set("settled_twice", json!(ledger.settled_twice));
    report.set("unknown_tags", json!(ledger.unknown_tags));
    report.set("unsettled", json!(ledger.unsettled));
    report.rule("a delivery was settled twice", ledger.settled_twice == 0);
    report.rule("a delivery tag was settled that was never assigned", ledger.unknown_tags == 0);
    report.rule("a delivery was never settled", ledger.unsettled == 0);
    let settled = ledger.acked + ledger.rejected + ledger.requeued;
    report.rule(
        "deliveries and settlements do not add up",
        ledger.deliveries == settled + ledger.lost + ledger.unsettled,
    );
}

/// Checks that each framed RPC was answered once, with its own result.
pub(super) fn check_framed(report: &mut Report, stats: &LoadStats) {
    report.rule("a framed RPC got no final answer", sum(stats, |s| s.unanswered) == 0);
    report.rule("a framed RPC was answered twice", sum(stats, |s| s.answered_twice) == 0);
    report.rule("a framed RPC got the result of another RPC", sum(stats, |s| s.wrong_results) == 0);
}

/// Shuts the backend down and checks that it exits with code 0. Returns the time that this took in ms, or the time
/// until the broker's connection was closed if there is a broker.
pub(super) fn shut_down(report: &mut Report, backend: &mut Backend, broker: Option<&Broker>) -> f64 {
    let start = Instant::now();
    backend.node.signal("TERM");
    let code = backend.node.wait_for_exit(EXIT_TIMEOUT);
    let closed = broker.and_then(|broker| broker.ledger().closed_at);
    let took = closed.map_or(start.elapsed(), |at| at.saturating_duration_since(start));
    std::thread::sleep(LEDGER_CLOSE_DELAY);
    report.rule("asterrilld did not exit with code 0 within 6 s", code == Some(0));
    took.as_secs_f64() * 1000.0
}

/// Checks that no message with an idempotency key ran twice.
pub(super) fn check_runs_once(report: &mut Report, backend: &Backend) {
    let repeated = backend.agent.repeated_runs("job");
    report.set("runs_twice", json!(repeated));
    report.rule("a message with an idempotency key ran twice", repeated == 0);
}
