//! Probation monitor: decides whether service degrades because of a change.
//!
//! The service level is the fraction of criticality that is answered ok within its latency objective. It is measured
//! with the criticality and the objectives of the version before the change, so that a change cannot improve its own
//! result by redefining them. The window before the change is the baseline. The control is an estimate of what the
//! old version would have lost under the load after the change. Three causes of loss are not attributed to the
//! change:
//!
//! - **A jump in load.** If the arriving work exceeds both the capacity of the old version's cores and the most work
//!   that was served before, the old version would have lost the excess too. Exactly that much loss is expected, so a
//!   bad change during a jump is still detected by the loss beyond it. The excess is taken evenly from all methods. A
//!   server that sheds the least critical RPCs first should lose less, but at three times the load it lost a measured
//!   0.50 of criticality, where strict order would have lost 0.32.
//! - **A slow upstream.** RPCs whose upstream call failed or timed out are left out of the baseline and of the
//!   observation. An RPC whose call was never placed is counted, because the change may be the cause.
//! - **A short random fluctuation.** The loss must show in each of the last [`RECENT_SLOTS`] slots of half a second
//!   that had enough RPCs, and over all of them it must be statistically significant.
//!
//! A smaller, lasting loss is detected at the end of the probation. Most slots must then have been bad, so that a
//! single short failure does not count.
//!
//! The test compares weighted proportions: the change is rolled back once the loss exceeds the expected loss by
//! [`MAX_EXCESS_LOSS`] and by [`MIN_STANDARD_ERRORS`], with an effective sample size of at least
//! [`MIN_EFFECTIVE_SAMPLES`] RPCs. It is confirmed when the probation ends. With a smaller sample the probation is
//! extended, up to [`MAX_PROBATION_FACTOR`] times its length.
//!
//! Limits: a change that costs less than [`MAX_EXCESS_LOSS`] is confirmed. A good change is rolled back if it is
//! applied in the first seconds of a lasting failure that only this server sees.

use crate::baseline::{Baseline, SLOT_US};
use crate::sample::ServiceSample;
use crate::version::Us;
use asterrill_entries::Configuration;
use std::collections::VecDeque;

/// Number of most recent slots, half a second each, that must all be bad.
pub const RECENT_SLOTS: usize = 6;
/// Fraction of criticality that may be lost beyond the expected loss.
pub const MAX_EXCESS_LOSS: f64 = 0.05;
/// Minimum distance of the loss above the expected loss, in standard errors.
pub const MIN_STANDARD_ERRORS: f64 = 4.0;
/// Minimum effective sample size for a decision, in RPCs.
pub const MIN_EFFECTIVE_SAMPLES: f64 = 30.0;
/// Largest factor by which the probation is extended while the effective sample size is too small.
pub const MAX_PROBATION_FACTOR: u64 = 3;

/// Minimum effective sample size of a conclusive slot, in RPCs.
const MIN_SLOT_EFFECTIVE_SAMPLES: f64 = 3.0;
/// Utilization of the cores that the old version could sustain, as a fraction.
const SUSTAINABLE_UTILIZATION: f64 = 0.9;
/// Bounds of the pooled loss. A window without any loss does not show that the loss rate is 0.
const POOLED_LOSS_BOUNDS: std::ops::RangeInclusive<f64> = 0.01..=0.99;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Loss as a fraction of criticality, with its effective sample size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loss {
    /// Lost criticality divided by total criticality, 0 to 1.
    pub fraction: f64,
    /// Effective sample size: the number of RPCs of equal weight that would give the same precision.
    pub effective_samples: f64,
}

/// Decision about the change.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No decision yet.
    Wait,
    /// Service has degraded: the previous version must be restored.
    RollBack {
        /// Expected loss.
        expected: Loss,
        /// Observed loss.
        observed: Loss,
    },
    /// The probation has ended without significant loss.
    Confirm {
        /// Expected loss.
        expected: Loss,
        /// Observed loss.
        observed: Loss,
    },
}

/// Sums of RPCs weighted by criticality.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedLoss {
    total: f64,
    lost: f64,
}

