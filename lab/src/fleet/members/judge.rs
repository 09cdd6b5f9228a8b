//! What a recording says of the promises and the rules.

use super::faults::FIRST_FAULT_MS;
use super::observation::{Observation, Recording};
use super::reachability::Reachability;
use super::setup::CALLS_EACH;
use crate::fleet::callers::{in_time, CallerLedger, Callers, TENTH_MS};
use crate::fleet::cluster::Fleet;
use crate::method::STOCK_UPDATE;
use crate::report::Report;
use serde_json::json;
use std::collections::BTreeSet;

const SAFE: f64 = 0.8; // of the calls that are shared, what the program makes use of
const OVER_WHOLE: f64 = 1.05; // of the whole
const ENOUGH: f64 = 0.85; // of the whole, that has to be called for to show anything
const LOOKS_MS: u64 = 500; // between two looks at one member, and what a look takes
const CALM_MS: u64 = 4_000; // before the first fault
const PRINTED: usize = 8; // of what is wrong

/// What is worked out of a recording.
struct Judgement {
    /// Views that were wrong for longer than is promised, in words.
    wrong_views: Vec<String>,
    /// Who said of whom that it had failed, though they were in touch.
    false_failures: BTreeSet<(usize, usize)>,
    /// How long losses took to be found, in ms, sorted.
    detection_ms: Vec<u64>,
    /// From the last fault until the last view was right.
    healing_ms: u64,
    /// Calls in hand of the upstream, second by second, over the whole.
    taken: Vec<f64>,
    in_time_calm: f64,
    in_time_faults: f64,
    /// The sum of all parts, before the first fault and at the end of the last.
    parts_calm: f64,
    parts_faults: f64,
}

impl Recording {
    /// When the first fault comes, in ms since the fleet's start.
    fn first_fault_at_ms(&self) -> u64 {
        self.offset_ms + FIRST_FAULT_MS
    }

    /// Views are right once what is true has been so for as long as is promised.
    fn wrong_views(&self) -> Vec<String> {
        let span_ms = self.promises.healing_ms.max(self.promises.detection_ms);
        let is_wrong = |seen: &&Observation| {
            let Some(truth) = self.settled(seen.at_ms, span_ms) else { return false };
            let allowed = truth.lossy && matches!(seen.view.as_str(), "whole" | "majority");
            seen.view != truth.expected_view(seen.node) && !allowed
        };
        let behind = self.observations.iter().filter(|seen| seen.at_ms >= self.first_fault_at_ms());
        let line = |seen: &Observation| {
            format!("{} ms: n{} says {}", seen.at_ms - self.offset_ms, seen.node, seen.view)
        };
        behind.filter(is_wrong).map(line).collect()
    }

