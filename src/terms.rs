//! Values by place: those in force, and those staged beside them. No decision is taken here.

use crate::peak::Peak;
use crate::types::{Method, MethodId};

/// What is to hold at one place from the next change on.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsUpdate {
    /// A method as the operators describe it; none where it is over.
    Method(MethodId, Option<Method>),
    /// A tenant's RPCs a second over the whole fleet, 0 or more; none where it is over.
    Tenant(usize, Option<f64>),
}

/// Whether the value of a place may be made use of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Never, // it was never in force
    InForce,
    Over, // it was, and stays for what is in hand
}

#[derive(Clone, Copy, Debug)]
struct Slot<T> {
    now: T,
    next: T,
    states: (State, State), // of the two
    from: u64,              // the version at which `next` holds
}

/// Values by place. Those that are staged come into force all at once, by a count, whatever their number: each
/// place holds two values and the version from which the second one holds.
#[derive(Clone, Debug)]
pub struct StagedTable<T> {
    slots: Vec<Slot<T>>,
    version: u64,
}

impl<T: Clone> StagedTable<T> {
    /// In force from the start, in the order of their places.
    pub fn new(values: impl IntoIterator<Item = T>) -> StagedTable<T> {
        let states = (State::InForce, State::InForce);
        let slot = |value: T| Slot { now: value.clone(), next: value, states, from: 0 };
        StagedTable { slots: values.into_iter().map(slot).collect(), version: 0 }
    }

    /// What is in force there.
    pub fn get(&self, place: usize) -> Option<&T> {
        self.read(place).filter(|(_, state)| *state == State::InForce).map(|(value, _)| value)
    }
    /// The same, to be altered while nothing else is staged there.
    pub fn get_mut(&mut self, place: usize) -> Option<&mut T> {
        let slot = self.slots.get_mut(place)?;
        let ((now, next), (state, later)) = ((&mut slot.now, &mut slot.next), slot.states);
        let (value, state) = if slot.from <= self.version { (next, later) } else { (now, state) };
        (state == State::InForce).then_some(value)
    }
    /// What is in force there or was so last: the terms of what is in hand.
    pub fn last(&self, place: usize) -> Option<&T> {
        self.read(place).filter(|(_, state)| *state != State::Never).map(|(value, _)| value)
    }
    /// What will be in force there after the next change.
    pub fn next(&self, place: usize) -> Option<&T> {
        self.slots.get(place).filter(|slot| slot.states.1 == State::InForce).map(|slot| &slot.next)
    }
    /// What is in force, with its places.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        (0..self.slots.len()).filter_map(|place| self.get(place).map(|value| (place, value)))
    }

    /// Takes a value in beside the one in force, or its end, in place of what was staged there before. Places up
    /// to this one are made.
    pub fn stage(&mut self, place: usize, value: Option<T>) {
        if let (Some(value), true) = (&value, place >= self.slots.len()) {
            let states = (State::Never, State::Never);
            let slot = Slot { now: value.clone(), next: value.clone(), states, from: 0 };
            self.slots.resize(place + 1, slot);
        }
        let Some(slot) = self.slots.get_mut(place) else { return };
        if slot.from <= self.version {
            (slot.now, slot.states.0) = (slot.next.clone(), slot.states.1);
            slot.from = self.version + 1;
        }
        (slot.next, slot.states.1) = match (value, slot.states.0) {
            (Some(value), _) => (value, State::InForce),
            (None, State::InForce) => (slot.now.clone(), State::Over),
            (None, before) => (slot.now.clone(), before),
        };
    }

    /// All that was staged is in force from now on.
    pub fn commit(&mut self) {
        self.version += 1;
    }

    fn read(&self, place: usize) -> Option<(&T, State)> {
        let slot = self.slots.get(place)?;
        let next = slot.from <= self.version;
        Some(if next { (&slot.next, slot.states.1) } else { (&slot.now, slot.states.0) })
    }
}

/// Staged values whose greatest is known at any moment, by a number that each has.
pub(crate) struct Ranked<T> {
    values: StagedTable<T>,
    peak: Peak,
    number: fn(&T) -> f64,
}

impl<T: Clone> Ranked<T> {
    pub(crate) fn new(values: Vec<T>, number: fn(&T) -> f64) -> Ranked<T> {
        let peak = Peak::new(values.iter().map(number));
        Ranked { values: StagedTable::new(values), peak, number }
    }
    /// The greatest number of those in force, or the least given.
    pub(crate) fn greatest(&self, least: f64) -> f64 {
        self.peak.greatest().max(least)
    }
    pub(crate) fn get(&self, place: usize) -> Option<&T> {
        self.values.get(place)
    }
    pub(crate) fn last(&self, place: usize) -> Option<&T> {
        self.values.last(place)
    }
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.values.iter()
    }
    /// Alters what is in force there, if anything is; nothing else may be staged there.
    pub(crate) fn alter(&mut self, place: usize, change: impl FnOnce(&mut T)) {
        if let Some(value) = self.values.get_mut(place) {
            change(value);
            self.rank(place);
        }
    }
    pub(crate) fn stage(&mut self, place: usize, value: Option<T>) {
        self.values.stage(place, value);
        self.rank(place);
    }
    pub(crate) fn commit(&mut self) {
        self.values.commit();
        self.peak.commit();
    }
    fn rank(&mut self, place: usize) {
        let (now, next) = (self.values.get(place), self.values.next(place));
        self.peak.set(place, now.map(self.number), next.map(self.number));
    }
}
