//! The scenario: mutual discovery, the figures of an idle fleet, and then the events of the kind.

use super::options::{default_intervals, MembersOptions, ScenarioKind};
use super::run::{own_cpu_ms, to_ms, Cost, Run, DISCOVERY_TIMEOUT};
use super::simulation::{Simulation, MILLISECOND, SECOND, START_TIME};
use crate::process::{resident_kb, OWN_PROCESS};
use crate::report::Report;
use crate::scale::statistics::rounded;
use asterrill::Us;
use asterrill_membership::MembershipConfig;
use serde_json::{json, Value};

/// Wait after mutual discovery.
const SETTLE_TIME: Us = 5 * SECOND;
/// Time over which the figures of an idle fleet are measured.
const IDLE_PHASE: Us = 30 * SECOND;

// Budgets of one backend for all control traffic (docs/design, "the fleet ahead").
const MAX_CPU_MS_PER_S: f64 = 14.0;
const MAX_BYTES_PER_S: f64 = 24_000.0;
const MAX_MEMORY_KB: f64 = 32_768.0;

const BUDGETS: [(&str, f64); 9] = [
    ("cpu_ms_per_s", MAX_CPU_MS_PER_S),
    ("worst_cpu_ms_per_s", MAX_CPU_MS_PER_S),
    ("away_worst_cpu_ms_per_s", MAX_CPU_MS_PER_S),
    ("cut_worst_cpu_ms_per_s", MAX_CPU_MS_PER_S),
    ("bytes_per_s", MAX_BYTES_PER_S),
    ("worst_bytes_per_s", MAX_BYTES_PER_S),
    ("away_worst_bytes_per_s", MAX_BYTES_PER_S),
    ("cut_worst_bytes_per_s", MAX_BYTES_PER_S),
    ("memory_kb", MAX_MEMORY_KB),
];

/// Runs the scenario with the default intervals.
pub fn scenario(report: &mut Report, options: &MembersOptions) {
    run_with_intervals(report, options, default_intervals(options.nodes));
}

/// Runs the scenario with the given intervals.
pub(super) fn run_with_intervals(report: &mut Report, options: &MembersOptions, intervals: MembershipConfig) {
    let (empty_kb, cpu_before_ms) = (resident_kb(OWN_PROCESS), own_cpu_ms());
    let nodes = options.nodes;
    let simulation = Simulation::new(nodes, options.seed, intervals, options.loss);
    let mut run = Run { simulation, options, intervals, report, worst: Cost::default() };
    run.set("nodes", json!(nodes));
    run.set("kind", json!(format!("{:?}", options.kind).to_lowercase()));
    run.set("loss", json!(options.loss));
    let discovery_time = run.simulation.run_until(DISCOVERY_TIMEOUT, Simulation::all_discovered);
    run.set("found_ms", to_ms(discovery_time));
    let bytes = run.simulation.bytes as f64 / nodes as f64;
    run.set("found_bytes", json!(bytes.round()));
    run.track_worst(SETTLE_TIME);
    run.set("found_cpu_ms", rounded((own_cpu_ms() - cpu_before_ms) / nodes as f64));
    run.set("memory_kb", rounded((resident_kb(OWN_PROCESS) - empty_kb) / nodes as f64));
    let idle = run.measure_cost(IDLE_PHASE);
    run.set("cpu_ms_per_s", rounded(idle.cpu_ms));
    run.set("datagrams_per_s", rounded(idle.datagrams));
    run.set("bytes_per_s", rounded(idle.bytes));
    run.set("transition_ms", json!(run.transition_delay() / MILLISECOND));
    run.set("notice_ms", json!(run.detection_bound() / MILLISECOND));
    match options.kind {
        ScenarioKind::Calm => {}
        ScenarioKind::Quiet => run.run_crashes(),
        ScenarioKind::Restarts => run.run_restarts(),
        ScenarioKind::Zone => run.run_zone_outage(),
        ScenarioKind::Cut => run.run_partition(),
    }
    run.set("cpu_ms_of_the_run", json!((own_cpu_ms() - cpu_before_ms).round()));
    run.report.rule("not all members discovered each other in time", discovery_time.is_some());
    run.report_totals();
}

impl Run<'_> {
    /// Reports the totals of the run and checks the rules about the whole run.
    fn report_totals(mut self) {
        let false_failures = self.false_failures();
        self.set("false_failed", json!(false_failures));
        self.set("bytes_max", json!(self.simulation.bytes_max));
        self.set("taken_most", json!((self.simulation.max_total_share * 1e6).round() / 1e6));
        self.set("worst_cpu_ms_per_s", rounded(self.worst.cpu_ms));
        self.set("worst_bytes_per_s", json!(self.worst.bytes.round()));
        self.set("datagrams", json!(self.simulation.sent));
        self.set("virtual_s", json!((self.simulation.now - START_TIME) / SECOND));
        self.set("trace", json!(format!("{:016x}", self.simulation.trace_hash)));
        self.set("memory_kb_of_the_process", json!(resident_kb(OWN_PROCESS)));
        let exceeded = self.simulation.exceeded_total_quota();
        self.report.rule("the quota shares of all members exceeded the whole quota", !exceeded);
        let was_partitioned = self.options.kind == ScenarioKind::Cut;
        self.rule_without_loss(
            "a reachable member was reported as failed",
            false_failures == 0 || was_partitioned,
        );
        self.report_over_budget();
    }

    /// Reports the figures over budget. They break no rule, but the capacity page lists them.
    fn report_over_budget(&mut self) {
        let over = BUDGETS.iter().filter_map(|(name, budget)| {
            let figure = self.report.figure(name)?;
            (figure > *budget).then(|| json!({"what": name, "measured": figure, "budget": budget}))
        });
        let over: Vec<Value> = over.collect();
        self.set("over", json!(over));
    }
}

#[cfg(test)]
#[path = "tests/scenario.rs"]
mod tests;
