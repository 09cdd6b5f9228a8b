//! What a recording says of the promises and the rules.

use super::faults::FIRST_FAULT_MS;
use super::observation::{Observation, Recording};
use super::reachability::Reachability;
use super::setup::UPSTREAM_CALLS_PER_NODE;
use crate::fleet::callers::{in_time_share, CallerLedger, Callers, BUCKET_MS};
use crate::fleet::cluster::Fleet;
use crate::method::UPDATE;
use crate::report::Report;
use serde_json::json;
use std::collections::BTreeSet;

const USABLE_SHARE: f64 = 0.8; // of the calls that are shared, what the program makes use of
const CAPACITY_TOLERANCE: f64 = 1.05; // of the whole
const MIN_DEMAND_SHARE: f64 = 0.85; // of the whole, that has to be called for to show anything
const OBSERVATION_SLACK_MS: u64 = 500; // between two looks at one member, and what a look takes
const BASELINE_MS: u64 = 4_000; // before the first fault
const MAX_PRINTED: usize = 8; // of what is wrong

/// What is worked out of a recording.
struct Evaluation {
    /// Views that were wrong for longer than is promised, in words.
    wrong_views: Vec<String>,
    /// Who said of whom that it had failed, though they were in touch.
    false_failures: BTreeSet<(usize, usize)>,
    /// How long losses took to be found, in ms, sorted.
    detection_ms: Vec<u64>,
    /// From the last fault until the last view was right.
    healing_ms: u64,
    /// Calls in hand of the upstream, second by second, over the whole.
    upstream_occupancy: Vec<f64>,
    in_time_before: f64,
    in_time_during: f64,
    /// The sum of all parts, before the first fault and at the end of the last.
    shares_before: f64,
    shares_at_end: f64,
}

impl Recording {
    /// When the first fault comes, in ms since the fleet's start.
    fn first_fault_at_ms(&self) -> u64 {
        self.offset_ms + FIRST_FAULT_MS
    }

    /// Views are right once what is true has been so for as long as is promised.
    fn wrong_views(&self) -> Vec<String> {
        let span_ms = self.bounds.healing_ms.max(self.bounds.detection_ms);
        let is_wrong = |seen: &&Observation| {
            let Some(reachability) = self.stable_state(seen.at_ms, span_ms) else { return false };
            let allowed = reachability.lossy && matches!(seen.view.as_str(), "whole" | "majority");
            seen.view != reachability.expected_view(seen.node) && !allowed
        };
        let behind = self.observations.iter().filter(|seen| seen.at_ms >= self.first_fault_at_ms());
        let line = |seen: &Observation| {
            format!("{} ms: n{} says {}", seen.at_ms - self.offset_ms, seen.node, seen.view)
        };
        behind.filter(is_wrong).map(line).collect()
    }

    /// Called failed though it was in touch with whoever says so for as long as it takes to notice anything.
    fn false_failures(&self) -> BTreeSet<(usize, usize)> {
        let span_ms = self.bounds.healing_ms.max(self.bounds.detection_ms);
        let mut found = BTreeSet::new();
        for seen in self.observations.iter().filter(|seen| seen.at_ms >= self.first_fault_at_ms()) {
            let Some(reachability) = self.stable_state(seen.at_ms, span_ms) else { continue };
            let in_touch = seen.failed.iter().filter(|m| reachability.connected(seen.node, **m));
            found.extend(in_touch.map(|m| (seen.node, *m)));
        }
        found
    }

    /// How long losses took to be found, in ms, sorted.
    fn detection_ms(&self) -> Vec<u64> {
        let mut detection = Vec::new();
        for epoch in 1..self.epochs.len() {
            self.detect_deaths(epoch, &mut detection);
            self.detect_cuts(epoch, &mut detection);
        }
        detection.sort_unstable();
        detection
    }

    /// For each member that fell silent for all, the first look at each other one that says so.
    fn detect_deaths(&self, epoch: usize, detection: &mut Vec<u64>) {
        let (before, now) = (&self.epochs[epoch - 1].reachability, &self.epochs[epoch]);
        let reachability = &now.reachability;
        let nodes = (0..self.nodes()).collect::<Vec<usize>>();
        for m in nodes.iter().copied().filter(|m| before.is_responsive(*m) && !reachability.is_responsive(*m))
        {
            let back = self.epochs[epoch + 1..].iter().find(|later| later.reachability.is_responsive(m));
            let until = back.map_or(u64::MAX, |later| later.since_ms);
            for n in nodes.iter().copied().filter(|n| *n != m && reachability.connected(*n, *n)) {
                let says_so = |seen: &&Observation| {
                    let in_time = seen.at_ms >= now.since_ms && seen.at_ms < until;
                    seen.node == n && in_time && seen.failed.contains(&m)
                };
                let first = self.observations.iter().find(says_so);
                detection.extend(first.map(|seen| seen.at_ms - now.since_ms));
            }
        }
    }

