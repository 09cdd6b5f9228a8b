//! Counters of the engine.

/// Counters of RPCs, runs and upstream calls since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineStats {
    /// RPCs received, whether accepted or not.
    pub requests: u64,
    /// RPCs among `requests` that were aborted because there was no buffer for their body.
    pub no_buffer: u64,
    /// Final answers that were ok.
    pub ok: u64,
    /// Final answers that were rejections; these RPCs never ran.
    pub rejected: u64,
    /// Final answers that were aborts.
    pub aborted: u64,
    /// RPCs cancelled by their caller before they were answered.
    pub cancelled: u64,
    /// RPCs coalesced with another one to share its result.
    pub coalesced: u64,
    /// Results of RPCs with an idempotency key that were evicted while a retry might still arrive.
    pub results_evicted: u64,
    /// Retries that were aborted because the record of the attempt that ran had expired when its window was raised.
    pub results_expired: u64,
    /// RPCs rejected because the table of idempotency keys was full.
    pub idempotency_keys_full: u64,
    /// Runs started.
    pub runs: u64,
    /// Runs that ended ok.
    pub runs_ok: u64,
    /// Runs that were aborted.
    pub runs_aborted: u64,
    /// Runs that were stopped.
    pub runs_stopped: u64,
    /// Runs that the executor could not start.
    pub runs_not_started: u64,
    /// Upstream calls started, including those that could not be sent.
    pub calls: u64,
    /// Upstream calls that ended with a reply.
    pub calls_ok: u64,
    /// Upstream calls that were rejected or could not be sent.
    pub calls_rejected: u64,
    /// Upstream calls that were aborted.
    pub calls_aborted: u64,
    /// Upstream calls that timed out.
    pub calls_timed_out: u64,
    /// Upstream calls that were skipped.
    pub calls_skipped: u64,
    /// Wakeups of the decision module.
    pub wakeups: u64,
    /// Wakeups without fresh gauges.
    pub wakeups_without_gauges: u64,
    /// Events of runs (ends and requests for calls) for RPCs that were not running.
    pub stale_events: u64,
    /// Upstream replies that no call waited for.
    pub late_replies: u64,
}
