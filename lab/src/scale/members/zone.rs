//! `zone`: 64 of 510 die at once and are back at once.

use super::run::{to_ms, Run, DISCOVERY_TIMEOUT, SECOND_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, SECOND};
use crate::scale::statistics::rounded;
use asterrill::Us;
use serde_json::json;

const ZONE_MEMBERS: usize = 64;
const ZONE_FLEET_MEMBERS: usize = 510;
const MIN_ZONE_DOWNTIME: Us = 30 * SECOND; // at the least
const ZONE_START_SPREAD: Us = SECOND; // all of them start

impl Run<'_> {
    pub(super) fn run_zone_outage(&mut self) {
        let nodes = self.options.nodes;
        let zone: Vec<usize> = (nodes - (nodes * ZONE_MEMBERS / ZONE_FLEET_MEMBERS).max(1)..nodes).collect();
        let since = self.simulation.now;
        let persisted = self.kill(&zone);
        let (pairs, mut took) = (zone.len() * (nodes - zone.len()), Vec::new());
        let most = 2 * self.detection();
        loop {
            let away = self.simulation.now - since;
            if away >= MIN_ZONE_DOWNTIME && (took.len() >= pairs || away >= most) {
                break;
            }
            self.track_worst(SECOND);
            took = self.detected(since, &zone);
        }
        self.set("zone", json!(zone.len()));
        self.rule_without_loss("a zone's loss was not found by all", took.len() == pairs);
        self.report_detection(took);
        let away = std::mem::take(&mut self.worst);
        self.set("away_worst_cpu_ms_per_s", rounded(away.cpu_ms));
        self.set("away_worst_bytes_per_s", json!(away.bytes.round()));
        self.simulation.start(persisted, ZONE_START_SPREAD);
        self.wait_for_return();
    }

    /// The zone is back: until all know each other, see the whole fleet, and take all.
    fn wait_for_return(&mut self) {
        let back = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_known);
        self.set("back_ms", to_ms(back));
        let complete = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_complete);
        let complete = complete.zip(back).map(|(complete, back)| complete + back);
        self.set("whole_ms", to_ms(complete));
        if self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES) {
            let taken = self.wait_until_fully_shared().zip(complete);
            self.set("all_taken_ms", to_ms(taken.map(|(taken, complete)| taken + complete)));
        }
    }
}
