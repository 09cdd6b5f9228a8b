//! Recovery progress of a server: its stage, the reason for it and the time at which it was entered.

use asterrill::Us;

/// Stages of a recovery, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The snapshot has not been assessed, because the agent has not sent its greeting.
    Restoring,
    /// Too few runs have ended for serving times to be known.
    Cold,
    /// Runs end ok, but the criteria for full service are not met.
    Warming,
    /// The server provides all the service that the settings allow.
    Full,
}

impl Stage {
    /// Returns the name of the stage in the log and on the control socket.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Restoring => "restoring",
            Stage::Cold => "cold",
            Stage::Warming => "warming",
            Stage::Full => "full",
        }
    }
}

/// Reason for the current stage of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageReason {
    /// The process has started.
    Started,
    /// The snapshot has been assessed, or there was none.
    SnapshotAssessed,
    /// Enough runs have ended ok for the server to be no longer cold.
    RunsEnded,
    /// All criteria for full service were met in three consecutive intervals.
    SustainedFullService,
    /// The circuit breaker is open, or runs have stopped finishing.
    Unhealthy,
    /// The warm-up ramp after the start is not complete.
    RampIncomplete,
    /// Slow start still limits upstream calls.
    CallsLimited,
    /// Serving times are longer than the learned ones.
    SlowRuns,
    /// Too many RPCs are rejected.
    Rejecting,
}

impl StageReason {
    /// Returns the description of the reason for the log and the control socket.
    pub fn as_str(self) -> &'static str {
        match self {
            StageReason::Started => "the process has started",
            StageReason::SnapshotAssessed => "the snapshot has been assessed, or there was none",
            StageReason::RunsEnded => "ten runs have ended ok",
            StageReason::SustainedFullService => {
                "the criteria for full service were met for three consecutive seconds"
            }
            StageReason::Unhealthy => "the circuit breaker is open, or runs have stopped finishing",
            StageReason::RampIncomplete => "the warm-up ramp is not complete",
            StageReason::CallsLimited => "slow start still limits upstream calls",
            StageReason::SlowRuns => "serving times are longer than the learned ones",
            StageReason::Rejecting => "more than 5 in 100 RPCs are rejected",
        }
    }
}

/// Observations since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageEvidence {
    /// Whether the snapshot has been assessed, or there was none.
    pub snapshot_assessed: bool,
    /// Runs that ended ok.
    pub runs_ok: u64,
    /// RPCs received.
    pub received: u64,
    /// RPCs rejected.
    pub rejected: u64,
    /// Ratio of the current serving times to the learned ones; about 1 on an idle machine.
    pub slowdown: f64,
    /// Whether the concurrency of a warm server is allowed.
    pub ramp_complete: bool,
    /// Whether upstream calls are limited by the settings only.
    pub calls_unrestricted: bool,
    /// Whether the circuit breaker is open or runs have stopped finishing.
    pub unhealthy: bool,
}

/// Number of ok runs after which a server is no longer cold. That many are needed to learn serving times.
const OK_RUNS_UNTIL_WARMING: u64 = 10;
/// Slowdown up to which serving times count as normal, because the work of an RPC varies by about as much
/// as its mean.
const MAX_SLOWDOWN: f64 = 1.6;
/// Fraction of RPCs that may be rejected at full service.
const MAX_REJECTED_FRACTION: f64 = 0.05;
/// Time covered by one evaluation of the criteria for full service.
const EVALUATION_INTERVAL_US: Us = 1_000_000;
/// Consecutive good intervals after which a server is at full service.
const GOOD_INTERVALS_UNTIL_FULL: u32 = 3;
/// Consecutive bad intervals after which a server is no longer at full service.
const BAD_INTERVALS_UNTIL_WARMING: u32 = 5;

/// State machine that derives the stage from evidence. A server that receives no RPCs stays at its stage, because the
/// passage of time is no evidence of recovery.
#[derive(Clone, Debug)]
pub struct StageTracker {
    stage: Stage,
    since: Us,
    reason: StageReason,
    runs_ok: u64,
    /// RPCs received since the last evaluation.
    received: u64,
    /// RPCs rejected since the last evaluation.
    rejected: u64,
    interval_started_at: Us,
    good_intervals: u32,
    bad_intervals: u32,
}

