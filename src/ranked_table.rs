//! A staged table that maintains the maximum rank of its values.

use crate::max_tree::MaxTree;
use crate::staged_table::StagedTable;

/// Staged values, and the maximum rank of those in force.
pub(crate) struct RankedTable<T> {
    values: StagedTable<T>,
    max_rank: MaxTree,
    rank: fn(&T) -> f64,
}

impl<T: Clone> RankedTable<T> {
    pub(crate) fn new(values: Vec<T>, rank: fn(&T) -> f64) -> RankedTable<T> {
        let max_rank = MaxTree::new(values.iter().map(rank));
        RankedTable { values: StagedTable::new(values), max_rank, rank }
    }

    /// Returns the maximum rank of the values in force, but at least `floor`.
    pub(crate) fn max_rank(&self, floor: f64) -> f64 {
        self.max_rank.max().max(floor)
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

    /// Changes the value in force at this index, if there is one. Nothing else may be staged there.
    pub(crate) fn update(&mut self, index: usize, change: impl FnOnce(&mut T)) {
        if let Some(value) = self.values.get_mut(index) {
            change(value);
            self.update_rank(index);
        }
    }

    pub(crate) fn stage(&mut self, index: usize, value: Option<T>) {
        self.values.stage(index, value);
        self.update_rank(index);
    }

    pub(crate) fn commit(&mut self) {
        self.values.commit();
        self.max_rank.commit();
    }

    fn update_rank(&mut self, index: usize) {
        let current = self.values.get(index).map(self.rank);
        let next = self.values.next(index).map(self.rank);
        self.max_rank.set(index, current, next);
    }
}
