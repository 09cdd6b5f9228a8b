//! The transaction: stage, apply, confirm or roll back. Says who may do what when.

use crate::version::{RolledBack, Us, Version, VersionHash, MAX_ROLLED_BACK};
use std::collections::VecDeque;

/// Events in the history, and events that wait to be taken, at the most; the oldest go first.
const MAX_EVENTS: usize = 64;

/// What an operator asks for besides the change itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageOptions {
    /// Take what was rolled back before, and what the checks warn of, all the same.
    pub force: bool,
    /// While another version is on probation, wait for its end instead of being refused.
    pub queue: bool,
}

/// A change that is to be staged.
#[derive(Clone, Debug)]
pub struct Proposal<T> {
    /// What the new version would say.
    pub content: T,
    /// The hash of `content`.
    pub hash: VersionHash,
    /// The version that it was made from; `None` where that is unknown, as on a signal.
    pub base: Option<u64>,
    /// What else was asked for.
    pub options: StageOptions,
}

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutError {
    /// The change was made from another version than the one that runs.
    #[error("it was made from version {given}, but version {running} runs")]
    BaseMismatch {
        /// The version that the change names as its base.
        given: u64,
        /// The version that runs.
        running: u64,
    },
    /// The change means what this version, which runs, says already.
    #[error("it is what runs already, as version {0}")]
    Unchanged(u64),
    /// This version is on probation.
    #[error("version {0} is on probation until it is settled or undone")]
    OnProbation(u64),
    /// This version is staged.
    #[error("version {0} is staged already: apply it, or drop it first")]
    AlreadyStaged(u64),
    /// This version is queued.
    #[error("version {0} waits already behind the one on probation")]
    AlreadyQueued(u64),
    /// The same content was rolled back, as this version.
    #[error("it was undone before, as version {0}: force it if that is wanted")]
    PreviouslyRolledBack(u64),
    /// There is no staged version.
    #[error("nothing is staged")]
    NothingStaged,
    /// There is no version on probation.
    #[error("nothing is on probation")]
    NothingOnProbation,
    /// The server shuts down.
    #[error("the server leaves")]
    ShuttingDown,
}

/// What happened to a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// It was taken in; it has no effect yet.
    Staged,
    /// It was forgotten without having run.
    Dropped,
    /// It runs.
    Applied,
    /// Its probation ended well.
    Confirmed,
    /// It was replaced by the version before.
    RolledBack,
}

impl EventKind {
    /// The word for it in the history and in logs.
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

/// An entry of the history.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it happened, in microseconds.
    pub at: Us,
    /// What happened.
    pub kind: EventKind,
    /// The number of the version that it happened to.
    pub version: u64,
    /// The hash of that version.
    pub hash: VersionHash,
    /// The version that it was made from.
    pub base: u64,
    /// The reason, for people.
    pub reason: String,
}

/// How far the rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The running version is good.
    Confirmed,
    /// The running version is on probation, until this moment at the latest.
    Probation(Us),
}

/// The version to return to, while another one is on probation.
struct Fallback<T> {
    version: Version<T>,
    /// When the probation is to end at the latest.
    until: Us,
}

/// The versions of a configuration and what may be done with them; see the crate's documentation.
pub struct Rollout<T> {
    running: Version<T>,
    /// Present while `running` is on probation.
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
    /// Begins with version 1.
    pub fn new(content: T, hash: impl Into<VersionHash>, now: Us) -> Rollout<T> {
        Rollout::resume(content, hash, 1, Vec::new(), now)
    }

    /// Begins after a restart: the version keeps its number, and what was rolled back is not forgotten.
    pub fn resume(
        content: T, hash: impl Into<VersionHash>, number: u64, rolled_back: Vec<RolledBack>, now: Us,
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
        rollout.add_event(now, EventKind::Applied, rollout.running.clone(), "the start");
        rollout
    }

    /// The version that runs.
    pub fn running(&self) -> &Version<T> {
        &self.running
    }

