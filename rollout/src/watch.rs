//! Does service drop because of a change?
//!
//! Service is the share of criticality that was answered ok within its latency target, with the criticality and
//! the targets of the version before: a change can't make itself look good by what it says. The window before the
//! change is the measure; the control is what the old version would have made of the load after it:
//!
//! - **A jump in load** is no fault of the change. If the work that comes is more than both what the cores of the
//!   old version could do and the most that was ever served before, the old version would have lost the excess.
//!   That much is allowed for, and no more: a bad change during a jump is found by what it loses beyond. The excess
//!   is taken evenly from all methods: a server that sheds the least critical first does better than that, but
//!   measured at three times the load it lost 0.50 of criticality where that order would have lost 0.32.
//! - **A slow layer below** is none either: RPCs whose call failed or timed out are left out on both sides. One
//!   whose call was never placed is not: that may be the change.
//! - **A few unlucky seconds** are told apart by time: the loss must show in each of the last [`SLOTS`] slots of
//!   half a second that brought enough to tell, and over all of them be more than chance makes.
//!
//! A smaller loss that lasts shows at the end of the probation: then most slots of it must have been bad, so that
//! one short failure in it does not count.
//!
//! The test is of a proportion with weights: undone once loss exceeds what is expected by [`MARGIN`] and by
//! [`Z`] standard errors, on at least [`LEAST`] RPCs' worth of evidence. Settled when the probation ends; with less
//! evidence than that it is made longer, [`LONGER`] times at most.
//!
//! Harm: a change that costs less than [`MARGIN`] is kept; a change that is applied into the first seconds of
//! a failure that lasts, and that only this server sees, is undone though it was good.

use crate::Us;
use asterrill_entries::{Configuration, Name};
use std::collections::{BTreeMap, VecDeque};

/// Slots of half a second that must all be bad.
pub const SLOTS: usize = 6;
/// Share of criticality that may be lost beyond what is expected.
pub const MARGIN: f64 = 0.05;
/// Standard errors that the loss must lie above what is expected.
pub const Z: f64 = 4.0;
/// RPCs' worth of evidence before anything is decided.
pub const LEAST: f64 = 30.0;
/// Times the probation lasts at the longest while there is too little evidence.
pub const LONGER: u64 = 3;

const SLOT: Us = 500_000;
const BEFORE: usize = 40; // slots of the window before
const FEW: f64 = 3.0; // RPCs in a slot, below which it tells nothing by itself
const BUSY: f64 = 0.9; // of the cores: work beyond it is more than the old version could do for long

/// What became of the RPCs of each method in a short span, by the old version's targets: asked, ok in time, left
/// out as their call below failed, and the work of those that came, in microseconds of a core. Of methods that were
/// asked for only: the cost of a sample does not grow with how many there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSample {
    pub methods: BTreeMap<Name, MethodCounts>,
}

/// Of one method.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MethodCounts {
    /// Final answers, and those of them that were ok in time.
    pub answered: f64,
    pub in_time: f64,
    /// Of those not in time, the ones whose call below failed.
    pub upstream_failed: f64,
    /// Work that came, as far as it is known what an RPC takes, in microseconds.
    pub work_us: f64,
}

impl ServiceSample {
    /// Takes another in.
    pub fn add(&mut self, other: &ServiceSample) {
        for (name, counted) in &other.methods {
            let all = self.methods.entry(name.clone()).or_default();
            all.answered += counted.answered;
            all.in_time += counted.in_time;
            all.upstream_failed += counted.upstream_failed;
            all.work_us += counted.work_us;
        }
    }
    fn work(&self) -> f64 {
        self.methods.values().map(|counted| counted.work_us).sum()
    }
}

/// A loss as a proportion of criticality, and how many RPCs' worth of evidence it stands on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loss {
    pub share: f64,
    pub evidence: f64,
}

/// What is to become of the change.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Wait,
    /// With the figures that decided: the loss expected, and the loss seen.
    Undo {
        expected: Loss,
        seen: Loss,
    },
    Settle {
        expected: Loss,
        seen: Loss,
    },
}

/// The last slots, kept at all times, so that a change finds its window before.
#[derive(Clone, Debug, Default)]
pub struct Before {
    slots: VecDeque<ServiceSample>,
    open: ServiceSample,
    since: Us,
}

impl Before {
    /// Takes in what came since the last time.
    pub fn take(&mut self, now: Us, sample: &ServiceSample) {
        self.open.add(sample);
        if now >= self.since.saturating_add(SLOT) {
            self.since = now;
            if self.slots.len() >= BEFORE {
                self.slots.pop_front();
            }
            self.slots.push_back(std::mem::take(&mut self.open));
        }
    }
}

/// Half a second of the probation, and what it says by itself: kept, so that it is reckoned once.
#[derive(Clone, Debug)]
struct Slot {
    sample: ServiceSample,
    /// What was to be expected: criticality asked, and lost of it.
    due: (f64, f64),
    bad: bool,
}

/// The watch over one change.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The version before: its methods' criticality is looked up, not copied.
    weights: Configuration,
    /// Work that the old version could do in a second, in microseconds.
    room: f64,
    before: ServiceSample,
    /// RPCs' worth of evidence in it.
    evidence: f64,
    recent: VecDeque<Slot>,
    /// Over the whole probation: what was seen, what was to be expected as criticality asked and lost, and slots
    /// that told something, with the bad ones among them.
    all: ServiceSample,
    due: (f64, f64),
    told: (usize, usize),
    open: ServiceSample,
    since: Us,
    start: Us,
    probation: Us,
}

