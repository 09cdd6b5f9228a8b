//! The methods of the stand-in deployment.

use crate::load::MethodLoad;
use crate::time::ms;
use std::time::Duration;

/// A method of the stand-in deployment.
#[derive(Clone, Copy, Debug)]
pub struct Method {
    /// Its name.
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`, as the settings have it.
    pub effect: &'static str,
    /// Its criticality.
    pub criticality: f64,
    /// Its latency target.
    pub target_ms: u64,
    /// Its deadline.
    pub deadline_ms: u64,
    /// Work of one run on a core.
    pub work: Duration,
    /// Of so many runs one fails; 0 for none.
    pub fails_every: u64,
    /// Whether a run calls the upstream.
    pub calls_upstream: bool,
}

/// Critical and quick.
pub const TILL_PRICE: Method = Method {
    name: "till-price",
    effect: "free",
    criticality: 5.0,
    target_ms: 100,
    deadline_ms: 400,
    work: ms(2),
    fails_every: 0,
    calls_upstream: false,
};

/// Frequent and of middling criticality.
pub const LOOK_UP: Method =
    Method { name: "look-up", criticality: 1.0, target_ms: 200, deadline_ms: 800, work: ms(3), ..TILL_PRICE };

/// What the queue's messages call: it must not run twice.
pub const STOCK_UPDATE: Method = Method {
    name: "stock-update",
    effect: "guarded",
    criticality: 0.2,
    target_ms: 1_000,
    deadline_ms: 5_000,
    work: ms(4),
    ..TILL_PRICE
};

impl Method {
    /// How it is called: as often as its weight says, by callers that wait until its deadline.
    pub const fn load(&self, weight: u32) -> MethodLoad {
        MethodLoad {
            method: self.name,
            weight,
            criticality: self.criticality,
            target: ms(self.target_ms),
            timeout: ms(self.deadline_ms),
        }
    }

    /// The same without work: what is measured is the backend alone.
    pub const fn without_work(self) -> Method {
        Method { work: Duration::ZERO, ..self }
    }
}

/// The framed RPCs of most scenarios.
pub const FRAMED_METHODS: [MethodLoad; 2] = [TILL_PRICE.load(1), LOOK_UP.load(3)];
