//! Graceful shutdown.

use crate::engine::{Drain, Engine};
use crate::outputs::Outputs;
use asterrill::Us;

impl<ReplyTo: Copy + Ord, Body: AsRef<[u8]>> Engine<ReplyTo, Body> {
    /// Starts the drain: every RPC must be answered by `deadline`. A second call has no effect.
    pub fn drain(&mut self, now: Us, deadline: Us, out: &mut dyn Outputs<ReplyTo>) {
        self.advance_to(now);
        if self.drain.is_some() {
            return;
        }
        self.drain = Some(Drain { started_at: self.now, deadline });
        let outcome = self.control.drain(self.now, self.now, deadline);
        self.apply(outcome, out);
    }

    /// Reports whether the deadline of the drain has passed and no RPC awaits an answer.
    pub fn is_drained(&self) -> bool {
        let deadline_passed = self.drain.is_some_and(|drain| self.now >= drain.deadline);
        deadline_passed && self.rpcs.unanswered_count() == 0
    }
}
