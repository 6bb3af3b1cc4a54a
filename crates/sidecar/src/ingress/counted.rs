//! Counts what is under way, for the drain of a stop.

use std::cell::Cell;

/// Adds one to a count until dropped.
pub(super) struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    pub(super) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
