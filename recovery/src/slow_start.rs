//! How many calls the layer below is given. After a start and after an outage nobody knows what it bears: it may be
//! cold itself, and all its callers come back together. So calls open slowly, by what it really answers.

use asterrill::Us;

/// The ratios of an opening, each to what the settings say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Calls in hand at the most, as the settings have it; endless where nothing bounds them.
    pub most: f64,
    /// Calls in hand to begin with, 1 or more.
    pub first: f64,
    /// The least time between two looks, in microseconds: about one call.
    pub step: Us,
}

/// What became of calls since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub ok: u64,
    /// Aborted, timed out, or turned away by the layer below.
    pub failed: u64,
    /// Calls in hand now.
    pub in_hand: usize,
    /// RPCs that wait for leave to call.
    pub waiting: usize,
}

const GROWTH: f64 = 1.5; // a look, while all is ok and the bound is what holds calls back
const CREEP: f64 = 0.1; // the same above the last bound at which calls failed, in calls a look
const BACK: f64 = 0.5; // of the bound after a look with failures
const SOME: f64 = 0.1; // share of failures up to which a look counts as ok: one call in ten may fail by itself
const OUT: u32 = 3; // looks in a row with nothing but failures: an outage, all begins anew
const WHOLE: u32 = 50; // looks in a row that were ok, at the most that was wanted: it is open for good

/// A bound on calls in hand that opens slowly.
///
/// Guards against a fleet that starts together, or comes back together after an outage, and gives the layer below at
/// once all that each of them is allowed. Harm: after a start some calls wait for a few round trips.
#[derive(Clone, Debug)]
pub struct Opening {
    terms: Terms,
    bound: f64,
    /// The bound at which calls failed last: below it growth is quick, above it slow.
    knee: f64,
    looked: Us,
    failing: u32,
    fine: u32,
    open: bool,
    /// Outages since the start.
    pub outages: u64,
}

impl Opening {
    /// A server has started, or the layer below was away.
    pub fn new(now: Us, terms: Terms) -> Opening {
        let bound = terms.first.max(1.0).min(terms.most);
        let (knee, looked) = (terms.most, now);
        Opening { terms, bound, knee, looked, failing: 0, fine: 0, open: false, outages: 0 }
    }
    /// Other settings from now on; what is open stays open.
    pub fn change(&mut self, terms: Terms) {
        self.terms = terms;
        (self.bound, self.knee) = (self.bound.min(terms.most), terms.most);
    }
    /// Calls in hand at the most, now; endless once it is open for good.
    pub fn bound(&self) -> f64 {
        if self.open {
            f64::INFINITY
        } else {
            self.bound
        }
    }
    /// All that the settings allow is allowed.
    pub fn is_open(&self) -> bool {
        self.open || self.bound >= self.terms.most
    }
    /// When it is looked at next, in microseconds.
    pub fn next(&self) -> Us {
        self.looked + self.terms.step
    }

    /// Looks at what became of calls; true if the bound has moved. The rules, in order:
    ///
    /// 1. Nothing ended: the bound stays.
    /// 2. Nothing but failures, [`OUT`] looks in a row: an outage; it begins anew, with a knee at half of where it was.
    /// 3. More than a tenth failed: half of the bound, one at the least; the knee is there.
    /// 4. All is ok and the bound holds calls back, or is nearly used: it grows by half up to the knee, then creeps.
    /// 5. Ok for long at all that is allowed: open for good, until an outage.
    pub fn look(&mut self, now: Us, seen: Seen) -> bool {
        if now < self.next() {
            return false;
        }
        self.looked = now;
        let (before, ended) = (self.bound(), seen.ok + seen.failed);
        if ended == 0 {
            return false;
        }
        let fails = seen.failed as f64 > SOME * ended as f64;
        self.failing = if seen.ok == 0 { self.failing + 1 } else { 0 };
        self.fine = if fails { 0 } else { self.fine + 1 };
        if self.failing >= OUT {
            let knee = (self.bound * BACK).max(1.0);
            let outages = self.outages + u64::from(self.failing == OUT);
            *self = Opening { knee, failing: self.failing, outages, ..Opening::new(now, self.terms) };
        } else if fails && !self.open {
            self.knee = (self.bound * BACK).max(1.0);
            self.bound = self.knee;
        } else if !fails {
            let used = seen.waiting > 0 || seen.in_hand as f64 + 1.0 >= self.bound * BACK;
            if used && self.bound < self.knee {
                self.bound = (self.bound * GROWTH).min(self.knee);
            } else if used {
                self.bound += CREEP;
            }
            self.bound = self.bound.min(self.terms.most);
            self.open |= self.bound >= self.terms.most && self.fine >= WHOLE;
        }
        self.bound() != before
    }
}
