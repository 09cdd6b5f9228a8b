//! Transaction of a change: stage, apply, then confirm or roll back. Defines which operations are valid in which state.

use crate::version::{RolledBack, Us, Version, VersionHash, MAX_ROLLED_BACK};
use std::collections::VecDeque;

/// Maximum number of events in the history, and of new events that were not taken yet. The oldest are removed first.
const MAX_EVENTS: usize = 64;

/// Options of a staging request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageOptions {
    /// Accepts content that was rolled back before, and problems that the checks report as risky.
    pub force: bool,
    /// Queues the change while another version is on probation, instead of rejecting it.
    pub queue: bool,
}

/// Change that is proposed for staging.
#[derive(Clone, Debug)]
pub struct Proposal<T> {
    /// Content of the new version.
    pub content: T,
    /// Hash of `content`.
    pub hash: VersionHash,
    /// Number of the version that the change was made from; `None` if it is unknown, as on a reload signal.
    pub base: Option<u64>,
    /// Options of the request.
    pub options: StageOptions,
}

/// Reason for rejecting an operation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutError {
    /// The change was made from a version other than the running one.
    #[error("the change was made from version {given}, but version {running} is running")]
    BaseMismatch {
        /// Base version of the change.
        given: u64,
        /// Running version.
        running: u64,
    },
    /// The change has the same content as the running version, whose number this is.
    #[error("the change has the same content as the running version {0}")]
    Unchanged(u64),
    /// The version with this number is on probation.
    #[error("version {0} is on probation: settle or undo it first")]
    OnProbation(u64),
    /// The version with this number is already staged.
    #[error("version {0} is already staged: apply or drop it first")]
    AlreadyStaged(u64),
    /// The version with this number is already queued.
    #[error("version {0} is already queued behind the version on probation")]
    AlreadyQueued(u64),
    /// The same content was rolled back as the version with this number.
    #[error("the same content was undone as version {0}: force it to stage it again")]
    PreviouslyRolledBack(u64),
    /// No version is staged.
    #[error("nothing is staged")]
    NothingStaged,
    /// No version is on probation.
    #[error("nothing is on probation")]
    NothingOnProbation,
    /// The server is shutting down.
    #[error("the server is shutting down")]
    ShuttingDown,
}

/// Kind of an event in the life cycle of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The version was staged or queued. It has no effect yet.
    Staged,
    /// The version was discarded without having run.
    Dropped,
    /// The version was applied and is running.
    Applied,
    /// The probation of the version was confirmed.
    Confirmed,
    /// The version was replaced by the previous one.
    RolledBack,
}

impl EventKind {
    /// Returns the name of the kind in the history and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            EventKind::Staged => "staged",
            EventKind::Dropped => "dropped",
            EventKind::Applied => "applied",
            EventKind::Confirmed => "settled",
            EventKind::RolledBack => "undone",
        }
    }
}

/// Entry of the history.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time of the event, in microseconds.
    pub at: Us,
    /// Kind of the event.
    pub kind: EventKind,
    /// Number of the version.
    pub version: u64,
    /// Hash of the version.
    pub hash: VersionHash,
    /// Number of the version that it was made from.
    pub base: u64,
    /// Reason for the event, as readable text.
    pub reason: String,
}

/// Reason for the first version of a process that was not rolled back by a restart.
pub const PROCESS_START: &str = "process start";

/// State of the running version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The running version is confirmed.
    Confirmed,
    /// The running version is on probation, which is scheduled to end at this time.
    Probation(Us),
}

/// Version that is restored if the one on probation is rolled back.
struct Fallback<T> {
    version: Version<T>,
    /// Scheduled end of the probation.
    until: Us,
}

/// Versions of a configuration and the operations on them; see the documentation of the crate.
pub struct Rollout<T> {
    running: Version<T>,
    /// `Some` while `running` is on probation.
    fallback: Option<Fallback<T>>,
    staged: Option<Version<T>>,
    queued: Option<Version<T>>,
    next_number: u64,
    rolled_back: VecDeque<RolledBack>,
    history: VecDeque<Event>,
    new_events: VecDeque<Event>,
    shutting_down: bool,
}

