//! The server's status for recovery and statistics, and the limits that apply during recovery.

/// Limits while a server recovers from a restart or an upstream outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryLimits {
    /// Maximum number of upstream calls in flight. It applies together with the limit of the settings; infinite for no
    /// additional limit.
    pub calls_in_flight: f64,
    /// Maximum ratio of retries to first attempts of upstream calls over ten seconds; infinite for no limit.
    pub retry_ratio: f64,
    /// Maximum fraction by which a retry-after is extended at random for each answer; 0 for no jitter.
    pub retry_after_jitter: f64,
}

impl RecoveryLimits {
    /// No limits, for a server that is not recovering.
    pub const NONE: RecoveryLimits = RecoveryLimits {
        calls_in_flight: f64::INFINITY,
        retry_ratio: f64::INFINITY,
        retry_after_jitter: 0.0,
    };
}

/// The status of a server's decision module.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Ratio of recent serving times to the learned costs; 1 for a server at its usual speed.
    pub slowdown: f64,
    /// Whether the slow start is over.
    pub warm: bool,
    /// Whether the circuit breaker blocks upstream calls.
    pub breaker_open: bool,
    /// Whether the server is stalled: RPCs run, but none has entered or left the cores for too long.
    pub stalled: bool,
    /// Maximum number of upstream calls in flight by the settings; infinite for no limit.
    pub call_limit: f64,
    /// Number of upstream calls in flight.
    pub calls_in_flight: usize,
    /// Number of RPCs that wait for permission to make their upstream call.
    pub waiting_to_call: usize,
}