impl StageTracker {
    /// Creates a tracker for a process that has just started.
    pub fn new(now: Us) -> StageTracker {
        StageTracker {
            stage: Stage::Restoring,
            since: now,
            reason: StageReason::Started,
            runs_ok: 0,
            received: 0,
            rejected: 0,
            interval_started_at: now,
            good_intervals: 0,
            bad_intervals: 0,
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the reason for the current stage.
    pub fn reason(&self) -> StageReason {
        self.reason
    }

    /// Returns the time at which the current stage was entered, in microseconds.
    pub fn since(&self) -> Us {
        self.since
    }

    /// Updates the stage with new evidence. Returns the stage that was entered, if it has changed. The rules, in order:
    ///
    /// 1. The stage is `Restoring` until the snapshot has been assessed.
    /// 2. The stage is `Cold` until ten runs have ended ok.
    /// 3. Each interval of one second with RPCs is evaluated. It is good if the ramp is complete, calls are
    ///    unrestricted, the slowdown is at most 1.6, nothing is unhealthy, and at most 5 in 100 RPCs were rejected. Three
    ///    consecutive good intervals lead to `Full`, five consecutive bad ones back to `Warming`.
    pub fn update(&mut self, now: Us, evidence: StageEvidence) -> Option<Stage> {
        self.runs_ok += evidence.runs_ok;
        match self.stage {
            Stage::Restoring if !evidence.snapshot_assessed => None,
            Stage::Restoring => self.enter(now, Stage::Cold, StageReason::SnapshotAssessed),
            Stage::Cold if self.runs_ok < OK_RUNS_UNTIL_WARMING => None,
            Stage::Cold => {
                self.begin_interval(now);
                self.enter(now, Stage::Warming, StageReason::RunsEnded)
            }
            Stage::Warming | Stage::Full => self.update_serving(now, evidence),
        }
    }

    fn enter(&mut self, now: Us, stage: Stage, reason: StageReason) -> Option<Stage> {
        self.stage = stage;
        self.since = now;
        self.reason = reason;
        (self.good_intervals, self.bad_intervals) = (0, 0);
        Some(stage)
    }

    fn begin_interval(&mut self, now: Us) {
        self.interval_started_at = now;
        (self.received, self.rejected) = (0, 0);
    }

    fn update_serving(&mut self, now: Us, evidence: StageEvidence) -> Option<Stage> {
        self.received += evidence.received;
        self.rejected += evidence.rejected;
        if now < self.interval_started_at + EVALUATION_INTERVAL_US {
            return None;
        }
        let (received, rejected) = (self.received, self.rejected);
        self.begin_interval(now);
        if received == 0 {
            return None;
        }
        let rejects_too_many = rejected as f64 > MAX_REJECTED_FRACTION * received as f64;
        match unmet_criterion(&evidence, rejects_too_many) {
            None => self.record_good_interval(now),
            Some(reason) => self.record_bad_interval(now, reason),
        }
    }

    fn record_good_interval(&mut self, now: Us) -> Option<Stage> {
        (self.good_intervals, self.bad_intervals) = (self.good_intervals + 1, 0);
        if self.stage == Stage::Warming && self.good_intervals >= GOOD_INTERVALS_UNTIL_FULL {
            return self.enter(now, Stage::Full, StageReason::SustainedFullService);
        }
        None
    }

    fn record_bad_interval(&mut self, now: Us, reason: StageReason) -> Option<Stage> {
        (self.good_intervals, self.bad_intervals) = (0, self.bad_intervals + 1);
        if self.stage == Stage::Full && self.bad_intervals >= BAD_INTERVALS_UNTIL_WARMING {
            return self.enter(now, Stage::Warming, reason);
        }
        if self.stage == Stage::Warming {
            self.reason = reason;
        }
        None
    }
}

/// Returns the first criterion for full service that is not met, if any.
fn unmet_criterion(evidence: &StageEvidence, rejects_too_many: bool) -> Option<StageReason> {
    if evidence.unhealthy {
        Some(StageReason::Unhealthy)
    } else if !evidence.ramp_complete {
        Some(StageReason::RampIncomplete)
    } else if !evidence.calls_unrestricted {
        Some(StageReason::CallsLimited)
    } else if evidence.slowdown > MAX_SLOWDOWN {
        Some(StageReason::SlowRuns)
    } else if rejects_too_many {
        Some(StageReason::Rejecting)
    } else {
        None
    }
}
