//! Evaluation of the caller's answers and the nodes' versions against the documented bounds.

use super::probe_caller::{Call, CallLedger};
use super::timing::{CALL_SLACK_MS, CHANGE_COUNT, IN_FORCE_MS};
use crate::fleet::cluster::Fleet;
use crate::fleet::members::setup::request;
use crate::report::Report;
use serde_json::{json, Value};

/// Time before a change within which a served call shows that the node enforced versions under a lease.
const RECENTLY_SERVED_MS: u64 = 500;

/// Number and content hash of a version.
#[derive(Clone, Debug)]
pub(super) struct VersionId {
    pub(super) number: u64,
    pub(super) hash: String,
}

/// A change that was committed.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) version: VersionId,
    pub(super) proposed_ms: u64,
    pub(super) committed_ms: u64,
    /// Whether the change allows the caller; it denies the caller otherwise.
    pub(super) allowed: bool,
}

/// State of a node at the end of the run.
pub(super) struct FinalNodeState {
    /// The version that the node enforces.
    enforced_version: u64,
    /// The newest version that the node has.
    newest_version: u64,
    versions: Vec<Value>,
}

impl FinalNodeState {
    pub(super) fn read(fleet: &Fleet, n: usize) -> FinalNodeState {
        let answer = request(&fleet.members[n].node.dir, json!({"do": "fleet"})).unwrap_or_default();
        FinalNodeState {
            enforced_version: answer["version"].as_u64().unwrap_or(0),
            newest_version: answer["newest"].as_u64().unwrap_or(0),
            versions: answer["versions"].as_array().cloned().unwrap_or_default(),
        }
    }

    /// Reports whether the node has a version of the same number with different content.
    fn contradicts(&self, version: &VersionId) -> bool {
        let own_version = self.versions.iter().find(|own| own["version"] == json!(version.number));
        own_version.is_some_and(|own| own["hash"] != json!(version.hash))
    }
}

/// Observations of one run.
pub(super) struct Recording {
    pub(super) name: &'static str,
    pub(super) changes: Vec<Change>,
    /// Number of proposed changes that were not reported as committed.
    pub(super) uncommitted_proposals: usize,
    pub(super) final_states: Vec<FinalNodeState>,
    pub(super) ledger: CallLedger,
    pub(super) unanswered: usize,
}

/// Calls that were served after the caller had been denied.
#[derive(Default)]
struct ServedWhileDenied {
    /// Longest time in milliseconds between the first rejection by any node and a later served call.
    contradiction_ms: u64,
    /// Number of calls that a node served after it had rejected one itself.
    served_after_own_rejection: usize,
    /// Number of calls that were served after the documented bound by which the change had to be in force.
    served_after_bound: usize,
}

impl Recording {
    fn nodes(&self) -> usize {
        self.final_states.len()
    }

    /// Returns the calls of a node in a time span.
    fn calls(&self, node: usize, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Call> {
        let calls = self.ledger.calls.iter();
        calls.filter(move |call| call.node == node && call.at_ms >= from_ms && call.at_ms < to_ms)
    }

    /// Returns the time of the first rejection by a node that held its lease, as it had served a call just before the
    /// change.
    fn first_rejection(&self, change: &Change, end_ms: u64) -> Option<u64> {
        let first = |node: usize| {
            let served_before = self.ledger.calls.iter().any(|call| {
                let just_before =
                    call.at_ms < change.proposed_ms && call.at_ms + RECENTLY_SERVED_MS > change.proposed_ms;
                call.node == node && call.served && just_before
            });
            let mut calls = self.calls(node, change.proposed_ms, end_ms);
            calls.find(|call| !call.served).filter(|_| served_before).map(|call| call.at_ms)
        };
        (0..self.nodes()).filter_map(first).min()
    }

    /// Counts the calls that nodes served after a committed change had denied the caller.
    fn served_while_denied(&self) -> ServedWhileDenied {
        let mut found = ServedWhileDenied::default();
        for (i, change) in self.changes.iter().enumerate().filter(|(_, change)| !change.allowed) {
            let end_ms = self.changes.get(i + 1).map_or(u64::MAX, |next| next.proposed_ms);
            let Some(first_ms) = self.first_rejection(change, end_ms) else { continue };
            for node in 0..self.nodes() {
                let served = |from_ms: u64| self.calls(node, from_ms, end_ms).filter(|call| call.served);
                let longest_ms = served(first_ms).map(|call| call.at_ms - first_ms).max();
                found.contradiction_ms = found.contradiction_ms.max(longest_ms.unwrap_or(0));
                let mut node_calls = self.calls(node, change.proposed_ms, end_ms);
                if let Some(rejection) = node_calls.find(|call| !call.served) {
                    found.served_after_own_rejection += served(rejection.at_ms).count();
                }
                found.served_after_bound += served(change.committed_ms + IN_FORCE_MS + CALL_SLACK_MS).count();
            }
        }
        found
    }
}

/// Counts of committed versions that nodes lack, and of those that nodes have with different content.
struct VersionFaults {
    lost: usize,
    conflicting: usize,
}

impl Recording {
    fn version_faults(&self) -> VersionFaults {
        let versions = self.changes.iter().map(|change| &change.version);
        let pairs: Vec<(&VersionId, &FinalNodeState)> = versions
            .flat_map(|version| self.final_states.iter().map(move |state| (version, state)))
            .collect();
        VersionFaults {
            lost: pairs.iter().filter(|(version, state)| state.newest_version < version.number).count(),
            conflicting: pairs.iter().filter(|(version, state)| state.contradicts(version)).count(),
        }
    }

