//! What runs on the cores, and how crowded they were.

use crate::admission_queue::PriorityBand;
use crate::ids::Us;
use crate::rpc::{Rpc, Stage};
use std::collections::BTreeMap;

/// One band on the cores.
#[derive(Default)]
struct BandUsage {
    running: usize,
    /// Integral over time of parallel_reqs, this band's and those of the bands above it, less the target.
    congestion: f64,
}

/// RPCs on the cores by band of priority weight.
#[derive(Default)]
pub(crate) struct CoreUsage {
    bands: BTreeMap<PriorityBand, BandUsage>,
    pub(crate) running: usize,
    /// When an RPC last came on or off the cores.
    pub(crate) last_change: Us,
}

impl CoreUsage {
    /// Advances the integrals by a span in nanoseconds.
    pub(crate) fn advance(&mut self, concurrency_target: f64, elapsed: f64) {
        let mut parallel_reqs = 0.0;
        for band in self.bands.values_mut() {
            parallel_reqs += band.running as f64;
            band.congestion += (parallel_reqs - concurrency_target) * elapsed;
        }
    }

    /// An RPC comes on the cores.
    pub(crate) fn enter(&mut self, rpc: &mut Rpc, now: Us) {
        let band = self.bands.entry(rpc.band()).or_default();
        band.running += 1;
        self.running += 1;
        self.last_change = now;
        rpc.stage = Stage::Running;
        rpc.run.since = now;
        rpc.run.congestion_since = band.congestion;
    }

    /// A running RPC comes off the cores.
    pub(crate) fn leave(&mut self, rpc: &mut Rpc, now: Us) {
        let band = self.bands.entry(rpc.band()).or_default();
        band.running -= 1;
        self.running -= 1;
        self.last_change = now;
        rpc.stage = Stage::WaitingToCall;
        rpc.run.served += (now - rpc.run.since) as f64;
        rpc.run.congestion += band.congestion - rpc.run.congestion_since;
    }
}
