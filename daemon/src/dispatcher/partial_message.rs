//! The part of a message that has been received on a connection, and its age.

use asterrill::Us;

/// State of a connection's input after a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    /// Whether the read completed a message.
    pub completed: bool,
    /// Whether part of a further message has been received.
    pub has_partial: bool,
}

impl ReadProgress {
    /// State of a connection without any input.
    pub const NOTHING_READ: ReadProgress = ReadProgress { completed: false, has_partial: false };
}

/// Part of one message. Its age counts from the read with which it began.
#[derive(Debug, Default)]
pub(super) struct PartialMessage {
    since: Option<Us>,
}

impl PartialMessage {
    /// Takes a read into account.
    pub(super) fn update(&mut self, progress: ReadProgress, now: Us) {
        self.since = match self.since {
            _ if !progress.has_partial => None,
            Some(since) if !progress.completed => Some(since),
            _ => Some(now),
        };
    }

    /// Forgets the part.
    pub(super) fn clear(&mut self) {
        self.since = None;
    }

    /// Reports whether part of a message has been received.
    pub(super) fn is_pending(&self) -> bool {
        self.since.is_some()
    }

    /// Reports whether the message began more than `timeout` ago, in microseconds.
    pub(super) fn has_timed_out(&self, timeout: Us, now: Us) -> bool {
        self.since.is_some_and(|since| since + timeout < now)
    }
}

#[cfg(test)]
#[path = "../tests/partial_message.rs"]
mod tests;
