//! What the caller's answers and the nodes' versions say of the promises and the rules.

use super::probe_caller::{Call, CallLedger};
use super::timing::{CALL_INTERVAL_MS, CHANGES, IN_FORCE_MS};
use crate::fleet::cluster::Fleet;
use crate::fleet::members::setup::request;
use crate::report::Report;
use serde_json::{json, Value};

const SERVED_BEFORE_MS: u64 = 500; // a node was served just before a change if it was within this time

/// A version by its number and content.
#[derive(Clone, Debug)]
pub(super) struct VersionId {
    pub(super) number: u64,
    pub(super) hash: String,
}

/// A change that came about.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) version: VersionId,
    pub(super) proposed_ms: u64,
    pub(super) committed_ms: u64,
    /// The caller is admitted by it, else barred.
    pub(super) allowed: bool,
}

/// What a node says at the end.
pub(super) struct FinalNodeState {
    /// The version that it acts on, and the newest that it has.
    acting: u64,
    newest: u64,
    versions: Vec<Value>,
}

impl FinalNodeState {
    pub(super) fn read(fleet: &Fleet, n: usize) -> FinalNodeState {
        let answer = request(&fleet.members[n].node.dir, json!({"do": "fleet"})).unwrap_or_default();
        FinalNodeState {
            acting: answer["version"].as_u64().unwrap_or(0),
            newest: answer["newest"].as_u64().unwrap_or(0),
            versions: answer["versions"].as_array().cloned().unwrap_or_default(),
        }
    }

    /// It has a version of this number with other content.
    fn contradicts(&self, version: &VersionId) -> bool {
        let own = self.versions.iter().find(|own| own["version"] == json!(version.number));
        own.is_some_and(|own| own["hash"] != json!(version.hash))
    }
}

/// What one run has shown.
pub(super) struct Recording {
    pub(super) name: &'static str,
    pub(super) changes: Vec<Change>,
    /// Changes of which no version came.
    pub(super) without_majority: usize,
    pub(super) final_states: Vec<FinalNodeState>,
    pub(super) ledger: CallLedger,
    pub(super) unanswered: usize,
}

/// How long and how often the caller was served although it was barred.
#[derive(Default)]
struct ServedWhileDenied {
    /// The longest time after another node had rejected it, in ms.
    contradiction_ms: u64,
    /// Calls that a node served after it had rejected one.
    back: usize,
    /// Calls that were served after the change had to be in force.
    late: usize,
}

impl Recording {
    fn nodes(&self) -> usize {
        self.final_states.len()
    }

    /// Calls of a node in a span.
    fn calls(&self, node: usize, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Call> {
        let calls = self.ledger.calls.iter();
        calls.filter(move |call| call.node == node && call.at_ms >= from_ms && call.at_ms < to_ms)
    }

    /// When a node whose lease held, as it was served just before, first rejected the caller.
    fn first_rejection(&self, change: &Change, over_ms: u64) -> Option<u64> {
        let first = |node: usize| {
            let served_before = self.ledger.calls.iter().any(|call| {
                let just_before =
                    call.at_ms < change.proposed_ms && call.at_ms + SERVED_BEFORE_MS > change.proposed_ms;
                call.node == node && call.served && just_before
            });
            let mut calls = self.calls(node, change.proposed_ms, over_ms);
            calls.find(|call| !call.served).filter(|_| served_before).map(|call| call.at_ms)
        };
        (0..self.nodes()).filter_map(first).min()
    }

    /// A node served the caller after another had rejected it by a change that was settled.
    fn served_while_denied(&self) -> ServedWhileDenied {
        let mut found = ServedWhileDenied::default();
        for (i, change) in self.changes.iter().enumerate().filter(|(_, change)| !change.allowed) {
            let over_ms = self.changes.get(i + 1).map_or(u64::MAX, |next| next.proposed_ms);
            let Some(first_ms) = self.first_rejection(change, over_ms) else { continue };
            for node in 0..self.nodes() {
                let served = |from_ms: u64| self.calls(node, from_ms, over_ms).filter(|call| call.served);
                let longest_ms = served(first_ms).map(|call| call.at_ms - first_ms).max();
                found.contradiction_ms = found.contradiction_ms.max(longest_ms.unwrap_or(0));
                let mut own = self.calls(node, change.proposed_ms, over_ms);
                if let Some(rejection) = own.find(|call| !call.served) {
                    found.back += served(rejection.at_ms).count();
                }
                found.late += served(change.committed_ms + IN_FORCE_MS + CALL_INTERVAL_MS).count();
            }
        }
        found
    }
}

/// How often a version of a change is missing at a node, and how often it has other content there.
struct VersionFaults {
    lost: usize,
    conflicting: usize,
}

impl Recording {
    fn version_faults(&self) -> VersionFaults {
        let versions = self.changes.iter().map(|change| &change.version);
        let pairs: Vec<(&VersionId, &FinalNodeState)> =
            versions.flat_map(|version| self.final_states.iter().map(move |end| (version, end))).collect();
        VersionFaults {
            lost: pairs.iter().filter(|(version, end)| end.newest < version.number).count(),
            conflicting: pairs.iter().filter(|(version, end)| end.contradicts(version)).count(),
        }
    }

