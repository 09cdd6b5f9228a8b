//! The monitor of a probation: does service drop because of a change?
//!
//! Service is the fraction of criticality that was answered ok within its latency objective, with the criticality and
//! the objectives of the version before: a change can't make itself look good by what it says. The window before the
//! change is the baseline; the control is what the old version would have made of the load after it:
//!
//! - **A jump in load** is no fault of the change. If the work that comes is more than both what the cores of the
//!   old version could do and the most that was ever served before, the old version would have lost the excess.
//!   That much is allowed for, and no more: a bad change during a jump is found by what it loses beyond. The excess
//!   is taken evenly from all methods: a server that sheds the least critical first does better than that, but
//!   measured at three times the load it lost 0.50 of criticality where that order would have lost 0.32.
//! - **A slow upstream** is none either: RPCs whose call failed or timed out are left out on both sides. One
//!   whose call was never placed is not: that may be the change.
//! - **A few unlucky seconds** are recognised by time: the loss must show in each of the last [`RECENT_SLOTS`] slots of
//!   half a second that brought enough evidence, and over all of them be more than chance makes.
//!
//! A smaller loss that lasts shows at the end of the probation: then most slots of it must have been bad, so that
//! one short failure in it does not count.
//!
//! The test is of a proportion with weights: the change is rolled back once the loss exceeds what is expected by
//! [`MAX_EXCESS_LOSS`] and by [`MIN_STANDARD_ERRORS`], on at least [`MIN_EFFECTIVE_SAMPLES`] RPCs' worth of evidence. It is confirmed when the
//! probation ends; with less evidence than that it is extended, to [`MAX_PROBATION_FACTOR`] times its length at the most.
//!
//! Limits: a change that costs less than [`MAX_EXCESS_LOSS`] stays; a change that is applied into the first seconds of
//! a failure that lasts, and that only this server sees, is rolled back though it was good.

use crate::baseline::{Baseline, SLOT_US};
use crate::sample::ServiceSample;
use crate::version::Us;
use asterrill_entries::Configuration;
use std::collections::VecDeque;

/// Slots of half a second that must all be bad.
pub const RECENT_SLOTS: usize = 6;
/// Fraction of criticality that may be lost beyond what is expected.
pub const MAX_EXCESS_LOSS: f64 = 0.05;
/// Standard errors that the loss must lie above what is expected.
pub const MIN_STANDARD_ERRORS: f64 = 4.0;
/// RPCs' worth of evidence before anything is decided.
pub const MIN_EFFECTIVE_SAMPLES: f64 = 30.0;
/// Times the probation lasts at the longest while there is too little evidence.
pub const MAX_PROBATION_FACTOR: u64 = 3;

/// RPCs' worth of evidence in a slot, below which it proves nothing by itself.
const MIN_SLOT_EFFECTIVE_SAMPLES: f64 = 3.0;
/// Fraction of the cores beyond which work is more than the old version could do for long.
const SUSTAINABLE_UTILIZATION: f64 = 0.9;
/// The pooled loss is taken to lie within these bounds: a window without any loss proves little.
const POOLED_LOSS: std::ops::RangeInclusive<f64> = 0.01..=0.99;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A loss as a fraction of criticality, and the evidence for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loss {
    /// Lost criticality by all criticality, 0 to 1.
    pub fraction: f64,
    /// How many RPCs of equal weight would prove as much.
    pub effective_samples: f64,
}

/// What is to become of the change.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is decided yet.
    Wait,
    /// Service has dropped: return to the version before.
    RollBack {
        /// The loss that was to be expected.
        expected: Loss,
        /// The loss that was observed.
        observed: Loss,
    },
    /// The probation has ended well.
    Confirm {
        /// The loss that was to be expected.
        expected: Loss,
        /// The loss that was observed.
        observed: Loss,
    },
}

/// Weighted RPCs: criticality that arrived, and what of it was lost.
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

/// Half a second of the probation and what it shows by itself, computed once.
#[derive(Clone, Debug)]
struct Slot {
    sample: ServiceSample,
    expected: WeightedLoss,
    bad: bool,
}

/// How many slots had enough evidence, and how many of them were bad.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCounts {
    conclusive: usize,
    bad: usize,
}

/// Watches service during the probation of one version.
#[derive(Clone, Debug)]
pub struct ProbationMonitor {
    /// The version before the change; its criticality weights are looked up, not copied.
    old: Configuration,
    /// Work that the old version could do in a second, in microseconds.
    capacity_us: f64,
    baseline: ServiceSample,
    /// RPCs' worth of evidence in the baseline.
    baseline_effective_samples: f64,
    recent: VecDeque<Slot>,
    /// Over all of the probation.
    total: ServiceSample,
    total_expected: WeightedLoss,
    tally: SlotCounts,
    open_slot: ServiceSample,
    open_since: Us,
    start: Us,
    probation: Us,
}

impl ProbationMonitor {
    /// Begins at `now`, for a probation of `probation` microseconds. `old`: the version before, by whose criticality
    /// and cores the change is judged.
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
            tally: SlotCounts::default(),
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

