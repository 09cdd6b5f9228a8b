//! Dry run: an estimate of the RPCs of the last minute that a version would have rejected.

use crate::changed_entries::GlobalValues;
use asterrill_entries::{Configuration, Name};
use std::collections::BTreeMap;

/// Load that the server observed in the last minute, and its current memory use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// Load of each method, by name.
    pub methods: BTreeMap<Name, MethodLoad>,
    /// Length of the observation, in seconds, at most 60.
    pub seconds: f64,
    /// Memory of the queued and running RPCs, in kB.
    pub in_use_kb: f64,
    /// Memory that the process may use for RPCs, in kB; 0 if it is unknown.
    pub available_kb: f64,
}

/// Load of one method in the last minute.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodLoad {
    /// Number of RPCs that were read.
    pub requests: f64,
    /// Mean CPU work per RPC, in microseconds.
    pub mean_work_us: f64,
}

/// Load of a method that the version could accept.
struct Candidate {
    criticality: f64,
    load: MethodLoad,
}

/// Estimates the fraction of the last minute's RPCs that a version would have rejected, 0 to 1.
///
/// Rejected are the RPCs of methods that the version lacks, the RPCs of methods whose mean work is not shorter than the
/// deadline, and from the remaining RPCs those that exceed the capacity of the version's cores, the least critical
/// first. The cost depends on the number of observed methods, not on the size of the version.
pub fn dry_run(version: &Configuration, observed: &ObservedLoad) -> f64 {
    let all: f64 = observed.methods.values().map(|load| load.requests).sum();
    if all <= 0.0 || observed.seconds <= 0.0 {
        return 0.0;
    }
    let mut rejected = 0.0;
    let mut candidates = Vec::new();
    for (name, load) in &observed.methods {
        match version.method(name) {
            Some(method) if load.mean_work_us < method.deadline as f64 => {
                candidates.push(Candidate { criticality: method.criticality, load: *load });
            }
            _ => rejected += load.requests,
        }
    }
    candidates.sort_by(|a, b| b.criticality.total_cmp(&a.criticality));
    let cores = GlobalValues::of(version.globals()).cores;
    let mut capacity_us = cores * observed.seconds * 1e6;
    for Candidate { load: MethodLoad { requests, mean_work_us }, .. } in candidates {
        let served = if mean_work_us > 0.0 { (capacity_us / mean_work_us).min(requests) } else { requests };
        capacity_us -= served * mean_work_us;
        rejected += requests - served;
    }
    rejected / all
}
