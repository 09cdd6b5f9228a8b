//! `quiet`: three deaths, one after the other, and the wait until what the first had is taken.

use super::run::{to_ms, Run, FIRST_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, S};
use asterrill::Us;
use serde_json::Value;

const DEATHS: usize = 3;
const QUICK_DEATHS: usize = 1;
const PART_ERROR: f64 = 1e-9;

impl Run<'_> {
    pub(super) fn play_deaths(&mut self) {
        let nodes = self.options.nodes;
        let deaths = if self.options.quick { QUICK_DEATHS } else { DEATHS.min(nodes - nodes / 2) };
        let first = self.simulation.now;
        let mut took = Vec::new();
        for death in 0..deaths {
            took.extend(self.play_death(nodes / 2 + death, nodes - 1 - death));
        }
        self.report_detection(took);
        if self.waits_for_transitions(FIRST_TRANSITION_MAX_NODES) {
            self.play_transition(first);
        }
    }

    /// One member dies; how long each of the others took to find that.
    fn play_death(&mut self, n: usize, others: usize) -> Vec<Us> {
        let (since, within) = (self.simulation.now, 2 * self.detection());
        self.simulation.stop(n, false);
        let mut took = Vec::new();
        while took.len() < others && self.simulation.now - since < within {
            self.simulation.run(S);
            took = self.detected(since, &[n]);
        }
        self.rule_without_loss("a loss was not found by all", took.len() == others);
        took
    }

    /// What the first had is taken: by whom first, and by whom last.
    fn play_transition(&mut self, first_death: Us) {
        let nodes = self.options.nodes;
        let more = 1.0 / (nodes as f64 - 1.0) - PART_ERROR;
        let some_took =
            |simulation: &Simulation| (0..nodes).any(|n| simulation.up(n) && simulation.part(n) >= more);
        let taken = self.simulation.until(self.transitions_over(), some_took);
        let taken = taken.map(|_| self.simulation.now - first_death);
        let all = self.simulation.until(self.detection(), Simulation::all_taken);
        let all: Value = to_ms(all.map(|_| self.simulation.now - first_death));
        self.set("transition_first_ms", to_ms(taken));
        self.set("transition_all_ms", all);
        // A wrong failure gives a part back early to nobody: the rule is of the sum.
        let early = taken.is_some_and(|taken| taken < self.transition());
        self.rule_without_loss("a part was taken before its time", !early);
    }
}
