//! RPCs that run on the cores, and the congestion of the cores over time.

use crate::admission_queue::PriorityBand;
use crate::ids::Us;
use crate::rpc::{Rpc, Stage};
use std::collections::BTreeMap;

/// Usage of the cores by one band.
#[derive(Default)]
struct BandUsage {
    running: usize,
    /// Integral over time of parallel_reqs minus the target, where parallel_reqs counts this band and those above it.
    congestion: f64,
}

/// RPCs that run on the cores, by band of priority weight.
#[derive(Default)]
pub(crate) struct CoreUsage {
    bands: BTreeMap<PriorityBand, BandUsage>,
    pub(crate) running: usize,
    /// Time at which an RPC last started to occupy a core or left it.
    pub(crate) last_change: Us,
}

impl CoreUsage {
    /// Advances the integrals by `elapsed` nanoseconds.
    pub(crate) fn advance(&mut self, concurrency_target: f64, elapsed: f64) {
        let mut parallel_reqs = 0.0;
        for band in self.bands.values_mut() {
            parallel_reqs += band.running as f64;
            band.congestion += (parallel_reqs - concurrency_target) * elapsed;
        }
    }

    /// Records that an RPC starts to occupy a core.
    pub(crate) fn enter(&mut self, rpc: &mut Rpc, now: Us) {
        let band = self.bands.entry(rpc.band()).or_default();
        band.running += 1;
        self.running += 1;
        self.last_change = now;
        rpc.stage = Stage::Running;
        rpc.run.entered_at = now;
        rpc.run.congestion_at_entry = band.congestion;
    }

    /// Records that a running RPC leaves its core, and adds to its serving time and congestion.
    pub(crate) fn leave(&mut self, rpc: &mut Rpc, now: Us) {
        let band = self.bands.entry(rpc.band()).or_default();
        band.running -= 1;
        self.running -= 1;
        self.last_change = now;
        rpc.stage = Stage::WaitingToCall;
        rpc.run.served += (now - rpc.run.entered_at) as f64;
        rpc.run.congestion += band.congestion - rpc.run.congestion_at_entry;
    }
}
