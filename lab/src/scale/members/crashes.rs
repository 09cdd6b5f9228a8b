//! `quiet`: three deaths, one after the other, and the wait until what the first had is taken.

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
        let deaths = if self.options.quick { QUICK_CRASHES } else { CRASHES.min(nodes - nodes / 2) };
        let first = self.simulation.now;
        let mut took = Vec::new();
        for death in 0..deaths {
            took.extend(self.crash_member(nodes / 2 + death, nodes - 1 - death));
        }
        self.report_detection(took);
        if self.waits_for_transitions(FIRST_TRANSITION_MAX_NODES) {
            self.measure_transition(first);
        }
    }

    /// One member dies; how long each of the others took to find that.
    fn crash_member(&mut self, n: usize, others: usize) -> Vec<Us> {
        let (since, within) = (self.simulation.now, 2 * self.detection());
        self.simulation.stop(n, false);
        let mut took = Vec::new();
        while took.len() < others && self.simulation.now - since < within {
            self.simulation.run(SECOND);
            took = self.detected(since, &[n]);
        }
        self.rule_without_loss("a loss was not found by all", took.len() == others);
        took
    }

    /// What the first had is taken: by whom first, and by whom last.
    fn measure_transition(&mut self, first_death: Us) {
        let nodes = self.options.nodes;
        let more = 1.0 / (nodes as f64 - 1.0) - SHARE_TOLERANCE;
        let some_took = |simulation: &Simulation| {
            (0..nodes).any(|n| simulation.up(n) && simulation.quota_share(n) >= more)
        };
        let taken = self.simulation.run_until(self.transition_timeout(), some_took);
        let taken = taken.map(|_| self.simulation.now - first_death);
        let all = self.simulation.run_until(self.detection(), Simulation::all_shares_taken);
        let all: Value = to_ms(all.map(|_| self.simulation.now - first_death));
        self.set("transition_first_ms", to_ms(taken));
        self.set("transition_all_ms", all);
        // A wrong failure gives a part back early to nobody: the rule is of the sum.
        let early = taken.is_some_and(|taken| taken < self.transition());
        self.rule_without_loss("a part was taken before its time", !early);
    }
}
