//! Stage, apply, settle, undo: who may do what when.

use crate::{Us, UNDONE};
use std::collections::VecDeque;
use std::sync::Arc;

const HISTORY: usize = 64; // events that are kept

/// One version of the configuration. Cheap to copy if its content is.
#[derive(Clone, Debug, PartialEq)]
pub struct Version<T> {
    /// From 1 up.
    pub number: u64,
    /// Of its content, as the content's owner tells it: the same for the same meaning.
    pub hash: Hash,
    /// The version that it was made from.
    pub base: u64,
    pub content: T,
}

/// Names a content by its meaning; what it is made of is the business of the content's owner (see [`crate::hash`]).
pub type Hash = Arc<str>;

/// A hash and the number that the version with it had.
pub type Marked = (Hash, u64);

/// What an operator wants besides the change itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wish {
    /// What was undone before, and what the checks warn of, is taken all the same.
    pub force: bool,
    /// If another is not settled yet this one waits for that instead of being refused.
    pub queue: bool,
}

/// A change that is to be staged.
#[derive(Clone, Debug)]
pub struct Change<T> {
    pub content: T,
    pub hash: Hash,
    /// The version that it was made from; none where that is not known, as on a signal.
    pub base: Option<u64>,
    pub wish: Wish,
}

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("it was made from version {given}, but version {running} runs")]
    OtherBase { given: u64, running: u64 },
    #[error("it is what runs already, as version {0}")]
    Same(u64),
    #[error("version {0} is on probation until it is settled or undone")]
    OnProbation(u64),
    #[error("version {0} is staged already: apply it, or drop it first")]
    Staged(u64),
    #[error("version {0} waits already behind the one on probation")]
    Queued(u64),
    #[error("it was undone before, as version {0}: force it if that is wanted")]
    Undone(u64),
    #[error("nothing is staged")]
    NothingStaged,
    #[error("nothing is on probation")]
    NothingOnProbation,
    #[error("the server leaves")]
    Leaving,
}

/// What happened, for history and logs.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Us,
    /// `staged`, `dropped`, `applied`, `settled`, `undone`.
    pub what: &'static str,
    pub version: u64,
    pub hash: Hash,
    pub base: u64,
    pub why: String,
}

/// How far the rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Settled,
    /// Until then at the latest.
    Probation(Us),
}

/// See the package's page.
pub struct Rollout<T> {
    running: Version<T>,
    /// What ran before the one on probation, and until when the probation lasts at the longest.
    before: Option<(Version<T>, Us)>,
    staged: Option<Version<T>>,
    queued: Option<Version<T>>,
    next: u64,
    undone: VecDeque<Marked>,
    history: VecDeque<Event>,
    news: VecDeque<Event>,
    leaving: bool,
}

impl<T: Clone> Rollout<T> {
    /// The version that the process starts with.
    pub fn new(content: T, hash: impl Into<Hash>, now: Us) -> Rollout<T> {
        Rollout::after(content, hash, 1, Vec::new(), now)
    }

    /// The same after a restart: the last good version keeps its number, and what was undone is not forgotten.
    pub fn after(content: T, hash: impl Into<Hash>, number: u64, undone: Vec<Marked>, now: Us) -> Rollout<T> {
        let number = number.max(1);
        let running = Version { number, hash: hash.into(), base: number - 1, content };
        let next = undone.iter().map(|(_, number)| *number).max().unwrap_or(0).max(number) + 1;
        let mut rollout = Rollout {
            running,
            before: None,
            staged: None,
            queued: None,
            next,
            undone: undone.into_iter().take(UNDONE).collect(),
            history: VecDeque::new(),
            news: VecDeque::new(),
            leaving: false,
        };
        rollout.tell(now, "applied", rollout.running.clone(), "the start");
        rollout
    }