impl<T: Clone> Rollout<T> {
    /// Creates a rollout that runs version 1.
    pub fn new(content: T, hash: impl Into<VersionHash>, now: Us) -> Rollout<T> {
        Rollout::resume(content, hash, 1, Vec::new(), PROCESS_START, now)
    }

    /// Creates a rollout after a restart. The version keeps its number, and the rolled back versions are still
    /// rejected. The first event says that the version was applied, for this reason.
    pub fn resume(
        content: T, hash: impl Into<VersionHash>, number: u64, rolled_back: Vec<RolledBack>, reason: &str,
        now: Us,
    ) -> Rollout<T> {
        let number = number.max(1);
        let running = Version { number, hash: hash.into(), base: number - 1, content };
        let newest_rolled_back = rolled_back.iter().map(|version| version.number).max().unwrap_or(0);
        let mut rollout = Rollout {
            running,
            fallback: None,
            staged: None,
            queued: None,
            next_number: newest_rolled_back.max(number) + 1,
            rolled_back: rolled_back.into_iter().take(MAX_ROLLED_BACK).collect(),
            history: VecDeque::new(),
            new_events: VecDeque::new(),
            shutting_down: false,
        };
        rollout.add_event(now, EventKind::Applied, rollout.running.clone(), reason);
        rollout
    }

    /// Returns the running version.
    pub fn running(&self) -> &Version<T> {
        &self.running
    }

    /// Returns the last confirmed version. During a probation, this is the version before the one on probation.
    pub fn last_good(&self) -> &Version<T> {
        self.fallback.as_ref().map_or(&self.running, |fallback| &fallback.version)
    }

    /// Returns the staged version, which [`Rollout::apply`] would apply.
    pub fn staged(&self) -> Option<&Version<T>> {
        self.staged.as_ref()
    }

    /// Returns the queued version, which is staged once the one on probation is confirmed.
    pub fn queued(&self) -> Option<&Version<T>> {
        self.queued.as_ref()
    }

    /// Returns the state of the running version.
    pub fn phase(&self) -> Phase {
        self.fallback.as_ref().map_or(Phase::Confirmed, |fallback| Phase::Probation(fallback.until))
    }

