//! Methods of the simulated deployment.

use crate::load::MethodLoad;
use crate::time::ms;
use std::time::Duration;

/// A method of the simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct Method {
    /// Name of the method.
    pub name: &'static str,
    /// Value of the setting `Effect`: `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    /// Criticality of the method.
    pub criticality: f64,
    /// Latency target.
    pub target_ms: u64,
    /// Deadline.
    pub deadline_ms: u64,
    /// Time that one run occupies a core.
    pub work: Duration,
    /// Interval of failing runs: one in this many runs fails; 0 for none.
    pub fails_every: u64,
    /// Whether a run calls the upstream.
    pub calls_upstream: bool,
}

/// Critical method with short runs.
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

/// Frequent method of medium criticality.
pub const LOOK_UP: Method =
    Method { name: "look-up", criticality: 1.0, target_ms: 200, deadline_ms: 800, work: ms(3), ..TILL_PRICE };

/// Method that the queue's messages call; a message must not run twice.
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
    /// Returns the load of this method with a relative frequency, from callers that wait until its deadline.
    pub const fn load(&self, weight: u32) -> MethodLoad {
        MethodLoad {
            method: self.name,
            weight,
            criticality: self.criticality,
            target: ms(self.target_ms),
            timeout: ms(self.deadline_ms),
        }
    }

    /// Returns the method without work, so that only the cost of the backend is measured.
    pub const fn without_work(self) -> Method {
        Method { work: Duration::ZERO, ..self }
    }
}

/// Methods called by framed RPCs in most scenarios.
pub const FRAMED_METHODS: [MethodLoad; 2] = [TILL_PRICE.load(1), LOOK_UP.load(3)];
