//! Records that decisions are taken on: what is known of an RPC, sums over time, what runs. No decision here.

use crate::types::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A sum that forgets: brought up to date when read.
#[derive(Clone, Debug)]
pub struct Fading {
    value: f64,
    at: Us,
    span: f64,
}

impl Fading {
    pub fn new(span: Us) -> Fading {
        Fading { value: 0.0, at: 0, span: span.max(1) as f64 }
    }

    pub fn read(&mut self, now: Us) -> f64 {
        self.value *= (-(now.saturating_sub(self.at) as f64) / self.span).exp();
        self.at = now;
        self.value
    }

    pub fn add(&mut self, now: Us, amount: f64) {
        self.value = self.read(now) + amount;
    }
}

/// Where an RPC stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Held,
    /// Waits for the one that it repeats.
    Joined,
    Running,
    /// Off the cores, waiting for leave to call.
    AtCall,
    Calling,
}

/// Order among the waiting: criticality, then relative buffer, then age.
pub type Place = (Reverse<u64>, Reverse<u64>, u64, RpcId);

/// What is known of one RPC in hand.
#[derive(Clone, Debug)]
pub struct Rpc {
    pub method: MethodId,
    pub caller: CallerId,
    pub stage: Stage,
    pub place: Place,
    /// When it must have its answer, margin taken off.
    pub due: Us,
    /// The last moment at which an ok answer earns anything.
    pub last_good: Us,
    /// When it is looked at next.
    pub alarm: Us,
    pub size_kb: f64,
    /// Expected serving time when it was read, in microseconds.
    pub work: f64,
    /// Taken from its account, in nanoseconds.
    pub taken: f64,
    pub begun: Us,
    /// On the cores since; the integral of its band at that time.
    pub since: (Us, f64),
    /// Serving time in microseconds and congestion penalty so far.
    pub served: f64,
    pub penalty: f64,
    pub answered: bool,
    pub failed_calls: u32,
    pub may_call: bool,
}

/// What is on the cores: a count and an integral of each band of criticality, and how long it has been there.
#[derive(Clone, Debug, Default)]
pub struct Cores {
    bands: BTreeMap<Reverse<u64>, (usize, f64)>,
    pub running: usize,
    begun: f64,
    work: f64,
}

impl Cores {
    /// Integrates parallel_reqs over target of each band, together with those that rank above it.
    pub fn pass(&mut self, target: f64, passed: f64) {
        let mut above = 0.0;
        for (running, integral) in self.bands.values_mut() {
            above += *running as f64;
            *integral += (above - target) * passed;
        }
    }

    pub fn enter(&mut self, r: &mut Rpc, now: Us) {
        let band = self.bands.entry(r.place.0).or_default();
        band.0 += 1;
        self.running += 1;
        self.begun += now as f64 - r.served;
        self.work += r.work;
        (r.stage, r.since) = (Stage::Running, (now, band.1));
    }

    pub fn leave(&mut self, r: &mut Rpc, now: Us) {
        let band = self.bands.entry(r.place.0).or_default();
        band.0 -= 1;
        self.running -= 1;
        self.begun -= r.since.0 as f64 - r.served;
        self.work -= r.work;
        r.served += (now - r.since.0) as f64;
        r.penalty += band.1 - r.since.1;
    }

    /// Serving time so far of all that runs over what was expected of it, with `few` of both beside it.
    pub fn overdue(&self, now: Us, few: f64) -> f64 {
        (self.running as f64 * now as f64 - self.begun + few) / (self.work + few)
    }
}
