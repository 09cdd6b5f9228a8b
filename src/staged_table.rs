//! A table of settings by index whose changes are staged and then committed all at once.

/// The state of a value in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The value was never in force.
    Absent,
    /// The value is in force.
    Active,
    /// The value was in force. It is kept for open RPCs that were read while it was.
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct Version<T> {
    value: T,
    state: State,
}

#[derive(Clone, Copy, Debug)]
struct Slot<T> {
    current: Version<T>,
    staged: Version<T>,
    /// Version of the table from which `staged` is in force.
    staged_from: u64,
}

/// Values by index, with staged changes.
///
/// A commit brings all staged values into force in constant time by incrementing the table's version: each slot holds
/// two values and the version from which the second one is in force.
#[derive(Clone, Debug)]
pub struct StagedTable<T> {
    slots: Vec<Slot<T>>,
    version: u64,
}

impl<T: Clone> StagedTable<T> {
    /// Creates a table of these values, which are in force from the start.
    pub fn new(values: impl IntoIterator<Item = T>) -> StagedTable<T> {
        let slot = |value: T| {
            let version = Version { value, state: State::Active };
            Slot { current: version.clone(), staged: version, staged_from: 0 }
        };
        StagedTable { slots: values.into_iter().map(slot).collect(), version: 0 }
    }

    /// Returns the value in force at this index.
    pub fn get(&self, index: usize) -> Option<&T> {
        self.version_in_force(index)
            .filter(|version| version.state == State::Active)
            .map(|version| &version.value)
    }

    /// Returns the value in force at this index for modification. Nothing else may be staged there.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        let slot = self.slots.get_mut(index)?;
        let committed = slot.staged_from <= self.version;
        let version = if committed { &mut slot.staged } else { &mut slot.current };
        (version.state == State::Active).then_some(&mut version.value)
    }

    /// Returns the value in force at this index, or the one that was last in force.
    pub fn latest(&self, index: usize) -> Option<&T> {
        self.version_in_force(index)
            .filter(|version| version.state != State::Absent)
            .map(|version| &version.value)
    }

    /// Returns the value that will be in force at this index after the next commit.
    pub fn next(&self, index: usize) -> Option<&T> {
        let staged = self.slots.get(index).map(|slot| &slot.staged);
        staged.filter(|version| version.state == State::Active).map(|version| &version.value)
    }

    /// Returns the values in force with their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        (0..self.slots.len()).filter_map(|index| self.get(index).map(|value| (index, value)))
    }

    /// Stages a value, or its removal for `None`, replacing what was staged at this index before. The table grows up
    /// to the index.
    pub fn stage(&mut self, index: usize, value: Option<T>) {
        if let (Some(value), true) = (&value, index >= self.slots.len()) {
            let absent = Version { value: value.clone(), state: State::Absent };
            let slot = Slot { current: absent.clone(), staged: absent, staged_from: 0 };
            self.slots.resize(index + 1, slot);
        }
        let Some(slot) = self.slots.get_mut(index) else { return };
        if slot.staged_from <= self.version {
            slot.current = slot.staged.clone();
            slot.staged_from = self.version + 1;
        }
        slot.staged = match (value, slot.current.state) {
            (Some(value), _) => Version { value, state: State::Active },
            (None, State::Active) => Version { state: State::Removed, ..slot.current.clone() },
            (None, _) => slot.current.clone(),
        };
    }

    /// Brings all staged values into force.
    pub fn commit(&mut self) {
        self.version += 1;
    }

    fn version_in_force(&self, index: usize) -> Option<&Version<T>> {
        let slot = self.slots.get(index)?;
        Some(if slot.staged_from <= self.version { &slot.staged } else { &slot.current })
    }
}
