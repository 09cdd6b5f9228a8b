//! The kind `restarts`: one restart every 45 s over the fleet, every third without an announcement.

use super::run::{median_and_max, Run};
use super::simulation::{Simulation, SECOND};
use crate::scale::statistics::rounded;
use asterrill::Us;
use serde_json::json;

const RESTART_INTERVAL: Us = 45 * SECOND;
const RESTARTS: usize = 6;
const RESTART_DOWNTIME: Us = SECOND;

impl Run<'_> {
    pub(super) fn run_restarts(&mut self) {
        self.wait_until_fully_shared();
        let nodes = self.options.nodes;
        let (mut recovery_times, mut members_without_share, mut unassigned_share) = (Vec::new(), 0, 0.0_f64);
        for restart in 0..RESTARTS {
            let (n, stopped_at) = (restart * (nodes / RESTARTS) + nodes / 20, self.simulation.now);
            let persisted = self.simulation.stop(n, restart % 3 != 2);
            self.simulation.run(RESTART_DOWNTIME);
            self.simulation.start(vec![(n, persisted)], 0);
            recovery_times
                .extend(self.track_worst_until(RESTART_INTERVAL - RESTART_DOWNTIME, Simulation::all_known));
            while self.simulation.now < stopped_at + RESTART_INTERVAL {
                self.track_worst(SECOND);
                members_without_share = members_without_share.max(self.simulation.members_without_share());
                unassigned_share = unassigned_share.max(1.0 - self.simulation.total_share());
            }
        }
        self.set("restarts", json!(RESTARTS));
        self.set("restarts_back", json!(recovery_times.len()));
        let [p50, max] = median_and_max(recovery_times);
        self.set("back_ms_p50", p50);
        self.set("back_ms_max", max);
        self.set("waiting_max", json!(members_without_share));
        self.set("unused_max", rounded(unassigned_share));
    }
}
