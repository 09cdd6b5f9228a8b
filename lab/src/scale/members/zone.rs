//! The kind `zone`: 64 of 510 members crash at the same time and restart at the same time.

use super::run::{to_ms, Run, DISCOVERY_TIMEOUT, SECOND_TRANSITION_MAX_NODES};
use super::simulation::{Simulation, SECOND};
use crate::scale::statistics::rounded;
use asterrill::Us;
use serde_json::json;

/// Number of crashed members in a fleet of [`ZONE_FLEET_MEMBERS`].
const ZONE_MEMBERS: usize = 64;
const ZONE_FLEET_MEMBERS: usize = 510;
const MIN_ZONE_DOWNTIME: Us = 30 * SECOND;
/// Time over which the members of the zone restart.
const ZONE_START_SPREAD: Us = SECOND;

impl Run<'_> {
    pub(super) fn run_zone_outage(&mut self) {
        let nodes = self.options.nodes;
        let zone: Vec<usize> = (nodes - (nodes * ZONE_MEMBERS / ZONE_FLEET_MEMBERS).max(1)..nodes).collect();
        let crashed_at = self.simulation.now;
        let persisted = self.kill(&zone);
        let (pairs, mut detected) = (zone.len() * (nodes - zone.len()), Vec::new());
        let max_downtime = 2 * self.detection_bound();
        loop {
            let downtime = self.simulation.now - crashed_at;
            if downtime >= MIN_ZONE_DOWNTIME && (detected.len() >= pairs || downtime >= max_downtime) {
                break;
            }
            self.track_worst(SECOND);
            detected = self.detection_times(crashed_at, &zone);
        }
        self.set("zone", json!(zone.len()));
        self.rule_without_loss("not all members detected the loss of a zone", detected.len() == pairs);
        self.report_detection(detected);
        let worst = std::mem::take(&mut self.worst);
        self.set("away_worst_cpu_ms_per_s", rounded(worst.cpu_ms));
        self.set("away_worst_bytes_per_s", json!(worst.bytes.round()));
        self.simulation.start(persisted, ZONE_START_SPREAD);
        self.measure_recovery();
    }

    /// Reports the times from the restart of the zone until all members know each other, see the whole fleet and use
    /// the whole quota.
    fn measure_recovery(&mut self) {
        let all_known = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_known);
        self.set("back_ms", to_ms(all_known));
        let complete = self.track_worst_until(DISCOVERY_TIMEOUT, Simulation::all_complete);
        let complete = complete.zip(all_known).map(|(complete, all_known)| complete + all_known);
        self.set("whole_ms", to_ms(complete));
        if self.waits_for_transitions(SECOND_TRANSITION_MAX_NODES) {
            let fully_shared = self.wait_until_fully_shared().zip(complete);
            self.set("all_taken_ms", to_ms(fully_shared.map(|(shared, complete)| shared + complete)));
        }
    }
}
