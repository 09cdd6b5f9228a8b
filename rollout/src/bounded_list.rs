//! List of bounded length that counts the items beyond the bound without building their text.

/// Maximum number of lines or problems in a list. Items beyond it are only counted.
pub const MAX_LISTED_ITEMS: usize = 200;

pub(crate) struct BoundedList<T> {
    items: Vec<T>,
    omitted: usize,
}

impl<T> BoundedList<T> {
    pub(crate) fn new() -> BoundedList<T> {
        BoundedList { items: Vec::new(), omitted: 0 }
    }

    /// Adds an item, or only counts it when the list is full. `make` is not called for an item that is only counted.
    pub(crate) fn push_with(&mut self, make: impl FnOnce() -> T) {
        if self.items.len() < MAX_LISTED_ITEMS {
            self.items.push(make());
        } else {
            self.omitted += 1;
        }
    }

    /// Returns the items. If any were omitted, a last item made by `omitted` states their number.
    pub(crate) fn finish(mut self, omitted: impl FnOnce(usize) -> T) -> Vec<T> {
        if self.omitted > 0 {
            self.items.push(omitted(self.omitted));
        }
        self.items
    }
}
