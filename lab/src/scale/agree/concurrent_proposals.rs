//! The kind `crowd`: all replicas propose at the same moment, each in a message of two fragments.

use super::cluster::Outcome;
use super::run::{percentiles, put, Run};
use super::units::SECOND;
use crate::report::Report;
use asterrill::Us;
use asterrill_consensus::{Access, ProposalOutcome};
use serde_json::json;

const CHANGES_PER_PROPOSAL: usize = 20;
/// Padding that makes a proposal long enough for two fragments.
const ENTRY_NAME_PADDING_BYTES: usize = 56;
const PROPOSAL_TIMEOUT: Us = 10 * SECOND;

/// Proposes at all replicas at once and reports the outcomes.
pub(super) fn run_concurrent_proposals(report: &mut Report, run: &mut Run) {
    let started_at = run.cluster.now;
    let name = |n: usize, k: usize| format!("{n:04}-{k:02}-{}", "x".repeat(ENTRY_NAME_PADDING_BYTES));
    let mut keys = Vec::new();
    for n in run.replicas.clone() {
        let step = (0..CHANGES_PER_PROPOSAL).map(|k| put(name(n, k), Access::Allowed)).collect();
        keys.extend(run.cluster.propose(n, step));
    }
    run.cluster.run_to(started_at + PROPOSAL_TIMEOUT);
    let outcomes: Vec<&Outcome> = keys.iter().filter_map(|key| run.cluster.outcome(key)).collect();
    let committed = outcomes.iter().filter(|outcome| outcome.committed().is_some());
    let latencies: Vec<Us> = committed.map(|outcome| outcome.at - started_at).collect();
    let no_quorum = outcomes.iter().filter(|outcome| outcome.outcome == ProposalOutcome::NoQuorum).count();
    let reasons = outcomes.iter().filter_map(|outcome| match &outcome.outcome {
        ProposalOutcome::Rejected(reason) => Some(reason),
        _ => None,
    });
    let reasons: Vec<_> = reasons.collect();
    report.set("crowd_done", json!(latencies.len()));
    report.set("crowd_no_majority", json!(no_quorum));
    report.set("crowd_refused", json!(reasons.len()));
    report.set("crowd_refused_first", json!(reasons.first()));
    for (statistic, value) in percentiles(latencies) {
        report.set(&format!("crowd_ms_{statistic}"), value);
    }
}
