//! Counters of one queue's consumer.

use std::fmt;

/// Numbers of deliveries, settlements, retries and replies of one queue since the start.
///
/// Once a queue is drained, `deliveries` is the sum of `acked`, `rejected`, `requeued` and `lost`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Deliveries read.
    pub deliveries: u64,
    /// Deliveries that the broker marked as redelivered.
    pub redelivered: u64,
    /// Deliveries acknowledged.
    pub acked: u64,
    /// Deliveries rejected, which are dead-lettered if the queue has a dead-letter exchange.
    pub rejected: u64,
    /// Deliveries requeued.
    pub requeued: u64,
    /// Deliveries whose channel was lost before they were settled.
    pub lost: u64,
    /// Deliveries of a message that was already in flight.
    pub joined: u64,
    /// Deliveries of a message whose earlier settlement was remembered, and that were settled in the same way.
    pub deduplicated: u64,
    /// Retries of a message that the engine rejected, or aborted before it ran.
    pub retries_after_rejection: u64,
    /// Retries of a message whose run was aborted.
    pub retries_after_abort: u64,
    /// Deliveries rejected because they had no route.
    pub unrouted: u64,
    /// Deliveries rejected because their body was too long.
    pub too_long: u64,
    /// Deliveries rejected because their deadline had passed, or would pass before a retry.
    pub expired: u64,
    /// Deliveries rejected because their message had run the maximum number of times.
    pub poisoned: u64,
    /// Deliveries rejected because the run of their message was aborted and must not be retried.
    pub failed: u64,
    /// Redeliveries rejected because their message may have run and must not run twice.
    pub unverified: u64,
    /// Replies that the broker confirmed.
    pub replies: u64,
    /// Replies that the broker could not route.
    pub replies_unrouted: u64,
    /// Replies that were abandoned.
    pub replies_lost: u64,
    /// Consumers that the broker confirmed.
    pub subscribed: u64,
    /// Channels that the broker closed.
    pub channels_closed: u64,
    /// Consumers that the broker cancelled.
    pub cancelled: u64,
    /// Channels closed from this side because the broker delivered more than the prefetch allows.
    pub overrun: u64,
}

/// Text form of the counters for operators. The names in it are a documented interface (`docs/operate/amqp.md`) and
/// don't change with the names of the fields.
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
