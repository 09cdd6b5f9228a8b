//! Timers that the SWIM implementation has requested.

use crate::config::MAX_MEMBERS;
use crate::member_id::MemberId;
use asterrill::Us;
use foca::Timer;
use std::collections::BTreeMap;

/// Maximum number of scheduled timers.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;

/// Bounded queue of timers, ordered by deadline and then by the order of scheduling.
#[derive(Default)]
pub(crate) struct Timers {
    queue: BTreeMap<(Us, u64), Timer<MemberId>>,
    last_sequence: u64,
}

impl Timers {
    /// Schedules a timer, or drops it if the queue is full.
    ///
    /// A dropped timer is not critical: timers that remain queued schedule probes and gossip again.
    pub(crate) fn schedule(&mut self, deadline: Us, timer: Timer<MemberId>) {
        if self.queue.len() < MAX_TIMERS {
            self.last_sequence += 1;
            self.queue.insert((deadline, self.last_sequence), timer);
        }
    }

    /// Returns the earliest deadline, or [`Us::MAX`] if there is no timer.
    pub(crate) fn next_deadline(&self) -> Us {
        self.queue.first_key_value().map_or(Us::MAX, |((deadline, _), _)| *deadline)
    }

    pub(crate) fn pop_expired(&mut self, now: Us) -> Option<Timer<MemberId>> {
        let first = self.queue.first_entry()?;
        let (deadline, _) = *first.key();
        (deadline <= now).then(|| first.remove())
    }

    /// Postpones all deadlines by `delay`.
    pub(crate) fn postpone_all(&mut self, delay: Us) {
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue.into_iter().map(|((deadline, n), timer)| ((deadline + delay, n), timer)).collect();
    }

    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
