//! The dry run: what a version would have rejected of the last minute's RPCs.

use crate::changed_entries::GlobalValues;
use asterrill_entries::{Configuration, Name};
use std::collections::BTreeMap;

/// What the server has observed in the last minute, and holds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// By the name of the method.
    pub methods: BTreeMap<Name, MethodLoad>,
    /// Over how many seconds that was observed, at most 60.
    pub seconds: f64,
    /// Memory of what is queued and runs, in kB.
    pub in_use_kb: f64,
    /// Memory that the program may take for it, in kB; 0 where that is unknown.
    pub available_kb: f64,
}

/// RPCs of one method in the last minute.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodLoad {
    /// RPCs read.
    pub requests: f64,
    /// Mean CPU work of one, in microseconds.
    pub mean_work_us: f64,
}

/// RPCs of a method that a version could take up.
struct Candidate {
    criticality: f64,
    load: MethodLoad,
}

/// The fraction of the last minute's RPCs that a version would have rejected, 0 to 1: those of methods that it does not
/// have, those whose mean work leaves no time within the deadline, and of the rest what is beyond its cores, the least
/// critical first. Costs what was observed.
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