impl Watch {
    /// `old`: the version before, by whose criticality and cores the change is judged. It is kept until the watch ends.
    pub fn new(now: Us, before: &Before, old: Configuration, probation: Us) -> Watch {
        let mut all = before.open.clone();
        before.slots.iter().for_each(|slot| all.add(slot));
        let slots = before.slots.iter().map(ServiceSample::work).fold(0.0, f64::max);
        let room = (crate::check::cores(&old) * 1e6 * BUSY).max(slots * (1_000_000 / SLOT) as f64);
        let mut watch = Watch {
            weights: old,
            room,
            before: ServiceSample::default(),
            evidence: 0.0,
            recent: VecDeque::new(),
            all: ServiceSample::default(),
            due: (0.0, 0.0),
            told: (0, 0),
            open: ServiceSample::default(),
            since: now,
            start: now,
            probation,
        };
        watch.evidence = watch.loss(&all).evidence;
        watch.before = all;
        watch
    }

    /// Takes in what came since the last time.
    pub fn take(&mut self, now: Us, sample: &ServiceSample) -> Verdict {
        self.open.add(sample);
        if now < self.since.saturating_add(SLOT) {
            return Verdict::Wait;
        }
        self.since = now;
        let sample = std::mem::take(&mut self.open);
        self.all.add(&sample);
        let due = self.due(&sample);
        self.due = (self.due.0 + due.0, self.due.1 + due.1);
        let seen = self.loss(&sample);
        // A slot is bad by itself; one that brought too little is neither.
        let bad = seen.evidence < FEW || seen.share > self.expected(due).share + MARGIN / 2.0;
        if seen.evidence >= FEW {
            self.told = (self.told.0 + 1, self.told.1 + usize::from(bad));
        }
        if self.recent.len() >= SLOTS {
            self.recent.pop_front();
        }
        self.recent.push_back(Slot { sample, due, bad });
        self.decide(now)
    }

    fn decide(&self, now: Us) -> Verdict {
        let mut recent = ServiceSample::default();
        self.recent.iter().for_each(|slot| recent.add(&slot.sample));
        let due = self.recent.iter().fold((0.0, 0.0), |all, slot| (all.0 + slot.due.0, all.1 + slot.due.1));
        let (expected, seen) = (self.expected(due), self.loss(&recent));
        let full = self.recent.len() >= SLOTS && seen.evidence >= LEAST;
        if full && self.more(expected, seen) && self.recent.iter().all(|slot| slot.bad) {
            return Verdict::Undo { expected, seen };
        }
        let passed = now.saturating_sub(self.start);
        if passed < self.probation {
            return Verdict::Wait;
        }
        let (expected, seen) = (self.expected(self.due), self.loss(&self.all));
        if seen.evidence < LEAST && passed < self.probation.saturating_mul(LONGER) {
            return Verdict::Wait;
        }
        // A small loss that lasted for all of the probation shows only now.
        if seen.evidence >= LEAST && self.more(expected, seen) && self.told.1 * 2 > self.told.0 {
            return Verdict::Undo { expected, seen };
        }
        Verdict::Settle { expected, seen }
    }

    fn more(&self, expected: Loss, seen: Loss) -> bool {
        // At the least one loss in a hundred is taken for chance: a window without any proves little.
        let p = ((expected.share + seen.share) / 2.0).clamp(0.01, 0.99);
        let error =
            (p * (1.0 - p) * (1.0 / seen.evidence.max(1.0) + 1.0 / expected.evidence.max(1.0))).sqrt();
        seen.share > expected.share + MARGIN.max(Z * error)
    }

    fn weight(&self, name: &str) -> f64 {
        self.weights.method(name).map_or(0.0, |method| method.criticality)
    }

    /// The share of criticality that was not answered in time, without what was spoilt below.
    fn loss(&self, sample: &ServiceSample) -> Loss {
        let (mut all, mut lost, mut squares) = (0.0, 0.0, 0.0);
        for (name, counted) in &sample.methods {
            let (weight, asked) = (self.weight(name), (counted.answered - counted.upstream_failed).max(0.0));
            all += weight * asked;
            lost += weight * (asked - counted.in_time).max(0.0);
            squares += weight * weight * asked;
        }
        let evidence = if squares > 0.0 { all * all / squares } else { 0.0 };
        Loss { share: if all > 0.0 { lost / all } else { 0.0 }, evidence }
    }

    /// What the old version would have lost of a slot's load: as before, and of each method what is beyond its
    /// room. As criticality asked, and lost of it.
    fn due(&self, sample: &ServiceSample) -> (f64, f64) {
        let (room, work) = (self.room * SLOT as f64 / 1e6, sample.work());
        let fits = if work > 0.0 { (room / work).min(1.0) } else { 1.0 };
        let (mut all, mut lost) = (0.0, 0.0);
        for (name, counted) in &sample.methods {
            let before = self.before.methods.get(name).copied().unwrap_or_default();
            let asked = (before.answered - before.upstream_failed).max(0.0);
            let usual = if asked > 0.0 { ((asked - before.in_time) / asked).clamp(0.0, 1.0) } else { 0.0 };
            let weight = self.weight(name) * (counted.answered - counted.upstream_failed).max(0.0);
            all += weight;
            lost += weight * (1.0 - (1.0 - usual) * fits);
        }
        (all, lost)
    }

    fn expected(&self, (all, lost): (f64, f64)) -> Loss {
        Loss { share: if all > 0.0 { lost / all } else { 0.0 }, evidence: self.evidence }
    }
}
