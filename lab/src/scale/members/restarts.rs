//! `restarts`: one restart each 45 s over the fleet, every third without a word.

use super::run::{median_and_max, Run};
use super::simulation::{Simulation, S};
use crate::scale::statistics::rounded;
use asterrill::Us;
use serde_json::json;

const EVERY: Us = 45 * S; // between restarts
const RESTARTS: usize = 6;
const DOWN: Us = S; // that a restart takes

impl Run<'_> {
    pub(super) fn play_restarts(&mut self) {
        self.wait_until_taken();
        let nodes = self.options.nodes;
        let (mut back, mut without_part, mut untaken) = (Vec::new(), 0, 0.0_f64);
        for restart in 0..RESTARTS {
            let (n, since) = (restart * (nodes / RESTARTS) + nodes / 20, self.simulation.now);
            let persisted = self.simulation.stop(n, restart % 3 != 2);
            self.simulation.run(DOWN);
            self.simulation.start(vec![(n, persisted)], 0);
            back.extend(self.track_worst_until(EVERY - DOWN, Simulation::all_known));
            while self.simulation.now < since + EVERY {
                self.track_worst(S);
                without_part = without_part.max(self.simulation.without_part());
                untaken = untaken.max(1.0 - self.simulation.taken());
            }
        }
        self.set("restarts", json!(RESTARTS));
        self.set("restarts_back", json!(back.len()));
        let [p50, max] = median_and_max(back);
        self.set("back_ms_p50", p50);
        self.set("back_ms_max", max);
        self.set("waiting_max", json!(without_part));
        self.set("unused_max", rounded(untaken));
    }
}
