//! Where a server stands, for stages of recovery and for statistics, and the limits of its recovery.

/// Limits while a server recovers from a restart or an upstream outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimits {
    /// Upstream calls in flight at most, besides what the settings allow; infinite for no further limit.
    pub calls_in_flight: f64,
    /// Retries of upstream calls for each first attempt, over ten seconds; infinite for no limit.
    pub retry_ratio: f64,
    /// Fraction by which a retry-after may be longer, drawn for each answer; 0 for none.
    pub retry_after_jitter: f64,
}

impl RecoveryLimits {
    /// No limits: the server does not recover from anything.
    pub const NONE: RecoveryLimits = RecoveryLimits {
        calls_in_flight: f64::INFINITY,
        retry_ratio: f64::INFINITY,
        retry_after_jitter: 0.0,
    };
}

/// The state of a server's decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Recent serving times over the learned costs; 1 for a server at its usual speed.
    pub slowdown: f64,
    /// The slow start is over.
    pub warm: bool,
    /// The circuit breaker holds upstream calls back.
    pub breaker_open: bool,
    /// RPCs have stopped finishing.
    pub stalled: bool,
    /// Upstream calls in flight that the settings allow; infinite where they don't bound them.
    pub call_limit: f64,
    /// Upstream calls in flight.
    pub calls_in_flight: usize,
    /// RPCs that wait for permission to make their upstream call.
    pub waiting_to_call: usize,
}
