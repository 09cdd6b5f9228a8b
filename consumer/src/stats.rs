//! What one queue's consumer has counted.

use std::fmt;

/// Deliveries, settlements, retries and replies of one queue since the start. Once a queue is drained, `deliveries` is
/// the sum of `acked`, `rejected`, `requeued` and `lost`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Deliveries read.
    pub deliveries: u64,
    /// Deliveries that the broker marked as redelivered.
    pub redelivered: u64,
    /// Deliveries acknowledged.
    pub acked: u64,
    /// Deliveries rejected, for the dead-letter side where the queue has one.
    pub rejected: u64,
    /// Deliveries put back into the queue.
    pub requeued: u64,
    /// Deliveries whose channel was lost before they were settled.
    pub lost: u64,
    /// Deliveries of a message that was in flight.
    pub joined: u64,
    /// Deliveries of a message that had been settled a short while before, and were settled like it.
    pub deduplicated: u64,
    /// Retries of a message that the engine rejected, or that never ran.
    pub retries_after_rejection: u64,
    /// Retries of a message whose run was aborted.
    pub retries_after_abort: u64,
    /// Deliveries rejected because they have no route.
    pub unrouted: u64,
    /// Deliveries rejected because their body was too long.
    pub too_long: u64,
    /// Deliveries rejected because their deadline had passed, or would pass before a retry.
    pub expired: u64,
    /// Deliveries rejected after too many runs.
    pub poisoned: u64,
    /// Deliveries rejected because their run was aborted and must not be retried.
    pub failed: u64,
    /// Redeliveries rejected because it is not known whether the message has run.
    pub unverified: u64,
    /// Replies that the broker confirmed.
    pub replies: u64,
    /// Replies that the broker could not route.
    pub replies_unrouted: u64,
    /// Replies that were given up.
    pub replies_lost: u64,
    /// Consumers that the broker confirmed.
    pub subscribed: u64,
    /// Channels that the broker closed.
    pub channels_closed: u64,
    /// Consumers that the broker cancelled.
    pub cancelled: u64,
    /// Channels closed here because more was delivered than the prefetch allows.
    pub overrun: u64,
}

/// The form in which the figures are printed for operators. The names in it are an outside interface
/// (`docs/operate/amqp.md`) and stay as they are, whatever the fields are called.
impl fmt::Display for QueueStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Counts")
            .field("deliveries", &self.deliveries)
            .field("redelivered", &self.redelivered)
            .field("acked", &self.acked)
            .field("rejected", &self.rejected)
            .field("requeued", &self.requeued)
            .field("lost", &self.lost)
            .field("joined", &self.joined)
            .field("known", &self.deduplicated)
            .field("pushed_back", &self.retries_after_rejection)
            .field("tried_again", &self.retries_after_abort)
            .field("unrouted", &self.unrouted)
            .field("too_long", &self.too_long)
            .field("expired", &self.expired)
            .field("poisoned", &self.poisoned)
            .field("failed", &self.failed)
            .field("unknown", &self.unverified)
            .field("replies", &self.replies)
            .field("replies_unrouted", &self.replies_unrouted)
            .field("replies_lost", &self.replies_lost)
            .field("subscribed", &self.subscribed)
            .field("channels_closed", &self.channels_closed)
            .field("cancelled", &self.cancelled)
            .field("overrun", &self.overrun)
            .finish()
    }
}
