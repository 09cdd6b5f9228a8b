//! The account of the RPCs that a [`BackgroundLoad`](super::load::BackgroundLoad) sends: figures by phase, and what must
//! never happen.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Phases that a load can tell apart.
const MAX_PHASES: usize = 8;

/// What became of the RPCs that were sent in one phase.
#[derive(Clone, Debug)]
pub struct PhaseStats {
    /// RPCs that were sent.
    pub sent: u64,
    /// Answers with a result.
    pub ok: u64,
    /// Rejections before the RPC ran.
    pub rejected: u64,
    /// All other answers.
    pub aborted: u64,
    /// Of answers with a result, the latency beyond the agent's time, in microseconds.
    pub added_us: Histogram<u64>,
    /// The longest time without an answer to the health checks.
    pub gap: Duration,
    /// The same of health checks of a stand-in: what this machine does to such a figure by itself.
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

    /// The added latency at a quantile (0 to 1), in ms; none where nothing was answered ok.
    pub fn added_ms(&self, quantile: f64) -> Option<f64> {
        let any = !self.added_us.is_empty();
        any.then(|| self.added_us.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// Both phases as one.
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

/// What must never happen, over all phases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Violations {
    /// RPCs without an answer.
    pub unanswered: u64,
    /// Answers to RPCs that had been answered.
    pub answered_twice: u64,
    /// Results that no run made for their RPC.
    pub wrong_results: u64,
    /// An RPC that was sent after another was decided under an older version than that one.
    pub older_after_newer: u64,
    /// Pairs of RPCs by which that was checked.
    pub pairs: u64,
}

/// An RPC that waits for its answer.
pub(super) struct InFlight {
    pub(super) number: u64,
    pub(super) sent: Instant,
    pub(super) phase: usize,
}

/// The RPCs in flight on one connection, by stream.
pub(super) type InFlightTable = Arc<Mutex<BTreeMap<u32, InFlight>>>;

/// What the threads of a load share.
pub(super) struct Ledger {
    phase: AtomicUsize,
    /// The sentinel pair that is called, 0 for none.
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