    /// How long changes took to be settled, in ms, sorted.
    fn commit_latency_ms(&self) -> Vec<u64> {
        let took = self.changes.iter().map(|change| change.committed_ms - change.proposed_ms);
        let mut took: Vec<u64> = took.collect();
        took.sort_unstable();
        took
    }
}

/// Reports what the recording says, and checks the rules.
pub(super) fn evaluate(report: &mut Report, fleet: &mut Fleet, recording: &Recording) {
    report_service(report, recording);
    report_versions(report, recording);
    let none_panicked = fleet.none_panicked();
    let left = fleet.end();
    report.set("left_processes", json!(left));
    report.rule("a process was left behind", left == 0);
    report.rule("a process panicked", none_panicked);
}

/// What the caller's answers say.
fn report_service(report: &mut Report, recording: &Recording) {
    let barred = recording.served_while_denied();
    let calls = &recording.ledger.calls;
    report.set("stated_ms", json!(IN_FORCE_MS));
    report.set("contradiction_ms_max", json!(barred.contradiction_ms));
    report.set("served_after_the_stated_time", json!(barred.late));
    report.set("older_after_newer", json!(barred.back));
    report.set("no_final_answer", json!(recording.unanswered));
    report.set("asked", json!(calls.len()));
    report.set("served", json!(calls.iter().filter(|call| call.served).count()));
    report.rule("an RPC got no final answer", recording.unanswered == 0);
    let in_time = barred.contradiction_ms <= IN_FORCE_MS + CALL_INTERVAL_MS;
    report.rule("answers contradicted each other for longer than is stated", in_time);
    report.rule("a bar was not in force everywhere in the stated time", barred.late == 0);
    report.rule("a node went back to an older version", barred.back == 0);
}

/// What the nodes say of versions.
fn report_versions(report: &mut Report, recording: &Recording) {
    let faults = recording.version_faults();
    let acting: Vec<u64> = recording.final_states.iter().map(|end| end.acting).collect();
    let took_ms = recording.commit_latency_ms();
    report.set("kind", json!(recording.name));
    report.set("nodes", json!(recording.nodes()));
    report.set("versions", json!(recording.changes.len()));
    report.set("wishes_without_majority", json!(recording.without_majority));
    report.set("lost_versions", json!(faults.lost));
    report.set("other_histories", json!(faults.conflicting));
    report.set("propose_ms_p50", json!(took_ms.get(took_ms.len() / 2)));
    report.set("propose_ms_max", json!(took_ms.last()));
    report.set("newest", json!(acting));
    report.rule("a version that was reported as committed is gone", faults.lost == 0);
    report.rule("two histories of a version", faults.conflicting == 0);
    let last = recording.changes.last().map_or(1, |change| change.version.number);
    let same = acting.iter().all(|number| *number == acting[0] && *number >= last);
    report.rule("not all act on the newest version at the end", same);
    let enough = recording.changes.len() >= CHANGES / 2;
    report.rule("too few versions came about to show anything", enough);
}
