//! How far a server has recovered, as a stage with a reason and a moment.

use asterrill::Us;

/// The stages of a recovery, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The snapshot is not assessed yet: the agent has not sent its greeting.
    Restoring,
    /// Nothing has shown yet what a run takes here.
    Cold,
    /// Runs end, but not yet as they should.
    Warming,
    /// All that the settings allow is served.
    Full,
}

impl Stage {
    /// The word for it in the log and on the control socket.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Restoring => "restoring",
            Stage::Cold => "cold",
            Stage::Warming => "warming",
            Stage::Full => "full",
        }
    }
}

/// Why a server is at its stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageReason {
    /// The process has started.
    Started,
    /// The snapshot was assessed, or there was none.
    SnapshotAssessed,
    /// So many runs ended ok that the server is not cold any more.
    RunsEnded,
    /// Three seconds in a row were served in full.
    SustainedFullService,
    /// The breaker is open, or the agent does not answer.
    Unhealthy,
    /// The ramp after the start is not over.
    RampIncomplete,
    /// Slow start still withholds upstream calls.
    CallsLimited,
    /// Serving times are longer than those that were learned.
    SlowRuns,
    /// Too many RPCs are rejected.
    Rejecting,
}

impl StageReason {
    /// For the log and for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            StageReason::Started => "the process has started",
            StageReason::SnapshotAssessed => "the snapshot has been assessed",
            StageReason::RunsEnded => "ten runs have ended ok",
            StageReason::SustainedFullService => "three seconds in a row were served in full",
            StageReason::Unhealthy => "the agent or the upstream tier fails",
            StageReason::RampIncomplete => "the warm-up ramp is not complete",
            StageReason::CallsLimited => "slow start still limits upstream calls",
            StageReason::SlowRuns => "runs take longer than they should",
            StageReason::Rejecting => "more than 5 in 100 RPCs are rejected",
        }
    }
}

/// What was seen since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageEvidence {
    /// The snapshot was assessed, or there was none.
    pub snapshot_assessed: bool,
    /// Runs that ended ok.
    pub runs_ok: u64,
    /// RPCs received.
    pub received: u64,
    /// RPCs rejected.
    pub rejected: u64,
    /// Serving times over those that were learned; about 1 on an idle machine.
    pub slowdown: f64,
    /// The concurrency of a warm server is allowed.
    pub ramp_complete: bool,
    /// Upstream calls are limited by the settings only.
    pub calls_unrestricted: bool,
    /// The breaker is open or the agent does not answer.
    pub unhealthy: bool,
}

/// Runs ended ok until a server is not cold any more: as many as it takes to learn serving times.
const RUNS_UNTIL_WARMING: u64 = 10;
/// The slowdown up to which runs take what they should: work varies by its mean.
const MAX_SLOWDOWN: f64 = 1.6;
/// The fraction of RPCs that may be rejected at full service.
const MAX_REJECTED: f64 = 0.05;
/// The time that one judgement is about, in microseconds.
const JUDGEMENT_INTERVAL: Us = 1_000_000;
/// Good judgements in a row until a server is at full service.
const GOOD_UNTIL_FULL: u32 = 3;
/// Bad judgements in a row until it is not any more.
const BAD_UNTIL_WARMING: u32 = 5;

/// Decides the stage from evidence. A server without RPCs stays where it is: time alone proves nothing.
#[derive(Clone, Debug)]
pub struct StageTracker {
    stage: Stage,
    since: Us,
    reason: StageReason,
    runs_ok: u64,
    /// RPCs received and rejected since the last judgement.
    received: u64,
    rejected: u64,
    judged: Us,
    good: u32,
    bad: u32,
}

impl StageTracker {
    /// A process has started.
    pub fn new(now: Us) -> StageTracker {
        StageTracker {
            stage: Stage::Restoring,
            since: now,
            reason: StageReason::Started,
            runs_ok: 0,
            received: 0,
            rejected: 0,
            judged: now,
            good: 0,
            bad: 0,
        }
    }

    /// The stage now.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Why the server is at its stage.
    pub fn reason(&self) -> StageReason {
        self.reason
    }

    /// When it entered its stage, in microseconds.
    pub fn since(&self) -> Us {
        self.since
    }

    /// Takes evidence in; hands back the stage that was entered, if one was. The rules, in order:
    ///
    /// 1. Restoring until the snapshot is assessed.
    /// 2. Cold until ten runs have ended ok.
    /// 3. Each second with RPCs is judged: it is good with the ramp complete, calls open, no slowdown, nothing unhealthy,
    ///    and at most 5 in 100 RPCs rejected. Three good ones in a row: full. Five bad ones: warming again.
    pub fn update(&mut self, now: Us, evidence: StageEvidence) -> Option<Stage> {
        self.runs_ok += evidence.runs_ok;
        match self.stage {
            Stage::Restoring if !evidence.snapshot_assessed => None,
            Stage::Restoring => self.enter(now, Stage::Cold, StageReason::SnapshotAssessed),
            Stage::Cold if self.runs_ok < RUNS_UNTIL_WARMING => None,
            Stage::Cold => {
                self.begin_judgement(now);
                self.enter(now, Stage::Warming, StageReason::RunsEnded)
            }
            Stage::Warming | Stage::Full => self.update_serving(now, evidence),
        }
    }

    fn enter(&mut self, now: Us, stage: Stage, reason: StageReason) -> Option<Stage> {
        self.stage = stage;
        self.since = now;
        self.reason = reason;
        (self.good, self.bad) = (0, 0);
        Some(stage)
    }

    fn begin_judgement(&mut self, now: Us) {
        self.judged = now;
        (self.received, self.rejected) = (0, 0);
    }

    fn update_serving(&mut self, now: Us, evidence: StageEvidence) -> Option<Stage> {
        self.received += evidence.received;
        self.rejected += evidence.rejected;
        if now < self.judged + JUDGEMENT_INTERVAL {
            return None;
        }
        let (received, rejected) = (self.received, self.rejected);
        self.begin_judgement(now);
        if received == 0 {
            return None;
        }
        let rejecting = rejected as f64 > MAX_REJECTED * received as f64;
        match shortcoming(&evidence, rejecting) {
            None => self.judge_good(now),
            Some(reason) => self.judge_bad(now, reason),
        }
    }

    fn judge_good(&mut self, now: Us) -> Option<Stage> {
        (self.good, self.bad) = (self.good + 1, 0);
        if self.stage == Stage::Warming && self.good >= GOOD_UNTIL_FULL {
            return self.enter(now, Stage::Full, StageReason::SustainedFullService);
        }
        None
    }

    fn judge_bad(&mut self, now: Us, reason: StageReason) -> Option<Stage> {
        (self.good, self.bad) = (0, self.bad + 1);
        if self.stage == Stage::Full && self.bad >= BAD_UNTIL_WARMING {
            return self.enter(now, Stage::Warming, reason);
        }
        if self.stage == Stage::Warming {
            self.reason = reason;
        }
        None
    }
}

/// What a second lacks to be a good one: the first that applies.
fn shortcoming(evidence: &StageEvidence, rejecting: bool) -> Option<StageReason> {
    if evidence.unhealthy {
        Some(StageReason::Unhealthy)
    } else if !evidence.ramp_complete {
        Some(StageReason::RampIncomplete)
    } else if !evidence.calls_unrestricted {
        Some(StageReason::CallsLimited)
    } else if evidence.slowdown > MAX_SLOWDOWN {
        Some(StageReason::SlowRuns)
    } else if rejecting {
        Some(StageReason::Rejecting)
    } else {
        None
    }
}