    /// Returns the most recent events, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Event> {
        self.history.iter()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.new_events.drain(..).collect()
    }

    /// Returns the versions that were rolled back, the oldest first.
    pub fn rolled_back(&self) -> impl Iterator<Item = &RolledBack> {
        self.rolled_back.iter()
    }

    /// Rejects all further staging and applying.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Stages or queues a change, and returns the number of the new version. It has no effect until it is applied.
    ///
    /// # Errors
    /// Returns a [`RolloutError`] if the change is rejected; the state is unchanged then.
    pub fn stage(&mut self, now: Us, proposal: Proposal<T>) -> Result<u64, RolloutError> {
        let Proposal { content, hash, base, options } = proposal;
        let running = self.running.number;
        self.check_base(base)?;
        if hash == self.running.hash {
            return Err(RolloutError::Unchanged(running));
        }
        if !options.force {
            if let Some(earlier) = self.rolled_back.iter().find(|earlier| earlier.hash == hash) {
                return Err(RolloutError::PreviouslyRolledBack(earlier.number));
            }
        }
        let version = Version { number: self.next_number, hash, base: running, content };
        let place = match (&self.fallback, &self.staged, &self.queued) {
            (Some(_), _, Some(queued)) => return Err(RolloutError::AlreadyQueued(queued.number)),
            (Some(_), ..) if options.queue => &mut self.queued,
            (Some(_), ..) => return Err(RolloutError::OnProbation(running)),
            (None, Some(staged), _) => return Err(RolloutError::AlreadyStaged(staged.number)),
            (None, None, _) => &mut self.staged,
        };
        *place = Some(version.clone());
        self.next_number += 1;
        self.add_event(now, EventKind::Staged, version, "requested");
        Ok(self.next_number - 1)
    }

    /// Discards the staged version, or the queued one if none is staged, and returns its number.
    ///
    /// # Errors
    /// Returns [`RolloutError::NothingStaged`] if no version is staged or queued.
    pub fn drop_staged(&mut self, now: Us) -> Result<u64, RolloutError> {
        let dropped = self.staged.take().or_else(|| self.queued.take());
        let dropped = dropped.ok_or(RolloutError::NothingStaged)?;
        let number = dropped.number;
        self.add_event(now, EventKind::Dropped, dropped, "requested");
        Ok(number)
    }

    /// Applies the staged version, on probation for `probation` microseconds, and returns it. The caller must put it
    /// into effect immediately. With `if_base`, the version is applied only if that version is running.
    ///
    /// # Errors
    /// Returns a [`RolloutError`] if no version can be applied. A staged version whose base is no longer running is
    /// dropped.
    pub fn apply(
        &mut self, now: Us, if_base: Option<u64>, probation: Us,
    ) -> Result<Version<T>, RolloutError> {
        let running = self.running.number;
        self.check_base(if_base)?;
        if self.fallback.is_some() {
            return Err(RolloutError::OnProbation(running));
        }
        let staged = self.staged.take().ok_or(RolloutError::NothingStaged)?;
        // The base of a version that was queued behind another one may no longer be running.
        if staged.base != running {
            let given = staged.base;
            self.add_event(now, EventKind::Dropped, staged, "its base version is no longer running");
            return Err(RolloutError::BaseMismatch { given, running });
        }
        let before = std::mem::replace(&mut self.running, staged.clone());
        self.fallback = Some(Fallback { version: before, until: now.saturating_add(probation) });
        self.add_event(now, EventKind::Applied, staged.clone(), "on probation");
        Ok(staged)
    }

    /// Confirms the version on probation, and returns its number. A queued version becomes the staged one.
    ///
    /// # Errors
    /// Returns [`RolloutError::NothingOnProbation`] if no version is on probation.
    pub fn confirm(&mut self, now: Us, reason: &str) -> Result<u64, RolloutError> {
        self.fallback.take().ok_or(RolloutError::NothingOnProbation)?;
        let running = self.running.clone();
        let number = running.number;
        self.add_event(now, EventKind::Confirmed, running, reason);
        // The queued version was made from the one that is now confirmed.
        self.staged = self.queued.take().or(self.staged.take());
        Ok(number)
    }

    /// Rolls back to the version before the one on probation, and returns it. The caller must put it into effect
    /// immediately. A queued version is dropped, because it was made from the version that is rolled back.
    ///
    /// # Errors
    /// Returns [`RolloutError::NothingOnProbation`] if no version is on probation.
    pub fn roll_back(&mut self, now: Us, reason: &str) -> Result<Version<T>, RolloutError> {
        let Fallback { version: before, .. } =
            self.fallback.take().ok_or(RolloutError::NothingOnProbation)?;
        let bad = std::mem::replace(&mut self.running, before.clone());
        if self.rolled_back.len() >= MAX_ROLLED_BACK {
            self.rolled_back.pop_front();
        }
        self.rolled_back.retain(|earlier| earlier.hash != bad.hash);
        self.rolled_back.push_back(RolledBack { hash: bad.hash.clone(), number: bad.number });
        self.add_event(now, EventKind::RolledBack, bad, reason);
        if let Some(queued) = self.queued.take() {
            let reason = "its base version was undone";
            self.add_event(now, EventKind::Dropped, queued, reason);
        }
        Ok(before)
    }

    /// Checks that the server is not shutting down and that the base, if one is given, is the running version.
    fn check_base(&self, base: Option<u64>) -> Result<(), RolloutError> {
        if self.shutting_down {
            return Err(RolloutError::ShuttingDown);
        }
        let running = self.running.number;
        match base.filter(|given| *given != running) {
            Some(given) => Err(RolloutError::BaseMismatch { given, running }),
            None => Ok(()),
        }
    }

    fn add_event(&mut self, at: Us, kind: EventKind, version: Version<T>, reason: &str) {
        let Version { number, hash, base, .. } = version;
        let event = Event { at, kind, version: number, hash, base, reason: reason.into() };
        for events in [&mut self.history, &mut self.new_events] {
            if events.len() >= MAX_EVENTS {
                events.pop_front();
            }
            events.push_back(event.clone());
        }
    }
}
