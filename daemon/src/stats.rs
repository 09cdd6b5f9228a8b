//! Counters since the start of the process.

use asterrill_engine::EngineStats;
use std::fmt;

/// Defines [`Stats`] from lines `field => "printed name"`. Operators and their tools rely on the printed names.
macro_rules! stats {
    ($($(#[doc = $doc:literal])* $field:ident => $printed:literal,)*) => {
        /// Counters of the daemon.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Stats {
            $($(#[doc = $doc])* pub $field: u64,)*
        }

        impl fmt::Display for Stats {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!($printed, "={} "), self.$field)?;)*
                Ok(())
            }
        }
    };
}

stats! {
    /// RPCs read from sidecars.
    rpcs => "rpcs",
    /// RPCs aborted for a missing or malformed field, an unknown method or tenant, or an id in use.
    malformed => "odd",
    /// RPCs aborted because there was no buffer for them.
    no_buffer => "no_buffer",
    /// Final answers with the outcome ok.
    ok => "ok",
    /// Final answers that rejected the RPC before it had any effect.
    rejected => "pushed_back",
    /// Final answers that aborted the RPC.
    aborted => "aborted",
    /// RPCs whose caller stopped waiting before the answer.
    rpcs_cancelled => "gone",
    /// RPCs that were answered with the result of another.
    coalesced => "joined",
    /// Results of RPCs with an idempotency key that were evicted while a retry was still possible.
    results_evicted => "results_dropped",
    /// Retries that were aborted because the record of the attempt that ran had expired when its window was raised.
    results_expired => "results_expired",
    /// New RPCs with an idempotency key that were rejected because the table of keys was full.
    idempotency_keys_full => "tokens_full",
    /// Health checks, including thorough ones.
    health_checks => "checks",
    /// Thorough health checks.
    thorough_checks => "thorough",
    /// Runs started.
    runs => "runs",
    /// Runs that ended ok.
    runs_ok => "runs_ok",
    /// Runs that were aborted.
    runs_aborted => "runs_aborted",
    /// Runs that were stopped.
    runs_stopped => "runs_stopped",
    /// Runs that the agent refused to start.
    runs_not_started => "runs_not_started",
    /// Upstream calls made.
    calls => "calls",
    /// Upstream calls that ended ok.
    calls_ok => "calls_ok",
    /// Upstream calls that were rejected without effect.
    calls_rejected => "calls_pushed_back",
    /// Upstream calls that were aborted.
    calls_aborted => "calls_aborted",
    /// Upstream calls whose reply did not arrive in time.
    calls_timed_out => "calls_timed_out",
    /// Upstream calls that were skipped.
    calls_skipped => "skips",
    /// Timer wakeups of the decision module.
    wakeups => "wakes",
    /// Timer wakeups for which no sample of the gauges had arrived.
    wakeups_without_gauges => "wakes_blind",
    /// Notices of the agent that were read before, or that concern RPCs that are closed.
    stale_notices => "stale",
    /// Commands that the agent refused.
    commands_refused => "refusals",
    /// Upstream replies for which no call was waiting.
    late_replies => "late_replies",
    /// RPCs rejected by the agreed deny lists.
    denied_by_policy => "barred",
    /// Links on which the agent sent a greeting.
    agent_greetings => "agent_up",
    /// Commands that were sent on a later link to the agent than the one for which they were issued.
    commands_resent => "agent_resent",
    /// Commands that may or may not have been received on a link to the agent that ended.
    commands_uncertain => "agent_uncertain",
    /// Reconnects to the agent because nothing was received from it, or about one of its runs, for too long.
    agent_silence_resets => "agent_silent",
    /// RPCs aborted because their id was that of an RPC that is open or whose result is retained.
    rpc_ids_reused => "reused_ids",
    /// Protocol errors of sidecars.
    sidecar_protocol_errors => "bad_sidecar",
    /// Protocol errors of the agent.
    agent_protocol_errors => "bad_agent",
    /// Protocol errors on upstream links.
    upstream_protocol_errors => "bad_below",
    /// Protocol errors of the name service.
    name_service_protocol_errors => "bad_naming",
    /// Sidecar connections accepted.
    connections => "connections",
    /// Sidecar connections that the peer reset, or whose socket failed.
    connections_broken => "broken",
    /// Sidecar connections closed because they were idle.
    closed_idle => "closed_idle",
    /// Idle sidecar connections closed at once to free their slot for another.
    connections_evicted => "closed_crowded",
    /// Reloads of the configuration file.
    reloads => "reloads",
    /// Reloads that changed nothing because the file was unusable.
    reloads_failed => "reloads_failed",
    /// Configuration versions that were activated.
    changes => "changes",
    /// Configuration changes that were requested and rejected.
    changes_refused => "changes_refused",
    /// Final answers given while parts of the core were at different configuration versions, which is a defect.
    half_applied => "half_applied",
    /// Snapshots of the learned state that were passed on for storage.
    snapshots => "snapshots",
    /// Load reports that the name service counted.
    reports => "reports",
    /// Load reports that the name service did not count.
    reports_lost => "reports_lost",
}

impl Stats {
    /// Adds the counters of the engine.
    pub fn add_engine(&mut self, engine: &EngineStats) {
        self.rpcs += engine.requests;
        self.no_buffer += engine.no_buffer;
        self.ok += engine.ok;
        self.rejected += engine.rejected;
        self.aborted += engine.aborted;
        self.rpcs_cancelled += engine.cancelled;
        self.coalesced += engine.coalesced;
        self.results_evicted += engine.results_evicted;
        self.results_expired += engine.results_expired;
        self.idempotency_keys_full += engine.idempotency_keys_full;
        self.runs += engine.runs;
        self.runs_ok += engine.runs_ok;
        self.runs_aborted += engine.runs_aborted;
        self.runs_stopped += engine.runs_stopped;
        self.runs_not_started += engine.runs_not_started;
        self.calls += engine.calls;
        self.calls_ok += engine.calls_ok;
        self.calls_rejected += engine.calls_rejected;
        self.calls_aborted += engine.calls_aborted;
        self.calls_timed_out += engine.calls_timed_out;
        self.calls_skipped += engine.calls_skipped;
        self.wakeups += engine.wakeups;
        self.wakeups_without_gauges += engine.wakeups_without_gauges;
        self.stale_notices += engine.stale_events;
        self.late_replies += engine.late_replies;
    }
}