    /// Adds what was served since the last call, and judges once a slot is complete.
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
        let expected = self.expected_of(&sample);
        self.total_expected = self.total_expected.plus(expected);
        let observed = self.observed_loss(&sample);
        let conclusive = observed.effective_samples >= MIN_SLOT_EFFECTIVE_SAMPLES;
        // One without enough evidence does not speak for the change either.
        let bad = !conclusive || observed.fraction > expected.fraction() + MAX_EXCESS_LOSS / 2.0;
        if conclusive {
            self.tally.conclusive += 1;
            self.tally.bad += usize::from(bad);
        }
        if self.recent.len() >= RECENT_SLOTS {
            self.recent.pop_front();
        }
        self.recent.push_back(Slot { sample, expected, bad });
    }

    fn decide(&self, now: Us) -> Verdict {
        if let Some(verdict) = self.judge_recent() {
            return verdict;
        }
        let passed = now.saturating_sub(self.start);
        if passed < self.probation {
            return Verdict::Wait;
        }
        let expected = self.expected_loss(self.total_expected);
        let observed = self.observed_loss(&self.total);
        let enough = observed.effective_samples >= MIN_EFFECTIVE_SAMPLES;
        if !enough && passed < self.probation.saturating_mul(MAX_PROBATION_FACTOR) {
            return Verdict::Wait;
        }
        // A small loss that lasted for all of the probation shows only now.
        let mostly_bad = self.tally.bad * 2 > self.tally.conclusive;
        if enough && significantly_above(expected, observed) && mostly_bad {
            return Verdict::RollBack { expected, observed };
        }
        Verdict::Confirm { expected, observed }
    }

    /// Rolls back if each of the last slots was bad, and all together prove it.
    fn judge_recent(&self) -> Option<Verdict> {
        let mut sample = ServiceSample::default();
        self.recent.iter().for_each(|slot| sample.add(&slot.sample));
        let expected = self.recent.iter().fold(WeightedLoss::default(), |sum, slot| sum.plus(slot.expected));
        let expected = self.expected_loss(expected);
        let observed = self.observed_loss(&sample);
        let full = self.recent.len() >= RECENT_SLOTS && observed.effective_samples >= MIN_EFFECTIVE_SAMPLES;
        let all_bad = self.recent.iter().all(|slot| slot.bad);
        (full && significantly_above(expected, observed) && all_bad)
            .then_some(Verdict::RollBack { expected, observed })
    }

    fn weight(&self, name: &str) -> f64 {
        self.old.method(name).map_or(0.0, |method| method.criticality)
    }

    /// The fraction of criticality that was not answered in time, without what failed in the upstream.
    fn observed_loss(&self, sample: &ServiceSample) -> Loss {
        let mut sum = WeightedLoss::default();
        let mut squares = 0.0;
        for (name, counts) in &sample.methods {
            let weight = self.weight(name);
            let judged = counts.judged();
            sum.total += weight * judged;
            sum.lost += weight * (judged - counts.in_time).max(0.0);
            squares += weight * weight * judged;
        }
        let effective_samples = if squares > 0.0 { sum.total * sum.total / squares } else { 0.0 };
        Loss { fraction: sum.fraction(), effective_samples }
    }

    /// What the old version would have lost of a slot's load: as in the baseline, and of each method what is beyond
    /// the capacity.
    fn expected_of(&self, sample: &ServiceSample) -> WeightedLoss {
        let capacity_us = self.capacity_us * SLOT_US as f64 / 1e6;
        let work_us = sample.total_work_us();
        let fits = if work_us > 0.0 { (capacity_us / work_us).min(1.0) } else { 1.0 };
        let mut sum = WeightedLoss::default();
        for (name, counts) in &sample.methods {
            let before = self.baseline.methods.get(name).copied().unwrap_or_default();
            let judged = before.judged();
            let usual_loss =
                if judged > 0.0 { ((judged - before.in_time) / judged).clamp(0.0, 1.0) } else { 0.0 };
            let criticality = self.weight(name) * counts.judged();
            sum.total += criticality;
            sum.lost += criticality * (1.0 - (1.0 - usual_loss) * fits);
        }
        sum
    }

    /// An expected loss; its evidence is that of the baseline.
    fn expected_loss(&self, sum: WeightedLoss) -> Loss {
        Loss { fraction: sum.fraction(), effective_samples: self.baseline_effective_samples }
    }
}

/// Whether a loss is above the expected one by more than the margin and more than chance makes.
fn significantly_above(expected: Loss, observed: Loss) -> bool {
    let pooled = (expected.fraction + observed.fraction) / 2.0;
    let pooled = pooled.clamp(*POOLED_LOSS.start(), *POOLED_LOSS.end());
    let inverse_samples =
        1.0 / observed.effective_samples.max(1.0) + 1.0 / expected.effective_samples.max(1.0);
    let standard_error = (pooled * (1.0 - pooled) * inverse_samples).sqrt();
    observed.fraction > expected.fraction + MAX_EXCESS_LOSS.max(MIN_STANDARD_ERRORS * standard_error)
}
