//! `zone`: 64 of 510 die at once and are back at once.

use super::run::{to_ms, Run, ALL_MET_WITHIN, SECOND_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, S};
use crate::scale::statistics::rounded;
use asterrill::Us;
use serde_json::json;

const ZONE: usize = 64;
const OF: usize = 510;
const AWAY: Us = 30 * S; // at the least
const BACK_WITHIN: Us = S; // all of them start

impl Run<'_> {
    pub(super) fn play_zone(&mut self) {
        let nodes = self.options.nodes;
        let zone: Vec<usize> = (nodes - (nodes * ZONE / OF).max(1)..nodes).collect();
        let since = self.simulation.now;
        let persisted = self.kill(&zone);
        let (pairs, mut took) = (zone.len() * (nodes - zone.len()), Vec::new());
        let most = 2 * self.detection();
        loop {
            let away = self.simulation.now - since;
            if away >= AWAY && (took.len() >= pairs || away >= most) {
                break;
            }
            self.track_worst(S);
            took = self.detected(since, &zone);
        }
        self.set("zone", json!(zone.len()));
        self.rule_without_loss("a zone's loss was not found by all", took.len() == pairs);
        self.report_detection(took);
        let away = std::mem::take(&mut self.worst);
        self.set("away_worst_cpu_ms_per_s", rounded(away.cpu_ms));
        self.set("away_worst_bytes_per_s", json!(away.bytes.round()));
        self.simulation.start(persisted, BACK_WITHIN);
        self.wait_for_return();
    }

    /// The zone is back: until all know each other, see the whole fleet, and take all.
    fn wait_for_return(&mut self) {
        let back = self.track_worst_until(ALL_MET_WITHIN, Simulation::all_known);
        self.set("back_ms", to_ms(back));
        let complete = self.track_worst_until(ALL_MET_WITHIN, Simulation::all_complete);
        let complete = complete.zip(back).map(|(complete, back)| complete + back);
        self.set("whole_ms", to_ms(complete));
        if self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES) {
            let taken = self.wait_until_taken().zip(complete);
            self.set("all_taken_ms", to_ms(taken.map(|(taken, complete)| taken + complete)));
        }
    }
}
