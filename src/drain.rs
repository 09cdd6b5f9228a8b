//! The graceful shutdown: what is still admitted after the notice, and by when all is answered.

use crate::ids::Us;

/// The state of a drain.
pub struct Drain {
    /// RPCs that arrive later than this after the notice are not run.
    pub(crate) grace: Us,
    /// When the grace ends; `Us::MAX` without a notice.
    pub(crate) grace_ends: Us,
    /// When everything must be answered; `Us::MAX` without a notice.
    pub(crate) answers_due: Us,
    /// Callers were not yet asked to close their connections.
    connections_open: bool,
}

impl Drain {
    /// `grace`: how long after the notice arrivals are still served.
    pub fn new(grace: Us) -> Drain {
        Drain { grace, grace_ends: Us::MAX, answers_due: Us::MAX, connections_open: true }
    }

    pub(crate) fn begin(&mut self, noticed: Us, answers_due: Us) {
        (self.grace_ends, self.answers_due) = (noticed + self.grace, answers_due);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.grace_ends != Us::MAX
    }

    /// True once: the first time that connections are to be closed.
    pub(crate) fn take_close_connections(&mut self) -> bool {
        std::mem::take(&mut self.connections_open)
    }
}