    /// Returns the commit latencies of all changes in milliseconds, in ascending order.
    fn commit_latencies_ms(&self) -> Vec<u64> {
        let latencies = self.changes.iter().map(|change| change.committed_ms - change.proposed_ms);
        let mut latencies: Vec<u64> = latencies.collect();
        latencies.sort_unstable();
        latencies
    }
}

/// Reports the figures of a recording and checks the rules.
pub(super) fn evaluate(report: &mut Report, fleet: &mut Fleet, recording: &Recording) {
    report_service(report, recording);
    report_versions(report, recording);
    let none_panicked = fleet.none_panicked();
    let remaining_processes = fleet.kill_all();
    report.set("left_processes", json!(remaining_processes));
    report.rule("a process was still running at the end", remaining_processes == 0);
    report.rule("a process panicked", none_panicked);
}

/// Reports the caller's answers.
fn report_service(report: &mut Report, recording: &Recording) {
    let denied = recording.served_while_denied();
    let calls = &recording.ledger.calls;
    report.set("stated_ms", json!(IN_FORCE_MS));
    report.set("contradiction_ms_max", json!(denied.contradiction_ms));
    report.set("served_after_the_stated_time", json!(denied.served_after_bound));
    report.set("older_after_newer", json!(denied.served_after_own_rejection));
    report.set("no_final_answer", json!(recording.unanswered));
    report.set("asked", json!(calls.len()));
    report.set("served", json!(calls.iter().filter(|call| call.served).count()));
    report.rule("an RPC got no final answer", recording.unanswered == 0);
    let in_time = denied.contradiction_ms <= IN_FORCE_MS + CALL_SLACK_MS;
    report.rule(
        "answers of different nodes contradicted each other for longer than the documented bound",
        in_time,
    );
    report.rule(
        "a denial was not in force at every node within the documented bound",
        denied.served_after_bound == 0,
    );
    report.rule("a node reverted to an older version", denied.served_after_own_rejection == 0);
}

/// Reports the versions of the nodes.
fn report_versions(report: &mut Report, recording: &Recording) {
    let faults = recording.version_faults();
    let enforced_versions: Vec<u64> =
        recording.final_states.iter().map(|state| state.enforced_version).collect();
    let latencies_ms = recording.commit_latencies_ms();
    report.set("kind", json!(recording.name));
    report.set("nodes", json!(recording.nodes()));
    report.set("versions", json!(recording.changes.len()));
    report.set("wishes_without_majority", json!(recording.uncommitted_proposals));
    report.set("lost_versions", json!(faults.lost));
    report.set("other_histories", json!(faults.conflicting));
    report.set("propose_ms_p50", json!(latencies_ms.get(latencies_ms.len() / 2)));
    report.set("propose_ms_max", json!(latencies_ms.last()));
    report.set("newest", json!(enforced_versions));
    report.rule("a node does not have a version that was reported as committed", faults.lost == 0);
    report.rule("a version number has two different contents", faults.conflicting == 0);
    let last = recording.changes.last().map_or(1, |change| change.version.number);
    let all_newest =
        enforced_versions.iter().all(|number| *number == enforced_versions[0] && *number >= last);
    report.rule("not all nodes enforce the newest version at the end", all_newest);
    let enough = recording.changes.len() >= CHANGE_COUNT / 2;
    report.rule("fewer than half of the changes were committed", enough);
}
