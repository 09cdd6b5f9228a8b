//! Counters since the start: what was read, sent and answered.

use asterrill_engine::EngineStats;
use std::fmt;

/// Defines [`Stats`] from lines `field => "printed name"`. The printed names are read by operators and stay as they are.
macro_rules! stats {
    ($($(#[doc = $doc:literal])* $field:ident => $printed:literal,)*) => {
        /// The daemon's counters.
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
    /// RPCs that could only be aborted: a field missing or malformed, an unknown method or tenant, an id in use.
    malformed => "odd",
    /// RPCs aborted because there was no buffer for them.
    no_buffer => "no_buffer",
    /// Final answers: ok.
    ok => "ok",
    /// Final answers: rejected before the RPC had any effect.
    rejected => "pushed_back",
    /// Final answers: aborted.
    aborted => "aborted",
    /// RPCs whose caller left before the answer.
    rpcs_cancelled => "gone",
    /// RPCs that were answered with the result of another.
    coalesced => "joined",
    /// Results of RPCs with an idempotency key that were evicted while a retry might still come.
    results_evicted => "results_dropped",
    /// New RPCs with an idempotency key that were rejected because the table of keys was full.
    idempotency_keys_full => "tokens_full",
    /// Health checks answered, thorough ones included.
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
    /// Upstream calls whose reply did not come in time.
    calls_timed_out => "calls_timed_out",
    /// Upstream calls that were left out.
    calls_skipped => "skips",
    /// Timer wakeups of the decision module.
    wakeups => "wakes",
    /// Timer wakeups for which no sample of the gauges had come.
    wakeups_without_gauges => "wakes_blind",
    /// Notices of the agent that were read before, or that concern RPCs that are over.
    stale_notices => "stale",
    /// Commands that the agent refused.
    commands_refused => "refusals",
    /// Upstream replies that no call waited for.
    late_replies => "late_replies",
    /// RPCs that the agreed deny lists rejected.
    denied_by_policy => "barred",
    /// Links on which the agent has greeted.
    agent_greetings => "agent_up",
    /// Reconnects to the agent because it, or one of its runs, had been silent.
    agent_silence_resets => "agent_silent",
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
    /// Sidecar connections that the other side reset, or that read too slowly.
    connections_broken => "broken",
    /// Sidecar connections closed because they were idle.
    closed_idle => "closed_idle",
    /// Idle sidecar connections closed at once to make room for another.
    connections_evicted => "closed_crowded",
    /// Times that the configuration file was read again.
    reloads => "reloads",
    /// Reloads that changed nothing because the file could not be used.
    reloads_failed => "reloads_failed",
    /// Configuration versions that came into force.
    changes => "changes",
    /// Configuration changes that were requested and refused.
    changes_refused => "changes_refused",
    /// Final answers given while parts of the core were at different configuration versions: a defect.
    half_applied => "half_applied",
    /// Snapshots of the learned state that were handed out to be written.
    snapshots => "snapshots",
    /// Load reports that the name service counted.
    reports => "reports",
    /// Load reports that it did not count.
    reports_lost => "reports_lost",
}

impl Stats {
    /// Adds the engine's counters.
    pub fn add_engine(&mut self, engine: &EngineStats) {
        self.rpcs += engine.requests;
        self.no_buffer += engine.no_buffer;
        self.ok += engine.ok;
        self.rejected += engine.rejected;
        self.aborted += engine.aborted;
        self.rpcs_cancelled += engine.cancelled;
        self.coalesced += engine.coalesced;
        self.results_evicted += engine.results_evicted;
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
