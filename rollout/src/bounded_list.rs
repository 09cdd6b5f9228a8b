//! A list with a bound: what does not fit is counted, and its text is never made.

/// Lines and problems that are listed at the most; of more only the count is given.
pub const MAX_LISTED_ITEMS: usize = 200;

pub(crate) struct BoundedList<T> {
    items: Vec<T>,
    omitted: usize,
}

impl<T> BoundedList<T> {
    pub(crate) fn new() -> BoundedList<T> {
        BoundedList { items: Vec::new(), omitted: 0 }
    }

    /// Adds an item; `make` is not called where it does not fit.
    pub(crate) fn push_with(&mut self, make: impl FnOnce() -> T) {
        if self.items.len() < MAX_LISTED_ITEMS {
            self.items.push(make());
        } else {
            self.omitted += 1;
        }
    }

    /// The items, and where some were left out a last one that says how many.
    pub(crate) fn finish(mut self, omitted: impl FnOnce(usize) -> T) -> Vec<T> {
        if self.omitted > 0 {
            self.items.push(omitted(self.omitted));
        }
        self.items
    }
}