    /// A cut: the first look that says so of each direction that carries nothing any more, to whoever hears nothing,
    /// where nobody between them is left.
    fn detect_cuts(&self, epoch: usize, detection: &mut Vec<u64>) {
        let (before, now) = (&self.epochs[epoch - 1].reachability, &self.epochs[epoch]);
        let reachability = &now.reachability;
        for (b, a) in reachability.blocked_links.iter().filter(|pair| !before.blocked_links.contains(*pair)) {
            if !reachability.is_responsive(*a)
                || !reachability.is_responsive(*b)
                || reachability.component(*a).contains(b)
            {
                continue;
            }
            let says_so = |seen: &&Observation| {
                seen.node == *a && seen.at_ms >= now.since_ms && seen.failed.contains(b)
            };
            let first = self.observations.iter().find(says_so);
            detection.extend(first.map(|seen| seen.at_ms - now.since_ms));
        }
    }

    fn nodes(&self) -> usize {
        self.last_epoch().map_or(0, Reachability::nodes)
    }

    /// From the last fault until the last view was right.
    fn healing_ms(&self) -> u64 {
        let last_fault_at = self.offset_ms + self.last_fault_ms;
        let is_wrong = |seen: &&Observation| {
            let wrong = self
                .last_epoch()
                .is_some_and(|reachability| reachability.expected_view(seen.node) != seen.view);
            seen.at_ms > last_fault_at && wrong
        };
        let wrong = self.observations.iter().filter(is_wrong);
        wrong.map(|seen| seen.at_ms - last_fault_at).max().unwrap_or(0)
    }

    /// The sum of the parts that members said last in a span, of all even parts.
    fn share_sum(&self, from_ms: u64, to_ms: u64) -> f64 {
        let nodes = self.nodes();
        let part = |n: usize| {
            let last = self
                .observations
                .iter()
                .rfind(|seen| seen.node == n && (from_ms..to_ms).contains(&seen.at_ms));
            last.map_or(0.0, |seen| seen.share)
        };
        (0..nodes).map(part).sum::<f64>() / nodes as f64
    }

    /// What all together had in hand of the upstream, second by second.
    fn upstream_occupancy(&self, fleet: &Fleet) -> Vec<f64> {
        let occupancy = fleet.upstream.state().occupancy.clone();
        let second = |buckets: &[f64]| buckets.iter().sum::<f64>();
        occupancy.get(bucket(self.offset_ms)..).unwrap_or(&[]).windows(10).map(second).collect()
    }
}

fn bucket(ms: u64) -> usize {
    (ms / BUCKET_MS) as usize
}

fn in_time_share_between(ledger: &CallerLedger, from_ms: u64, to_ms: u64) -> f64 {
    let buckets = ledger.buckets.get(bucket(from_ms)..bucket(to_ms).min(ledger.buckets.len())).unwrap_or(&[]);
    if buckets.is_empty() {
        0.0
    } else {
        in_time_share(buckets)
    }
}

/// Reports what the recording says, and checks the rules.
pub(super) fn evaluate(report: &mut Report, fleet: &mut Fleet, callers: &Callers, recording: &Recording) {
    let begun = recording.first_fault_at_ms();
    let over = recording.offset_ms + recording.last_fault_ms;
    let ledger = std::mem::take(&mut *callers.ledger());
    let evaluation = Evaluation {
        wrong_views: recording.wrong_views(),
        false_failures: recording.false_failures(),
        detection_ms: recording.detection_ms(),
        healing_ms: recording.healing_ms(),
        upstream_occupancy: recording.upstream_occupancy(fleet),
        in_time_before: in_time_share_between(&ledger, begun - BASELINE_MS, begun),
        in_time_during: in_time_share_between(&ledger, begun, over.max(begun + 1_000)),
        shares_before: recording.share_sum(begun - 1_000, begun),
        shares_at_end: recording.share_sum(over - 1_000, over),
    };
    report_views(report, recording, &evaluation);
    report_shared(report, fleet.members.len(), &evaluation);
    report_service(report, fleet, recording, &ledger);
    report.set("in_time_calm", json!(evaluation.in_time_before));
    report.set("in_time_cut", json!(evaluation.in_time_during));
    if !report.broken().is_empty() {
        recording.plan.faults.iter().for_each(|fault| eprintln!("{fault}"));
        evaluation.wrong_views.iter().take(MAX_PRINTED).for_each(|wrong| eprintln!("{wrong}"));
        let false_failures = evaluation.false_failures.iter().take(MAX_PRINTED);
        false_failures.for_each(|(n, m)| eprintln!("n{n} calls n{m} failed"));
    }
}

