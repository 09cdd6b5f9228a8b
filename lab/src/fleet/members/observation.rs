//! What members say of each other, and what one run has shown.

use super::faults::FaultPlan;
use super::reachability::Reachability;
use super::setup::{request_within, GREET_MS, PROBE_MS, SETTLE_MS, SUSPICION_MS};
use crate::fleet::cluster::Fleet;
use crate::fleet::fault_injection::InjectedFaults;
use crate::time::ms;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = ms(400);

/// The times that the operators' page promises for so many members, in ms.
pub(super) struct DocumentedBounds {
    /// Until all that are there have found a loss.
    pub(super) detection_ms: u64,
    /// Until a part that was lost may be taken.
    pub(super) transition_ms: u64,
    /// From the end of a fault until all views are the same again.
    pub(super) healing_ms: u64,
}

impl DocumentedBounds {
    pub(super) fn new(nodes: usize) -> DocumentedBounds {
        let notice = PROBE_MS * (2 * nodes as u64 + 2) + SUSPICION_MS;
        let greet = GREET_MS * 5 / 4;
        DocumentedBounds {
            detection_ms: notice,
            transition_ms: notice + notice / 10 + PROBE_MS,
            healing_ms: notice + 4 * greet + SETTLE_MS,
        }
    }
}

/// What one member said at a moment.
pub(super) struct Observation {
    /// In ms since the fleet's start.
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) view: String,
    /// Members that it says have failed.
    pub(super) failed: BTreeSet<usize>,
    /// Its part of what is shared, of its even one.
    pub(super) share: f64,
}

impl Observation {
    /// Asks a member; none without an answer.
    pub(super) fn read(fleet: &Fleet, node: usize) -> Option<Observation> {
        let request = json!({"do": "members"});
        let answer = request_within(&fleet.members[node].node.dir, request, ANSWER_TIMEOUT)?;
        let failed = answer["members"].as_array()?.iter().filter(|m| m["standing"] == json!("failed"));
        let number = |m: &Value| m["name"].as_str()?.strip_prefix('n')?.parse().ok();
        Some(Observation {
            at_ms: fleet.at_ms(),
            node,
            view: answer["view"]["name"].as_str()?.into(),
            failed: failed.filter_map(number).collect(),
            share: answer["part"].as_f64()?,
        })
    }
}

/// From when on something was true, in ms since the fleet's start.
pub(super) struct Epoch {
    pub(super) since_ms: u64,
    pub(super) reachability: Reachability,
}

/// What one run has shown.
pub(super) struct Recording {
    pub(super) plan: FaultPlan,
    pub(super) observations: Vec<Observation>,
    /// In their order; the first begins with the fleet.
    pub(super) epochs: Vec<Epoch>,
    pub(super) injected: InjectedFaults,
    /// When the load began, in ms since the fleet's start.
    pub(super) offset_ms: u64,
    /// When the last fault comes, in ms of load.
    pub(super) last_fault_ms: u64,
    pub(super) bounds: DocumentedBounds,
}

impl Recording {
    /// What has been true, without a change, for so long before a moment.
    pub(super) fn stable_state(&self, at_ms: u64, span_ms: u64) -> Option<&Reachability> {
        let epoch = self.epochs.iter().rev().find(|epoch| epoch.since_ms <= at_ms)?;
        let stable_state = epoch.since_ms == 0 || epoch.since_ms + span_ms <= at_ms;
        stable_state.then_some(&epoch.reachability)
    }

    /// What is true at the end.
    pub(super) fn last_epoch(&self) -> Option<&Reachability> {
        self.epochs.last().map(|epoch| &epoch.reachability)
    }
}
