//! The kind `quiet`: three crashes in sequence, and the wait until the quota of the first crashed member is reassigned.

use super::run::{to_ms, Run, FIRST_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, SECOND};
use asterrill::Us;
use serde_json::Value;

const CRASHES: usize = 3;
const QUICK_CRASHES: usize = 1;
const SHARE_TOLERANCE: f64 = 1e-9;

impl Run<'_> {
    pub(super) fn run_crashes(&mut self) {
        let nodes = self.options.nodes;
        let crashes = if self.options.quick { QUICK_CRASHES } else { CRASHES.min(nodes - nodes / 2) };
        let first_crash = self.simulation.now;
        let mut durations = Vec::new();
        for crash in 0..crashes {
            durations.extend(self.crash_member(nodes / 2 + crash, nodes - 1 - crash));
        }
        self.report_detection(durations);
        if self.waits_for_transitions(FIRST_TRANSITION_MAX_NODES) {
            self.measure_transition(first_crash);
        }
    }

    /// Crashes one member. Returns the times until each of the others detected the failure.
    fn crash_member(&mut self, n: usize, others: usize) -> Vec<Us> {
        let (since, timeout) = (self.simulation.now, 2 * self.detection());
        self.simulation.stop(n, false);
        let mut detected = Vec::new();
        while detected.len() < others && self.simulation.now - since < timeout {
            self.simulation.run(SECOND);
            detected = self.detected(since, &[n]);
        }
        self.rule_without_loss("not all members detected a failure", detected.len() == others);
        detected
    }

    /// Reports when the first member uses quota of the first crashed one, and when the whole quota is in use again.
    fn measure_transition(&mut self, first_crash: Us) {
        let nodes = self.options.nodes;
        let increased_share = 1.0 / (nodes as f64 - 1.0) - SHARE_TOLERANCE;
        let any_increased = |simulation: &Simulation| {
            (0..nodes).any(|n| simulation.up(n) && simulation.quota_share(n) >= increased_share)
        };
        let taken = self.simulation.run_until(self.transition_timeout(), any_increased);
        let taken = taken.map(|_| self.simulation.now - first_crash);
        let all = self.simulation.run_until(self.detection(), Simulation::all_shares_taken);
        let all: Value = to_ms(all.map(|_| self.simulation.now - first_crash));
        self.set("transition_first_ms", to_ms(taken));
        self.set("transition_all_ms", all);
        // A false failure releases a share early, but no other member may use it: the rule is about the total share.
        let early = taken.is_some_and(|taken| taken < self.transition());
        self.rule_without_loss("a quota share was reassigned before the end of the transition", !early);
    }
}
