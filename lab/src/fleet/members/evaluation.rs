//! Evaluation of a recording against the documented bounds.

use super::faults::FIRST_FAULT_MS;
use super::observation::{Observation, Recording};
use super::reachability::Reachability;
use super::setup::UPSTREAM_CALLS_PER_NODE;
use super::upstream_use::UpstreamUse;
use crate::fleet::callers::{in_time_share, CallerLedger, Callers, BUCKET_MS};
use crate::fleet::cluster::Fleet;
use crate::method::STOCK_UPDATE;
use crate::report::Report;
use serde_json::json;
use std::collections::BTreeSet;

/// Share of the configured upstream calls that the program uses.
const USABLE_SHARE: f64 = 0.8;
/// Share of the capacity that calls have to use at some time; with less demand the run does not show whether the
/// capacity is exceeded.
const MIN_DEMAND_SHARE: f64 = 0.85;
/// Interval between observations of a member, and the time that an observation takes.
const OBSERVATION_SLACK_MS: u64 = 500;
/// Time before the first fault over which the service is measured as the baseline.
const BASELINE_MS: u64 = 4_000;
/// Number of wrong views, and of false failures, that are printed.
const MAX_PRINTED: usize = 8;

/// Figures of a recording.
struct Evaluation {
    /// Descriptions of the views that were wrong for longer than the documented bound.
    wrong_views: Vec<String>,
    /// Pairs of a member and a connected member that it reported as failed.
    false_failures: BTreeSet<(usize, usize)>,
    /// Times until losses were detected, in ascending order.
    detection_ms: Vec<u64>,
    /// Time from the last fault until all views were correct.
    healing_ms: u64,
    upstream: UpstreamUse,
    in_time_before: f64,
    in_time_during: f64,
    /// Sum of the shares of all members before the first fault.
    shares_before: f64,
    /// Sum of the shares of all members at the end of the last fault.
    shares_at_end: f64,
}

impl Recording {
    /// Returns the time of the first fault, in milliseconds since the start of the fleet.
    fn first_fault_at_ms(&self) -> u64 {
        self.load_start_ms + FIRST_FAULT_MS
    }

    /// Returns descriptions of the wrong views. A view has to be correct once the reachability has not changed for as
    /// long as the documented bounds.
    fn wrong_views(&self) -> Vec<String> {
        let min_duration_ms = self.bounds.healing_ms.max(self.bounds.detection_ms);
        let is_wrong = |observation: &&Observation| {
            let Some(reachability) = self.stable_state(observation.at_ms, min_duration_ms) else {
                return false;
            };
            let allowed = reachability.lossy && matches!(observation.view.as_str(), "whole" | "majority");
            observation.view != reachability.expected_view(observation.node) && !allowed
        };
        let after_first_fault =
            self.observations.iter().filter(|observation| observation.at_ms >= self.first_fault_at_ms());
        let line = |observation: &Observation| {
            format!(
                "{} ms: n{} has the view {}",
                observation.at_ms - self.load_start_ms,
                observation.node,
                observation.view
            )
        };
        after_first_fault.filter(is_wrong).map(line).collect()
    }

    /// Returns the pairs of a member and a peer that it reported as failed although they had been connected for as
    /// long as the documented bounds.
    fn false_failures(&self) -> BTreeSet<(usize, usize)> {
        let min_duration_ms = self.bounds.healing_ms.max(self.bounds.detection_ms);
        let mut found = BTreeSet::new();
        for observation in
            self.observations.iter().filter(|observation| observation.at_ms >= self.first_fault_at_ms())
        {
            let Some(reachability) = self.stable_state(observation.at_ms, min_duration_ms) else { continue };
            let connected_peers =
                observation.failed.iter().filter(|m| reachability.connected(observation.node, **m));
            found.extend(connected_peers.map(|m| (observation.node, *m)));
        }
        found
    }

    /// Returns the times until losses were detected, in ascending order.
    fn detection_ms(&self) -> Vec<u64> {
        let mut detection = Vec::new();
        for epoch in 1..self.epochs.len() {
            self.detect_member_losses(epoch, &mut detection);
            self.detect_link_losses(epoch, &mut detection);
        }
        detection.sort_unstable();
        detection
    }

