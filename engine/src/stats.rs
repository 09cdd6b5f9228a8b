//! What the engine has counted.

/// RPCs, runs and upstream calls since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineStats {
    /// RPCs read, whether they could be taken or not.
    pub requests: u64,
    /// Of these, RPCs aborted because there was no buffer for their body.
    pub no_buffer: u64,
    /// Final answers: ok.
    pub ok: u64,
    /// Final answers: rejected, the RPC never ran.
    pub rejected: u64,
    /// Final answers: aborted.
    pub aborted: u64,
    /// RPCs whose caller left before its answer.
    pub cancelled: u64,
    /// RPCs coalesced with another, whose result they waited for.
    pub coalesced: u64,
    /// Results of RPCs with an idempotency key that were evicted while a repeat might come.
    pub results_evicted: u64,
    /// RPCs rejected because no more idempotency keys could be remembered.
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
    /// Upstream calls made.
    pub calls: u64,
    /// Upstream calls with a reply.
    pub calls_ok: u64,
    /// Upstream calls rejected, or not sent.
    pub calls_rejected: u64,
    /// Upstream calls aborted.
    pub calls_aborted: u64,
    /// Upstream calls that timed out.
    pub calls_timed_out: u64,
    /// Upstream calls skipped.
    pub calls_skipped: u64,
    /// Wakeups of the decision module.
    pub wakeups: u64,
    /// Wakeups without fresh gauges.
    pub wakeups_without_gauges: u64,
    /// Ends of runs, and needs of calls, of RPCs that were not running.
    pub stale_events: u64,
    /// Replies from upstream that no call waited for.
    pub late_replies: u64,
}