fn report_views(report: &mut Report, recording: &Recording, evaluation: &Evaluation) {
    let bounds = &recording.bounds;
    let detection = &evaluation.detection_ms;
    report.set("kind", json!(recording.plan.name));
    report.set("detect_ms_p50", json!(detection.get(detection.len() / 2)));
    report.set("detect_ms_max", json!(detection.last()));
    report.set("detect_bound_ms", json!(bounds.detection_ms));
    report.set("false_failed", json!(evaluation.false_failures.len()));
    report.set("heal_ms", json!(evaluation.healing_ms));
    report.set("heal_bound_ms", json!(bounds.healing_ms));
    report.set("transition_ms", json!(bounds.transition_ms));
    report.set("views_wrong_beyond_bound", json!(evaluation.wrong_views.len()));
    report.set("looks", json!(recording.observations.len()));
    report.rule("a view was wrong for longer than is promised", evaluation.wrong_views.is_empty());
    let late = detection.last().is_some_and(|at| *at > bounds.detection_ms + OBSERVATION_SLACK_MS);
    report.rule("a loss was found later than is promised", !late);
    report.rule("a member in touch was called failed", evaluation.false_failures.is_empty());
}

fn report_shared(report: &mut Report, nodes: usize, evaluation: &Evaluation) {
    let whole = UPSTREAM_CALLS_PER_NODE * USABLE_SHARE * nodes as f64;
    let over_whole = evaluation
        .upstream_occupancy
        .iter()
        .filter(|upstream_occupancy| **upstream_occupancy > whole * CAPACITY_TOLERANCE)
        .count();
    let peak = evaluation.upstream_occupancy.iter().copied().fold(0.0, f64::max);
    report.set("share_over_whole_beyond_bound", json!(over_whole));
    report.set("share_peak", json!(peak / whole));
    report.set("parts_calm", json!(evaluation.shares_before));
    report.set("parts_at_the_end_of_the_fault", json!(evaluation.shares_at_end));
    report.rule("more than the whole was taken of what is shared", over_whole == 0);
    let all_taken = (0.99..1.01).contains(&evaluation.shares_before);
    report.rule("the parts are not all taken in calm", all_taken);
    let enough = evaluation
        .upstream_occupancy
        .iter()
        .any(|upstream_occupancy| *upstream_occupancy > MIN_DEMAND_SHARE * whole);
    report.rule("calls asked for were too few to show what is taken", enough);
}

fn report_service(report: &mut Report, fleet: &mut Fleet, recording: &Recording, ledger: &CallerLedger) {
    let unanswered = recording.injected.count_unexplained(&ledger.unanswered);
    let repeated_effects = fleet.repeated_effects(UPDATE.name);
    let none_panicked = fleet.none_panicked();
    let delivered = fleet.network.as_ref().map_or(0, |network| network.delivered());
    let left = fleet.end();
    report.set("nodes", json!(fleet.members.len()));
    report.set("no_final_answer", json!(unanswered));
    report.set("answered_twice", json!(ledger.answered_twice));
    report.set("effects_twice", json!(repeated_effects));
    report.set("rpcs", json!(ledger.rpcs));
    report.set("datagrams", json!(delivered));
    report.set("left_processes", json!(left));
    report.rule("an RPC got no final answer", unanswered == 0);
    report.rule("an RPC was answered twice", ledger.answered_twice == 0);
    report.rule("an RPC got the result of another", ledger.wrong_results == 0);
    report.rule("an effect was made twice", repeated_effects == 0);
    report.rule("a process was left behind", left == 0);
    report.rule("a process panicked", none_panicked);
}