    /// Adds the detection times of members that stopped answering: for each other member, the first observation that
    /// reports the failure.
    fn detect_member_losses(&self, epoch: usize, detection: &mut Vec<u64>) {
        let (before, now) = (&self.epochs[epoch - 1].reachability, &self.epochs[epoch]);
        let reachability = &now.reachability;
        let nodes = (0..self.nodes()).collect::<Vec<usize>>();
        for m in nodes.iter().copied().filter(|m| before.is_responsive(*m) && !reachability.is_responsive(*m))
        {
            let next_up = self.epochs[epoch + 1..].iter().find(|later| later.reachability.is_responsive(m));
            let until = next_up.map_or(u64::MAX, |later| later.since_ms);
            for n in nodes.iter().copied().filter(|n| *n != m && reachability.connected(*n, *n)) {
                let reports_failure = |observation: &&Observation| {
                    let in_time = observation.at_ms >= now.since_ms && observation.at_ms < until;
                    observation.node == n && in_time && observation.failed.contains(&m)
                };
                let first = self.observations.iter().find(reports_failure);
                detection.extend(first.map(|observation| observation.at_ms - now.since_ms));
            }
        }
    }

    /// Adds the detection times of newly blocked links: the first observation of the receiver that reports the sender
    /// as failed. Links between members that still reach each other through others are left out.
    fn detect_link_losses(&self, epoch: usize, detection: &mut Vec<u64>) {
        let (before, now) = (&self.epochs[epoch - 1].reachability, &self.epochs[epoch]);
        let reachability = &now.reachability;
        for (b, a) in reachability.blocked_links.iter().filter(|pair| !before.blocked_links.contains(*pair)) {
            if !reachability.is_responsive(*a)
                || !reachability.is_responsive(*b)
                || reachability.component(*a).contains(b)
            {
                continue;
            }
            let reports_failure = |observation: &&Observation| {
                observation.node == *a && observation.at_ms >= now.since_ms && observation.failed.contains(b)
            };
            let first = self.observations.iter().find(reports_failure);
            detection.extend(first.map(|observation| observation.at_ms - now.since_ms));
        }
    }

    fn nodes(&self) -> usize {
        self.final_reachability().map_or(0, Reachability::nodes)
    }

    /// Returns the time from the last fault until all views were correct.
    fn healing_ms(&self) -> u64 {
        let last_fault_at = self.load_start_ms + self.last_fault_ms;
        let is_wrong = |observation: &&Observation| {
            let wrong = self
                .final_reachability()
                .is_some_and(|reachability| reachability.expected_view(observation.node) != observation.view);
            observation.at_ms > last_fault_at && wrong
        };
        let wrong = self.observations.iter().filter(is_wrong);
        wrong.map(|observation| observation.at_ms - last_fault_at).max().unwrap_or(0)
    }

    /// Returns the sum of the shares that members reported last in a time span, relative to the sum of even shares.
    fn share_sum(&self, from_ms: u64, to_ms: u64) -> f64 {
        let nodes = self.nodes();
        let share = |n: usize| {
            let last = self
                .observations
                .iter()
                .rfind(|observation| observation.node == n && (from_ms..to_ms).contains(&observation.at_ms));
            last.map_or(0.0, |observation| observation.share)
        };
        (0..nodes).map(share).sum::<f64>() / nodes as f64
    }

    /// Returns the calls that the upstream held since the start of the load.
    fn upstream_use(&self, fleet: &Fleet) -> UpstreamUse {
        let state = fleet.upstream.state();
        UpstreamUse::from_call_seconds(state.occupancy.get(bucket_index(self.load_start_ms)..).unwrap_or(&[]))
    }
}

fn bucket_index(ms: u64) -> usize {
    (ms / BUCKET_MS) as usize
}

fn in_time_share_between(ledger: &CallerLedger, from_ms: u64, to_ms: u64) -> f64 {
    let buckets = ledger
        .buckets
        .get(bucket_index(from_ms)..bucket_index(to_ms).min(ledger.buckets.len()))
        .unwrap_or(&[]);
    if buckets.is_empty() {
        0.0
    } else {
        in_time_share(buckets)
    }
}