    pub fn running(&self) -> &Version<T> {
        &self.running
    }
    /// The last version that is known to be good: the one before, during a probation.
    pub fn good(&self) -> &Version<T> {
        self.before.as_ref().map_or(&self.running, |(before, _)| before)
    }
    pub fn staged(&self) -> Option<&Version<T>> {
        self.staged.as_ref()
    }
    pub fn queued(&self) -> Option<&Version<T>> {
        self.queued.as_ref()
    }
    pub fn stage_now(&self) -> Stage {
        self.before.as_ref().map_or(Stage::Settled, |(_, until)| Stage::Probation(*until))
    }
    pub fn history(&self) -> impl Iterator<Item = &Event> {
        self.history.iter()
    }
    /// The events since the last time that they were taken.
    pub fn take_news(&mut self) -> Vec<Event> {
        self.news.drain(..).collect()
    }
    /// What was undone: hash and number.
    pub fn undone(&self) -> impl Iterator<Item = &Marked> {
        self.undone.iter()
    }
    /// The server leaves: nothing is applied any more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    fn tell(&mut self, at: Us, what: &'static str, version: Version<T>, why: &str) {
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        let Version { number, hash, base, .. } = version;
        let event = Event { at, what, version: number, hash, base, why: why.into() };
        if self.news.len() >= HISTORY {
            self.news.pop_front();
        }
        self.news.push_back(event.clone());
        self.history.push_back(event);
    }

    /// Takes a change in. It has no effect until it is applied. Hands back its number.
    pub fn stage(&mut self, now: Us, change: Change<T>) -> Result<u64, Refusal> {
        let Change { content, hash, base, wish } = change;
        let running = self.running.number;
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if let Some(given) = base.filter(|given| *given != running) {
            return Err(Refusal::OtherBase { given, running });
        }
        if hash == self.running.hash {
            return Err(Refusal::Same(running));
        }
        if let Some((_, number)) = self.undone.iter().find(|(known, _)| *known == hash && !wish.force) {
            return Err(Refusal::Undone(*number));
        }
        let version = Version { number: self.next, hash, base: running, content };
        let place = match (&self.before, &self.staged, &self.queued) {
            (Some(_), _, Some(queued)) => return Err(Refusal::Queued(queued.number)),
            (Some(_), ..) if wish.queue => &mut self.queued,
            (Some(_), ..) => return Err(Refusal::OnProbation(running)),
            (None, Some(staged), _) => return Err(Refusal::Staged(staged.number)),
            (None, None, _) => &mut self.staged,
        };
        *place = Some(version.clone());
        self.next += 1;
        self.tell(now, "staged", version, "asked for");
        Ok(self.next - 1)
    }

    /// Forgets what is staged, and what waits.
    pub fn drop_staged(&mut self, now: Us) -> Result<u64, Refusal> {
        let dropped = self.staged.take().or_else(|| self.queued.take()).ok_or(Refusal::NothingStaged)?;
        let number = dropped.number;
        self.tell(now, "dropped", dropped, "asked for");
        Ok(number)
    }

    /// The staged version runs from now on, on probation for so long at the most. Hands it back, to be applied
    /// whole. `if_base`: refused unless that version runs.
    pub fn apply(&mut self, now: Us, if_base: Option<u64>, probation: Us) -> Result<Version<T>, Refusal> {
        let running = self.running.number;
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if let Some(given) = if_base.filter(|given| *given != running) {
            return Err(Refusal::OtherBase { given, running });
        }
        if self.before.is_some() {
            return Err(Refusal::OnProbation(running));
        }
        let staged = self.staged.take().ok_or(Refusal::NothingStaged)?;
        // It waited behind one that was undone, or settled: what it was made from may not run any more.
        if staged.base != running {
            let given = staged.base;
            self.tell(now, "dropped", staged, "its base does not run any more");
            return Err(Refusal::OtherBase { given, running });
        }
        let before = std::mem::replace(&mut self.running, staged.clone());
        self.before = Some((before, now.saturating_add(probation)));
        self.tell(now, "applied", staged.clone(), "on probation");
        Ok(staged)
    }

    /// The version on probation is good.
    pub fn settle(&mut self, now: Us, why: &str) -> Result<u64, Refusal> {
        self.before.take().ok_or(Refusal::NothingOnProbation)?;
        let running = self.running.clone();
        let number = running.number;
        self.tell(now, "settled", running, why);
        // What waited was made from the version that has just been settled.
        self.staged = self.queued.take().or(self.staged.take());
        Ok(number)
    }

    /// Goes back to the version before the one on probation. Hands that back, to be applied whole. What waited
    /// was made from the version undone: it is dropped.
    pub fn undo(&mut self, now: Us, why: &str) -> Result<Version<T>, Refusal> {
        let (before, _) = self.before.take().ok_or(Refusal::NothingOnProbation)?;
        let undone = std::mem::replace(&mut self.running, before.clone());
        if self.undone.len() >= UNDONE {
            self.undone.pop_front();
        }
        self.undone.retain(|(known, _)| *known != undone.hash);
        self.undone.push_back((undone.hash.clone(), undone.number));
        self.tell(now, "undone", undone, why);
        if let Some(queued) = self.queued.take() {
            self.tell(now, "dropped", queued, "the version that it was made from was undone");
        }
        Ok(before)
    }
}
