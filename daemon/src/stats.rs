//! What was taken in, sent and answered since the start.

use asterrill_engine::EngineStats;
use std::fmt;

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident,)*) => {
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Stats {
            $($(#[doc = $doc])* pub $name: u64,)*
        }
        impl fmt::Display for Stats {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// RPCs read from sidecars.
    rpcs,
    /// Of these, those that could only be aborted: a field missing or odd, an unknown method or tenant, an id
    /// that is open. And those for which there was no buffer.
    odd,
    no_buffer,
    /// Final answers: ok.
    ok,
    /// Final answers: pushed back.
    pushed_back,
    /// Final answers: aborted.
    aborted,
    /// RPCs whose caller left before its answer.
    gone,
    /// RPCs that waited for the answer of another.
    joined,
    /// Results of tokened RPCs that had to go while a repeat might come, and new tokened RPCs that there was no room to
    /// remember: these were pushed back.
    results_dropped,
    tokens_full,
    /// Health checks answered, thorough ones included.
    checks,
    thorough,
    /// Runs started, and how they ended.
    runs,
    runs_ok,
    runs_aborted,
    runs_stopped,
    runs_not_started,
    /// Calls below, and how they ended.
    calls,
    calls_ok,
    calls_pushed_back,
    calls_aborted,
    calls_timed_out,
    /// Calls left out.
    skips,
    /// Wakes of the module, and those of them without gauges.
    wakes,
    wakes_blind,
    /// Notices of the agent that were known already, or about RPCs that are over.
    stale,
    /// Commands that the agent refused.
    refusals,
    /// Replies from below that no call waited for.
    late_replies,
    /// RPCs that the agreed lists turned away.
    barred,
    /// Times the link to the agent was made.
    agent_up,
    /// Times it was made anew since the agent, or what was heard of a run, had been silent.
    agent_silent,
    /// Messages that were not understood, by where they came from.
    bad_sidecar,
    bad_agent,
    bad_below,
    bad_naming,
    /// Connections taken in, and those that ended because the other side broke them off or read too slowly.
    connections,
    broken,
    /// Idle connections that were closed, and those that went at once as there was no room for another.
    closed_idle,
    closed_crowded,
    /// Times the configuration was read again, and those of them that changed nothing as it could not be
    /// used.
    reloads,
    reloads_failed,
    /// Versions of the configuration that came into force, changes that were handed in and refused, and final answers
    /// that parts of two versions had a hand in: a defect.
    changes,
    changes_refused,
    half_applied,
    /// Snapshots of what was learned that were handed out to be written.
    snapshots,
    /// Reports that the name service counted, and those it didn't.
    reports,
    reports_lost,
}

impl Stats {
    /// Takes in what the engine counted.
    pub fn take(&mut self, counts: &EngineStats) {
        macro_rules! take {
            ($($counter:ident: $stat:ident),*) => { $(self.$counter += counts.$stat;)* };
        }
        take!(rpcs: requests, no_buffer: no_buffer, ok: ok, pushed_back: rejected, aborted: aborted);
        take!(gone: callers_gone, joined: coalesced, results_dropped: results_evicted);
        take!(tokens_full: idempotency_keys_full, runs: runs, runs_ok: runs_ok, runs_aborted: runs_aborted);
        take!(runs_stopped: runs_stopped, runs_not_started: runs_not_started, calls: calls, calls_ok: calls_ok);
        take!(calls_pushed_back: calls_rejected, calls_aborted: calls_aborted, calls_timed_out: calls_timed_out);
        take!(skips: calls_skipped, wakes: wakeups, wakes_blind: wakeups_without_gauges);
        take!(stale: stale_events, late_replies: late_replies);
    }
}
