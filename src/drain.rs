//! The drain before a shutdown: the grace period for arrivals, and the time by which all RPCs are answered.

use crate::ids::Us;

/// The state of a drain.
pub struct Drain {
    /// Grace period: RPCs that arrive later than this after the shutdown notice are not run.
    pub(crate) grace: Us,
    /// End of the grace period; `Us::MAX` before a shutdown notice.
    pub(crate) grace_ends: Us,
    /// Time by which all RPCs must be answered; `Us::MAX` before a shutdown notice.
    pub(crate) answers_due: Us,
    /// Whether the request to close connections is still to be made.
    close_pending: bool,
}

impl Drain {
    /// Creates the state before a shutdown notice. `grace` is the time after the notice for which arrivals are served.
    pub fn new(grace: Us) -> Drain {
        Drain { grace, grace_ends: Us::MAX, answers_due: Us::MAX, close_pending: true }
    }

    pub(crate) fn begin(&mut self, noticed_at: Us, answers_due: Us) {
        (self.grace_ends, self.answers_due) = (noticed_at + self.grace, answers_due);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.grace_ends != Us::MAX
    }

    /// Reports whether connections are to be closed; true for the first call only.
    pub(crate) fn take_close_connections(&mut self) -> bool {
        std::mem::take(&mut self.close_pending)
    }
}