impl WeightedLoss {
    fn plus(self, other: WeightedLoss) -> WeightedLoss {
        WeightedLoss { total: self.total + other.total, lost: self.lost + other.lost }
    }
    fn fraction(self) -> f64 {
        if self.total > 0.0 {
            self.lost / self.total
        } else {
            0.0
        }
    }
}

/// Half a second of the probation, with its evaluation.
#[derive(Clone, Debug)]
struct Slot {
    sample: ServiceSample,
    expected: WeightedLoss,
    bad: bool,
}

/// Counts of conclusive slots and of the bad ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCounts {
    conclusive: usize,
    bad: usize,
}

/// Monitor of the service level during the probation of one version.
#[derive(Clone, Debug)]
pub struct ProbationMonitor {
    /// Version before the change. Its criticality weights are looked up rather than copied.
    old: Configuration,
    /// Work that the old version could complete per second, in microseconds.
    capacity_us: f64,
    baseline: ServiceSample,
    /// Effective sample size of the baseline, in RPCs.
    baseline_effective_samples: f64,
    recent: VecDeque<Slot>,
    /// Sum of all samples of the probation.
    total: ServiceSample,
    total_expected: WeightedLoss,
    slot_counts: SlotCounts,
    open_slot: ServiceSample,
    open_since: Us,
    start: Us,
    probation: Us,
}

impl ProbationMonitor {
    /// Creates a monitor for a probation of `probation` microseconds that starts at `now`. `old` is the version
    /// before the change; its criticality and cores are the reference for the evaluation.
    pub fn new(now: Us, baseline: &Baseline, old: Configuration, probation: Us) -> ProbationMonitor {
        let slots_per_second = (1_000_000 / SLOT_US) as f64;
        let sustainable = old.globals().cores as f64 * MICROSECONDS_PER_SECOND * SUSTAINABLE_UTILIZATION;
        let capacity_us = sustainable.max(baseline.peak_slot_work_us() * slots_per_second);
        let mut monitor = ProbationMonitor {
            old,
            capacity_us,
            baseline: ServiceSample::default(),
            baseline_effective_samples: 0.0,
            recent: VecDeque::new(),
            total: ServiceSample::default(),
            total_expected: WeightedLoss::default(),
            slot_counts: SlotCounts::default(),
            open_slot: ServiceSample::default(),
            open_since: now,
            start: now,
            probation,
        };
        let baseline = baseline.total();
        monitor.baseline_effective_samples = monitor.observed_loss(&baseline).effective_samples;
        monitor.baseline = baseline;
        monitor
    }

    /// Adds the sample of the time since the last call, and evaluates the change whenever a slot is complete.
    pub fn observe(&mut self, now: Us, sample: &ServiceSample) -> Verdict {
        self.open_slot.add(sample);
        if now < self.open_since.saturating_add(SLOT_US) {
            return Verdict::Wait;
        }
        self.open_since = now;
        let sample = std::mem::take(&mut self.open_slot);
        self.close_slot(sample);
        self.decide(now)
    }

    fn close_slot(&mut self, sample: ServiceSample) {
        self.total.add(&sample);
        let expected = self.expected_slot_loss(&sample);
        self.total_expected = self.total_expected.plus(expected);
        let observed = self.observed_loss(&sample);
        let conclusive = observed.effective_samples >= MIN_SLOT_EFFECTIVE_SAMPLES;
        // An inconclusive slot is not evidence that the change is good.
        let bad = !conclusive || observed.fraction > expected.fraction() + MAX_EXCESS_LOSS / 2.0;
        if conclusive {
            self.slot_counts.conclusive += 1;
            self.slot_counts.bad += usize::from(bad);
        }
        if self.recent.len() >= RECENT_SLOTS {
            self.recent.pop_front();
        }
        self.recent.push_back(Slot { sample, expected, bad });
    }

    fn decide(&self, now: Us) -> Verdict {
        if let Some(verdict) = self.evaluate_recent() {
            return verdict;
        }
        let elapsed = now.saturating_sub(self.start);
        if elapsed < self.probation {
            return Verdict::Wait;
        }
        let expected = self.expected_loss(self.total_expected);
        let observed = self.observed_loss(&self.total);
        let enough_samples = observed.effective_samples >= MIN_EFFECTIVE_SAMPLES;
        if !enough_samples && elapsed < self.probation.saturating_mul(MAX_PROBATION_FACTOR) {
            return Verdict::Wait;
        }
        // A small loss that lasts for the whole probation becomes significant only at its end.
        let mostly_bad = self.slot_counts.bad * 2 > self.slot_counts.conclusive;
        if enough_samples && significantly_above(expected, observed) && mostly_bad {
            return Verdict::RollBack { expected, observed };
        }
        Verdict::Confirm { expected, observed }
    }