    /// Called failed though it was in touch with whoever says so for as long as it takes to notice anything.
    fn false_failures(&self) -> BTreeSet<(usize, usize)> {
        let span_ms = self.promises.healing_ms.max(self.promises.detection_ms);
        let mut found = BTreeSet::new();
        for seen in self.observations.iter().filter(|seen| seen.at_ms >= self.first_fault_at_ms()) {
            let Some(truth) = self.settled(seen.at_ms, span_ms) else { continue };
            let in_touch = seen.failed.iter().filter(|m| truth.connected(seen.node, **m));
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
        let truth = &now.reachability;
        let nodes = (0..self.nodes()).collect::<Vec<usize>>();
        for m in nodes.iter().copied().filter(|m| before.is_on(*m) && !truth.is_on(*m)) {
            let back = self.epochs[epoch + 1..].iter().find(|later| later.reachability.is_on(m));
            let until = back.map_or(u64::MAX, |later| later.since_ms);
            for n in nodes.iter().copied().filter(|n| *n != m && truth.connected(*n, *n)) {
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
        let truth = &now.reachability;
        for (b, a) in truth.cut.iter().filter(|pair| !before.cut.contains(*pair)) {
            if !truth.is_on(*a) || !truth.is_on(*b) || truth.component(*a).contains(b) {
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
            let wrong = self.last_epoch().is_some_and(|truth| truth.expected_view(seen.node) != seen.view);
            seen.at_ms > last_fault_at && wrong
        };
        let wrong = self.observations.iter().filter(is_wrong);
        wrong.map(|seen| seen.at_ms - last_fault_at).max().unwrap_or(0)
    }

    /// The sum of the parts that members said last in a span, of all even parts.
    fn parts(&self, from_ms: u64, to_ms: u64) -> f64 {
        let nodes = self.nodes();
        let part = |n: usize| {
            let last = self
                .observations
                .iter()
                .rfind(|seen| seen.node == n && (from_ms..to_ms).contains(&seen.at_ms));
            last.map_or(0.0, |seen| seen.part)
        };
        (0..nodes).map(part).sum::<f64>() / nodes as f64
    }

    /// What all together had in hand of the upstream, second by second.
    fn taken(&self, fleet: &Fleet) -> Vec<f64> {
        let occupancy = fleet.upstream.state().occupancy.clone();
        let second = |tenths: &[f64]| tenths.iter().sum::<f64>();
        occupancy.get(tenth(self.offset_ms)..).unwrap_or(&[]).windows(10).map(second).collect()
    }
}

fn tenth(ms: u64) -> usize {
    (ms / TENTH_MS) as usize
}

fn in_time_between(ledger: &CallerLedger, from_ms: u64, to_ms: u64) -> f64 {
    let tenths = ledger.tenths.get(tenth(from_ms)..tenth(to_ms).min(ledger.tenths.len())).unwrap_or(&[]);
    if tenths.is_empty() {
        0.0
    } else {
        in_time(tenths)
    }
}

/// Reports what the recording says, and checks the rules.
pub(super) fn judge(report: &mut Report, fleet: &mut Fleet, callers: &Callers, recording: &Recording) {
    let begun = recording.first_fault_at_ms();
    let over = recording.offset_ms + recording.last_fault_ms;
    let ledger = std::mem::take(&mut *callers.ledger());
    let judgement = Judgement {
        wrong_views: recording.wrong_views(),
        false_failures: recording.false_failures(),
        detection_ms: recording.detection_ms(),
        healing_ms: recording.healing_ms(),
        taken: recording.taken(fleet),
        in_time_calm: in_time_between(&ledger, begun - CALM_MS, begun),
        in_time_faults: in_time_between(&ledger, begun, over.max(begun + 1_000)),
        parts_calm: recording.parts(begun - 1_000, begun),
        parts_faults: recording.parts(over - 1_000, over),
    };
    report_views(report, recording, &judgement);
    report_shared(report, fleet.members.len(), &judgement);
    report_service(report, fleet, recording, &ledger);
    report.set("in_time_calm", json!(judgement.in_time_calm));
    report.set("in_time_cut", json!(judgement.in_time_faults));
    if !report.broken().is_empty() {
        recording.plan.faults.iter().for_each(|fault| eprintln!("{fault}"));
        judgement.wrong_views.iter().take(PRINTED).for_each(|wrong| eprintln!("{wrong}"));
        let false_failures = judgement.false_failures.iter().take(PRINTED);
        false_failures.for_each(|(n, m)| eprintln!("n{n} calls n{m} failed"));
    }
}

fn report_views(report: &mut Report, recording: &Recording, judgement: &Judgement) {
    let promises = &recording.promises;
    let detection = &judgement.detection_ms;
    report.set("kind", json!(recording.plan.name));
    report.set("detect_ms_p50", json!(detection.get(detection.len() / 2)));
    report.set("detect_ms_max", json!(detection.last()));
    report.set("detect_bound_ms", json!(promises.detection_ms));
    report.set("false_failed", json!(judgement.false_failures.len()));
    report.set("heal_ms", json!(judgement.healing_ms));
    report.set("heal_bound_ms", json!(promises.healing_ms));
    report.set("transition_ms", json!(promises.transition_ms));
    report.set("views_wrong_beyond_bound", json!(judgement.wrong_views.len()));
    report.set("looks", json!(recording.observations.len()));
    report.rule("a view was wrong for longer than is promised", judgement.wrong_views.is_empty());
    let late = detection.last().is_some_and(|at| *at > promises.detection_ms + LOOKS_MS);
    report.rule("a loss was found later than is promised", !late);
    report.rule("a member in touch was called failed", judgement.false_failures.is_empty());
}

fn report_shared(report: &mut Report, nodes: usize, judgement: &Judgement) {
    let whole = CALLS_EACH * SAFE * nodes as f64;
    let over_whole = judgement.taken.iter().filter(|taken| **taken > whole * OVER_WHOLE).count();
    let peak = judgement.taken.iter().copied().fold(0.0, f64::max);
    report.set("share_over_whole_beyond_bound", json!(over_whole));
    report.set("share_peak", json!(peak / whole));
    report.set("parts_calm", json!(judgement.parts_calm));
    report.set("parts_at_the_end_of_the_fault", json!(judgement.parts_faults));
    report.rule("more than the whole was taken of what is shared", over_whole == 0);
    let all_taken = (0.99..1.01).contains(&judgement.parts_calm);
    report.rule("the parts are not all taken in calm", all_taken);
    let enough = judgement.taken.iter().any(|taken| *taken > ENOUGH * whole);
    report.rule("calls asked for were too few to show what is taken", enough);
}

fn report_service(report: &mut Report, fleet: &mut Fleet, recording: &Recording, ledger: &CallerLedger) {
    let unanswered = recording.injected.count_unexcused(&ledger.unanswered);
    let repeated_effects = fleet.repeated_effects(STOCK_UPDATE.name);
    let none_panicked = fleet.none_panicked();
    let carried = fleet.network.as_ref().map_or(0, |network| network.carried());
    let left = fleet.end();
    report.set("nodes", json!(fleet.members.len()));
    report.set("no_final_answer", json!(unanswered));
    report.set("answered_twice", json!(ledger.answered_twice));
    report.set("effects_twice", json!(repeated_effects));
    report.set("rpcs", json!(ledger.rpcs));
    report.set("datagrams", json!(carried));
    report.set("left_processes", json!(left));
    report.rule("an RPC got no final answer", unanswered == 0);
    report.rule("an RPC was answered twice", ledger.answered_twice == 0);
    report.rule("an RPC got the result of another", ledger.wrong_results == 0);
    report.rule("an effect was made twice", repeated_effects == 0);
    report.rule("a process was left behind", left == 0);
    report.rule("a process panicked", none_panicked);
}
