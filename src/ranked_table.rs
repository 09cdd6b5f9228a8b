//! A staged table that knows the greatest of its values at any moment.

use crate::max_tree::MaxTree;
use crate::staged_table::StagedTable;

/// Staged values, and the greatest of those in force by a number that each has.
pub(crate) struct RankedTable<T> {
    values: StagedTable<T>,
    greatest: MaxTree,
    number: fn(&T) -> f64,
}

impl<T: Clone> RankedTable<T> {
    pub(crate) fn new(values: Vec<T>, number: fn(&T) -> f64) -> RankedTable<T> {
        let greatest = MaxTree::new(values.iter().map(number));
        RankedTable { values: StagedTable::new(values), greatest, number }
    }

    /// The greatest number of those in force; `least` where there is none above it.
    pub(crate) fn greatest(&self, least: f64) -> f64 {
        self.greatest.greatest().max(least)
    }

    pub(crate) fn get(&self, index: usize) -> Option<&T> {
        self.values.get(index)
    }

    pub(crate) fn latest(&self, index: usize) -> Option<&T> {
        self.values.latest(index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.values.iter()
    }

    /// Alters the value in force at this index, if there is one; nothing else may be staged there.
    pub(crate) fn update(&mut self, index: usize, change: impl FnOnce(&mut T)) {
        if let Some(value) = self.values.get_mut(index) {
            change(value);
            self.rank(index);
        }
    }

    pub(crate) fn stage(&mut self, index: usize, value: Option<T>) {
        self.values.stage(index, value);
        self.rank(index);
    }

    pub(crate) fn commit(&mut self) {
        self.values.commit();
        self.greatest.commit();
    }

    fn rank(&mut self, index: usize) {
        let current = self.values.get(index).map(self.number);
        let next = self.values.next(index).map(self.number);
        self.greatest.set(index, current, next);
    }
}