    /// Returns a rollback if each of the recent slots was bad and their combined loss is significant.
    fn evaluate_recent(&self) -> Option<Verdict> {
        let mut sample = ServiceSample::default();
        self.recent.iter().for_each(|slot| sample.add(&slot.sample));
        let expected = self.recent.iter().fold(WeightedLoss::default(), |sum, slot| sum.plus(slot.expected));
        let expected = self.expected_loss(expected);
        let observed = self.observed_loss(&sample);
        let enough_samples =
            self.recent.len() >= RECENT_SLOTS && observed.effective_samples >= MIN_EFFECTIVE_SAMPLES;
        let all_bad = self.recent.iter().all(|slot| slot.bad);
        (enough_samples && significantly_above(expected, observed) && all_bad)
            .then_some(Verdict::RollBack { expected, observed })
    }

    fn weight(&self, name: &str) -> f64 {
        self.old.method(name).map_or(0.0, |method| method.criticality)
    }

    /// Returns the fraction of criticality that was not answered in time. RPCs that failed in the upstream are
    /// excluded.
    fn observed_loss(&self, sample: &ServiceSample) -> Loss {
        let mut sum = WeightedLoss::default();
        let mut squares = 0.0;
        for (name, counts) in &sample.methods {
            let weight = self.weight(name);
            let evaluated = counts.evaluated();
            sum.total += weight * evaluated;
            sum.lost += weight * (evaluated - counts.in_time).max(0.0);
            squares += weight * weight * evaluated;
        }
        let effective_samples = if squares > 0.0 { sum.total * sum.total / squares } else { 0.0 };
        Loss { fraction: sum.fraction(), effective_samples }
    }

    /// Estimates what the old version would have lost under the load of a slot: the baseline loss of each method, plus
    /// the share of the load that exceeds the capacity.
    fn expected_slot_loss(&self, sample: &ServiceSample) -> WeightedLoss {
        let capacity_us = self.capacity_us * SLOT_US as f64 / 1e6;
        let work_us = sample.total_work_us();
        let served_fraction = if work_us > 0.0 { (capacity_us / work_us).min(1.0) } else { 1.0 };
        let mut sum = WeightedLoss::default();
        for (name, counts) in &sample.methods {
            let before = self.baseline.methods.get(name).copied().unwrap_or_default();
            let evaluated = before.evaluated();
            let baseline_loss = if evaluated > 0.0 {
                ((evaluated - before.in_time) / evaluated).clamp(0.0, 1.0)
            } else {
                0.0
            };
            let criticality = self.weight(name) * counts.evaluated();
            sum.total += criticality;
            sum.lost += criticality * (1.0 - (1.0 - baseline_loss) * served_fraction);
        }
        sum
    }

    /// Returns an expected loss with the effective sample size of the baseline.
    fn expected_loss(&self, sum: WeightedLoss) -> Loss {
        Loss { fraction: sum.fraction(), effective_samples: self.baseline_effective_samples }
    }
}

/// Reports whether a loss exceeds the expected loss by more than [`MAX_EXCESS_LOSS`] and is statistically significant.
fn significantly_above(expected: Loss, observed: Loss) -> bool {
    let pooled = (expected.fraction + observed.fraction) / 2.0;
    let pooled = pooled.clamp(*POOLED_LOSS_BOUNDS.start(), *POOLED_LOSS_BOUNDS.end());
    let inverse_samples =
        1.0 / observed.effective_samples.max(1.0) + 1.0 / expected.effective_samples.max(1.0);
    let standard_error = (pooled * (1.0 - pooled) * inverse_samples).sqrt();
    observed.fraction > expected.fraction + MAX_EXCESS_LOSS.max(MIN_STANDARD_ERRORS * standard_error)
}
