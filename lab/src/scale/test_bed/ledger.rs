//! Statistics of the RPCs that a [`BackgroundLoad`](super::load::BackgroundLoad) sends, by phase, and violations of
//! invariants.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum number of phases of a load.
const MAX_PHASES: usize = 8;

/// Statistics of the RPCs that were sent in one phase.
#[derive(Clone, Debug)]
pub struct PhaseStats {
    /// Number of sent RPCs.
    pub sent: u64,
    /// Number of answers with a result.
    pub ok: u64,
    /// Number of RPCs that were rejected before they ran.
    pub rejected: u64,
    /// Number of all other answers.
    pub aborted: u64,
    /// Latency of answers with a result, less the run time at the agent, in microseconds.
    pub added_us: Histogram<u64>,
    /// The longest time without an answer to a health check.
    pub gap: Duration,
    /// The longest time without an answer to a health check of an echo server, which is due to this machine alone.
    pub gap_floor: Duration,
}

impl PhaseStats {
    fn new() -> PhaseStats {
        let added_us = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
        PhaseStats {
            sent: 0,
            ok: 0,
            rejected: 0,
            aborted: 0,
            added_us,
            gap: Duration::ZERO,
            gap_floor: Duration::ZERO,
        }
    }

    /// Returns the added latency at a quantile (0 to 1) in milliseconds, or `None` without answers with a result.
    pub fn added_ms(&self, quantile: f64) -> Option<f64> {
        let has_samples = !self.added_us.is_empty();
        has_samples.then(|| self.added_us.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Merges the statistics of another phase into these.
    pub fn merged(mut self, other: &PhaseStats) -> PhaseStats {
        self.sent += other.sent;
        self.ok += other.ok;
        self.rejected += other.rejected;
        self.aborted += other.aborted;
        self.added_us.add(&other.added_us).unwrap_or_default();
        self.gap = self.gap.max(other.gap);
        self.gap_floor = self.gap_floor.max(other.gap_floor);
        self
    }
}

/// Violations of invariants over all phases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    /// Number of RPCs without an answer.
    pub unanswered: u64,
    /// Number of answers to RPCs that were already answered.
    pub answered_twice: u64,
    /// Number of results that do not belong to their RPC.
    pub wrong_results: u64,
    /// Number of RPCs that were decided under an older version than an RPC sent before.
    pub older_after_newer: u64,
    /// Number of pairs of RPCs whose order of versions was checked.
    pub pairs: u64,
}

/// An RPC without an answer so far.
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) sent: Instant,
    pub(super) phase: usize,
}

/// The RPCs in flight on one connection, by stream.
pub(super) type InFlightTable = Arc<Mutex<BTreeMap<u32, InFlight>>>;

/// State that the threads of a load share.
pub(super) struct Ledger {
    phase: AtomicUsize,
    /// The number of the sentinel pair that is called, or 0.
    pub(super) sentinel_pair: AtomicU64,
    stopped: AtomicBool,
    pub(super) phases: Vec<Mutex<PhaseStats>>,
    pub(super) violations: Mutex<Violations>,
}

impl Ledger {
    pub(super) fn new() -> Ledger {
        Ledger {
            phase: AtomicUsize::new(0),
            sentinel_pair: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            phases: (0..MAX_PHASES).map(|_| Mutex::new(PhaseStats::new())).collect(),
            violations: Mutex::default(),
        }
    }

    pub(super) fn phase(&self) -> usize {
        self.phase.load(Ordering::Acquire)
    }

    pub(super) fn set_phase(&self, phase: usize) {
        self.phase.store(phase, Ordering::Release);
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}
