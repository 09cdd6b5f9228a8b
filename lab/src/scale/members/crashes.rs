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
        let (crashed_at, timeout) = (self.simulation.now, 2 * self.detection_bound());
        self.simulation.stop(n, false);
        let mut detected = Vec::new();
        while detected.len() < others && self.simulation.now - crashed_at < timeout {
            self.simulation.run(SECOND);
            detected = self.detection_times(crashed_at, &[n]);
        }
        self.rule_without_loss("not all members detected a failure", detected.len() == others);
        detected
    }

    /// Reports when the first member uses quota of the first crashed one, and when the whole quota is in use again.
    fn measure_transition(&mut self, first_crash: Us) {
        let nodes = self.options.nodes;
        let increased_share = 1.0 / (nodes as f64 - 1.0) - SHARE_TOLERANCE;
        let any_increased = |simulation: &Simulation| {
            (0..nodes).any(|n| simulation.is_up(n) && simulation.quota_share(n) >= increased_share)
        };
        let first_reassigned = self.simulation.run_until(self.transition_timeout(), any_increased);
        let first_reassigned = first_reassigned.map(|_| self.simulation.now - first_crash);
        let fully_shared =
            self.simulation.run_until(self.detection_bound(), Simulation::quota_fully_assigned);
        let fully_shared: Value = to_ms(fully_shared.map(|_| self.simulation.now - first_crash));
        self.set("transition_first_ms", to_ms(first_reassigned));
        self.set("transition_all_ms", fully_shared);
        // A false failure releases a share early, but no other member may use it: the rule is about the total share.
        let early = first_reassigned.is_some_and(|delay| delay < self.transition_delay());
        self.rule_without_loss("a quota share was reassigned before the end of the transition", !early);
    }
}
