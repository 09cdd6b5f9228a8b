//! Views that members report, and the recording of a run.

use super::faults::FaultPlan;
use super::reachability::Reachability;
use super::setup::{request_within, ANNOUNCE_MS, JOIN_DELAY_MS, PROBE_MS, SUSPICION_MS};
use crate::fleet::cluster::Fleet;
use crate::fleet::fault_injection::InjectedFaults;
use crate::time::ms;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = ms(400);

/// Bounds that the operators' documentation states for a fleet of this size.
pub(super) struct DocumentedBounds {
    /// Time until all remaining members have detected the loss of a member.
    pub(super) detection_ms: u64,
    /// Time until the share of a lost member may be taken over by others.
    pub(super) transition_ms: u64,
    /// Time from the end of a fault until all views are the same again.
    pub(super) healing_ms: u64,
}

impl DocumentedBounds {
    pub(super) fn new(nodes: usize) -> DocumentedBounds {
        let detection_ms = PROBE_MS * (2 * nodes as u64 + 2) + SUSPICION_MS;
        let max_announce_ms = ANNOUNCE_MS * 5 / 4;
        DocumentedBounds {
            detection_ms,
            transition_ms: detection_ms + detection_ms / 10 + PROBE_MS,
            healing_ms: detection_ms + 4 * max_announce_ms + JOIN_DELAY_MS,
        }
    }
}

/// State that a member reported at a point in time.
pub(super) struct Observation {
    /// Time since the start of the fleet.
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) view: String,
    /// Members that it reports as failed.
    pub(super) failed: BTreeSet<usize>,
    /// Its share of the shared capacity, relative to an even share.
    pub(super) share: f64,
}

impl Observation {
    /// Asks a member for its state; returns `None` without an answer in time.
    pub(super) fn read(fleet: &Fleet, node: usize) -> Option<Observation> {
        let request = json!({"do": "members"});
        let answer = request_within(&fleet.members[node].node.dir, request, ANSWER_TIMEOUT)?;
        let failed = answer["members"].as_array()?.iter().filter(|m| m["standing"] == json!("failed"));
        let index = |m: &Value| m["name"].as_str()?.strip_prefix('n')?.parse().ok();
        Some(Observation {
            at_ms: fleet.at_ms(),
            node,
            view: answer["view"]["name"].as_str()?.into(),
            failed: failed.filter_map(index).collect(),
            share: answer["part"].as_f64()?,
        })
    }
}

/// Reachability since a point in time, in milliseconds since the start of the fleet.
pub(super) struct Epoch {
    pub(super) since_ms: u64,
    pub(super) reachability: Reachability,
}

/// Observations and faults of one run.
pub(super) struct Recording {
    pub(super) plan: FaultPlan,
    pub(super) observations: Vec<Observation>,
    /// Epochs in order of time; the first begins with the start of the fleet.
    pub(super) epochs: Vec<Epoch>,
    pub(super) injected: InjectedFaults,
    /// Start of the load, in milliseconds since the start of the fleet.
    pub(super) load_start_ms: u64,
    /// Time of the last fault, in milliseconds since the start of the load.
    pub(super) last_fault_ms: u64,
    pub(super) bounds: DocumentedBounds,
}

impl Recording {
    /// Returns the reachability at a point in time, if it had not changed for at least this duration before.
    pub(super) fn stable_state(&self, at_ms: u64, min_duration_ms: u64) -> Option<&Reachability> {
        let epoch = self.epochs.iter().rev().find(|epoch| epoch.since_ms <= at_ms)?;
        let is_stable = epoch.since_ms == 0 || epoch.since_ms + min_duration_ms <= at_ms;
        is_stable.then_some(&epoch.reachability)
    }

    /// Returns the reachability at the end of the run.
    pub(super) fn final_reachability(&self) -> Option<&Reachability> {
        self.epochs.last().map(|epoch| &epoch.reachability)
    }
}