/// Reports the figures of a recording and checks the rules.
pub(super) fn evaluate(report: &mut Report, fleet: &mut Fleet, callers: &Callers, recording: &Recording) {
    let first_fault_ms = recording.first_fault_at_ms();
    let last_fault_ms = recording.load_start_ms + recording.last_fault_ms;
    let ledger = std::mem::take(&mut *callers.ledger());
    let evaluation = Evaluation {
        wrong_views: recording.wrong_views(),
        false_failures: recording.false_failures(),
        detection_ms: recording.detection_ms(),
        healing_ms: recording.healing_ms(),
        upstream: recording.upstream_use(fleet),
        in_time_before: in_time_share_between(&ledger, first_fault_ms - BASELINE_MS, first_fault_ms),
        in_time_during: in_time_share_between(
            &ledger,
            first_fault_ms,
            last_fault_ms.max(first_fault_ms + 1_000),
        ),
        shares_before: recording.share_sum(first_fault_ms - 1_000, first_fault_ms),
        shares_at_end: recording.share_sum(last_fault_ms - 1_000, last_fault_ms),
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
        false_failures.for_each(|(n, m)| eprintln!("n{n} reports the reachable member n{m} as failed"));
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
    report.rule("a view was wrong for longer than the documented bound", evaluation.wrong_views.is_empty());
    let late =
        detection.last().is_some_and(|longest_ms| *longest_ms > bounds.detection_ms + OBSERVATION_SLACK_MS);
    report.rule("a failure was detected later than the documented bound", !late);
    report.rule("a reachable member was reported as failed", evaluation.false_failures.is_empty());
}

fn report_shared(report: &mut Report, nodes: usize, evaluation: &Evaluation) {
    let quota = UPSTREAM_CALLS_PER_NODE * nodes as f64;
    let capacity = quota * USABLE_SHARE;
    let upstream = &evaluation.upstream;
    let peak = |means: Vec<f64>| means.into_iter().fold(0.0, f64::max);
    let window_peak = peak(upstream.window_means());
    let overloads = upstream.overloads(capacity);
    report.set("share_over_whole_beyond_bound", json!(overloads.len()));
    report.set("share_peak", json!(window_peak / capacity));
    report.set("share_peak_decaying", json!(peak(upstream.decaying_means()) / capacity));
    report.set("parts_calm", json!(evaluation.shares_before));
    report.set("parts_at_the_end_of_the_fault", json!(evaluation.shares_at_end));
    report.rule("the members used more than the shared capacity of the upstream", overloads.is_empty());
    report.rule("the upstream held more calls in a window than it can withstand", window_peak <= quota);
    overloads.iter().take(MAX_PRINTED).for_each(|overload| eprintln!("{overload}"));
    let fully_assigned = (0.99..1.01).contains(&evaluation.shares_before);
    report.rule("the shares before the first fault do not add up to the whole capacity", fully_assigned);
    let enough_demand = window_peak > MIN_DEMAND_SHARE * capacity;
    report.rule("too few calls to show whether the shared capacity is exceeded", enough_demand);
}

fn report_service(report: &mut Report, fleet: &mut Fleet, recording: &Recording, ledger: &CallerLedger) {
    let unanswered = recording.injected.count_unexplained(&ledger.unanswered);
    let repeated_effects = fleet.repeated_effects(STOCK_UPDATE.name);
    let none_panicked = fleet.none_panicked();
    let delivered = fleet.network.as_ref().map_or(0, |network| network.delivered());
    let remaining_processes = fleet.kill_all();
    report.set("nodes", json!(fleet.members.len()));
    report.set("no_final_answer", json!(unanswered));
    report.set("answered_twice", json!(ledger.answered_twice));
    report.set("effects_twice", json!(repeated_effects));
    report.set("rpcs", json!(ledger.rpcs));
    report.set("datagrams", json!(delivered));
    report.set("left_processes", json!(remaining_processes));
    report.rule("an RPC got no final answer", unanswered == 0);
    report.rule("an RPC was answered twice", ledger.answered_twice == 0);
    report.rule("an RPC got the result of another RPC", ledger.wrong_results == 0);
    report.rule("an RPC that must not run twice ran twice", repeated_effects == 0);
    report.rule("a process was still running at the end", remaining_processes == 0);
    report.rule("a process panicked", none_panicked);
}
