//! The versions that are known: what the keepers' log makes of itself, the same on each of them.

use crate::state::{contradict, hinder, Refused, State, Step, Whole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

const WAITING: u64 = 64; // versions that may wait to come into force
const KEPT: usize = 256; // versions that one can go back to, and steps that others are told
const TOLD: usize = 1_024; // outcomes that are remembered, so that a wish that comes again is none

/// One wish of one operator's, whichever way it came.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    pub by: String,
    /// Which start of that member it was, and the number of the wish.
    pub start: u64,
    pub number: u64,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Done { number: u64, hash: u64 },
    Refused(Refused),
}

/// What stands in the keepers' log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Step {
        ticket: Ticket,
        step: Step,
    },
    /// Back to what a version said, as a new one.
    Undo {
        ticket: Ticket,
        base: Option<u64>,
        to: u64,
    },
    /// From here on leases are given for this version.
    Activate(u64),
}

/// See the module's page.
#[derive(Clone, Debug, Default)]
pub struct Book {
    states: BTreeMap<u64, State>,
    steps: BTreeMap<u64, Step>,
    active: u64,
    told: VecDeque<(Ticket, Outcome)>,
}

/// The version in force whole, and the steps that lead on from it.
#[derive(Serialize, Deserialize)]
struct Image {
    hash: u64,
    whole: Whole,
    steps: Vec<Step>,
    active: u64,
    told: Vec<(Ticket, Outcome)>,
}

impl Book {
    pub fn newest(&self) -> State {
        self.states.last_key_value().map(|(_, state)| state.clone()).unwrap_or_default()
    }
    pub fn number(&self) -> u64 {
        self.states.last_key_value().map_or(0, |(number, _)| *number)
    }
    /// A version that is still known.
    pub fn version(&self, number: u64) -> Option<State> {
        if number == 0 {
            return Some(State::default());
        }
        self.states.get(&number).cloned()
    }
    /// The version that leases are given for.
    pub fn active(&self) -> u64 {
        self.active
    }
    pub fn outcome(&self, ticket: &Ticket) -> Option<&Outcome> {
        self.told.iter().rev().find(|(known, _)| known == ticket).map(|(_, outcome)| outcome)
    }
    /// The versions known, the newest last: number, hash, who proposed it.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &State> {
        self.states.values()
    }

    fn keep(&mut self, state: State, step: Option<Step>) {
        let number = state.number;
        self.states.insert(number, state);
        if let Some(step) = step {
            self.steps.insert(number, step);
        }
        while self.steps.len() > KEPT {
            self.steps.pop_first();
        }
        while self.states.len() > KEPT && self.states.first_key_value().is_some_and(|(n, _)| *n < self.active)
        {
            self.states.pop_first();
        }
    }

    /// Takes a command in. Hands back whose wish it was and what came of it.
    pub fn take(&mut self, command: Command) -> Option<(Ticket, Outcome)> {
        let newest = self.newest();
        let (ticket, step) = match command {
            Command::Activate(number) => {
                if number > self.active && number <= self.number() {
                    self.active = number;
                }
                return None;
            }
            Command::Step { ticket, step } => (ticket, Ok(step)),
            Command::Undo { ticket, base, to } => {
                let by = ticket.by.clone();
                let back = self.version(to).map(|old| Step { base, by, changes: newest.changes_to(&old) });
                (ticket, back.ok_or(Refused::Forgotten(to)))
            }
        };
        // One that was heard twice has its outcome already.
        if let Some(outcome) = self.outcome(&ticket) {
            return Some((ticket, outcome.clone()));
        }
        let waiting = newest.number.saturating_sub(self.active);
        let room = if waiting < WAITING { Ok(()) } else { Err(Refused::Waiting(waiting)) };
        let next = room.and(step).and_then(|step| newest.step(&step).map(|state| (state, step)));
        let outcome = match next {
            Ok((state, step)) => {
                let done = Outcome::Done { number: state.number, hash: state.hash() };
                self.keep(state, Some(step));
                done
            }
            Err(refused) => Outcome::Refused(refused),
        };
        while self.told.len() >= TOLD {
            self.told.pop_front();
        }
        self.told.push_back((ticket.clone(), outcome.clone()));
        Some((ticket, outcome))
    }

    /// Whether the step to a version, by itself, contradicts a version before it; by all that both say, if that step is
    /// not known any more.
    pub fn hinders(&self, before: &State, number: u64) -> bool {
        match (self.steps.get(&number), self.states.get(&number)) {
            (Some(step), _) => step.changes.iter().any(|change| hinder(before, change)),
            (None, Some(state)) => contradict(before, state),
            (None, None) => true,
        }
    }

    /// Steps after a version of this hash, as many as fit so many bytes; none if they are not known from there.
    pub fn steps_after(&self, number: u64, hash: u64, bytes: usize) -> Option<Vec<Step>> {
        if self.version(number)?.hash() != hash {
            return None;
        }
        let (mut steps, mut size) = (Vec::new(), 0);
        for (at, step) in self.steps.range(number + 1..) {
            let long = postcard::to_stdvec(step).map_or(usize::MAX, |bytes| bytes.len());
            if *at != number + 1 + steps.len() as u64 || (size + long > bytes && !steps.is_empty()) {
                break;
            }
            size += long;
            steps.push(step.clone());
        }
        (!steps.is_empty() || number == self.number()).then_some(steps)
    }
    /// Takes steps in that somebody told; each leads on from the newest. False if they don't, or don't come to this hash.
    pub fn follow(&mut self, steps: Vec<Step>, hash: u64) -> bool {
        let mut states = vec![self.newest()];
        for step in &steps {
            let last = states.last().cloned().unwrap_or_default();
            let Ok(next) = last.step(&Step { base: None, ..step.clone() }) else { return false };
            states.push(next);
        }
        if states.last().is_none_or(|last| last.hash() != hash) {
            return false;
        }
        states.into_iter().skip(1).zip(steps).for_each(|(state, step)| self.keep(state, Some(step)));
        true
    }
    /// Takes a whole version in, in place of all that was known.
    pub fn believe(&mut self, state: State) {
        *self = Book::default();
        self.keep(state, None);
    }
    /// The version that leases are given for, as somebody told.
    pub fn activate(&mut self, number: u64) {
        self.active = self.active.max(number);
    }

    /// All of it, as bytes; and back, the version in force checked against its hash.
    pub fn image(&self) -> Vec<u8> {
        // From the version in force on, or from the first one after it that is known whole and leads on without a gap.
        let mut from = self.number();
        while from > self.active && self.states.contains_key(&(from - 1)) && self.steps.contains_key(&from) {
            from -= 1;
        }
        let base = self.version(from).unwrap_or_default();
        let steps = self.steps.range(from + 1..).map(|(_, step)| step.clone()).collect();
        let told = self.told.iter().cloned().collect();
        let image = Image { hash: base.hash(), whole: base.whole(), steps, active: self.active, told };
        postcard::to_stdvec(&image).unwrap_or_default()
    }
    pub fn read(bytes: &[u8]) -> Option<Book> {
        let image: Image = postcard::from_bytes(bytes).ok()?;
        let mut book = Book { active: image.active, told: image.told.into(), ..Book::default() };
        let base = State::believe(image.whole, image.hash)?;
        if !base.is_empty() {
            book.keep(base, None);
        }
        for step in image.steps {
            let next = book.newest().step(&Step { base: None, ..step.clone() }).ok()?;
            book.keep(next, Some(step));
        }
        Some(book)
    }
}