    /// The last version that proved good: during a probation the one before it.
    pub fn last_good(&self) -> &Version<T> {
        self.fallback.as_ref().map_or(&self.running, |fallback| &fallback.version)
    }

    /// The version that [`Rollout::apply`] would let run.
    pub fn staged(&self) -> Option<&Version<T>> {
        self.staged.as_ref()
    }

    /// The version that is staged once the one on probation is confirmed.
    pub fn queued(&self) -> Option<&Version<T>> {
        self.queued.as_ref()
    }

    /// Whether the running version is on probation.
    pub fn phase(&self) -> Phase {
        self.fallback.as_ref().map_or(Phase::Confirmed, |fallback| Phase::Probation(fallback.until))
    }

    /// The last events, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Event> {
        self.history.iter()
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.new_events.drain(..).collect()
    }

    /// The versions that were rolled back, the oldest first.
    pub fn rolled_back(&self) -> impl Iterator<Item = &RolledBack> {
        self.rolled_back.iter()
    }

    /// From now on nothing is staged or applied.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Takes a change in; it has no effect until it is applied. Returns its number.
    ///
    /// # Errors
    /// [`RolloutError`]; nothing has changed then.
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
        self.add_event(now, EventKind::Staged, version, "asked for");
        Ok(self.next_number - 1)
    }

    /// Forgets the staged version, or else the queued one. Returns its number.
    ///
    /// # Errors
    /// [`RolloutError::NothingStaged`].
    pub fn drop_staged(&mut self, now: Us) -> Result<u64, RolloutError> {
        let dropped = self.staged.take().or_else(|| self.queued.take());
        let dropped = dropped.ok_or(RolloutError::NothingStaged)?;
        let number = dropped.number;
        self.add_event(now, EventKind::Dropped, dropped, "asked for");
        Ok(number)
    }

    /// Lets the staged version run, on probation for `probation` microseconds at the most. Returns it, to be put in force
    /// at once. With `if_base`, only if that version runs.
    ///
    /// # Errors
    /// [`RolloutError`]; a staged version whose base does not run any more is dropped.
    pub fn apply(
        &mut self, now: Us, if_base: Option<u64>, probation: Us,
    ) -> Result<Version<T>, RolloutError> {
        let running = self.running.number;
        self.check_base(if_base)?;
        if self.fallback.is_some() {
            return Err(RolloutError::OnProbation(running));
        }
        let staged = self.staged.take().ok_or(RolloutError::NothingStaged)?;
        // It was queued behind a version that was rolled back or confirmed: its base may not run any more.
        if staged.base != running {
            let given = staged.base;
            self.add_event(now, EventKind::Dropped, staged, "its base does not run any more");
            return Err(RolloutError::BaseMismatch { given, running });
        }
        let before = std::mem::replace(&mut self.running, staged.clone());
        self.fallback = Some(Fallback { version: before, until: now.saturating_add(probation) });
        self.add_event(now, EventKind::Applied, staged.clone(), "on probation");
        Ok(staged)
    }

    /// The version on probation is good. Returns its number. A queued version becomes the staged one.
    ///
    /// # Errors
    /// [`RolloutError::NothingOnProbation`].
    pub fn confirm(&mut self, now: Us, reason: &str) -> Result<u64, RolloutError> {
        self.fallback.take().ok_or(RolloutError::NothingOnProbation)?;
        let running = self.running.clone();
        let number = running.number;
        self.add_event(now, EventKind::Confirmed, running, reason);
        // What was queued was made from the version that has just been confirmed.
        self.staged = self.queued.take().or(self.staged.take());
        Ok(number)
    }

    /// Returns to the version before the one on probation, and hands it back, to be put in force at once. A queued
    /// version was made from the one that is rolled back: it is dropped.
    ///
    /// # Errors
    /// [`RolloutError::NothingOnProbation`].
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
            let reason = "the version that it was made from was undone";
            self.add_event(now, EventKind::Dropped, queued, reason);
        }
        Ok(before)
    }

    /// Whether anything may begin, and from this base, where one is given.
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
