//! State of a queue's channel and of the consumer on it.

use asterrill::Us;

/// State of a queue's subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subscription {
    /// No connection.
    Disconnected,
    /// No channel.
    ChannelClosed {
        /// Time at which the channel is opened, in microseconds.
        reopen_at: Us,
    },
    /// Channel requested but not open yet.
    ChannelOpening,
    /// Channel open, without a consumer.
    Idle {
        /// Earliest time at which to consume, in microseconds.
        consume_at: Us,
    },
    /// Consumer requested but not confirmed yet.
    Subscribing { prefetch: u16 },
    /// Consumer confirmed; deliveries arrive.
    Consuming { prefetch: u16 },
    /// Cancel requested but not confirmed yet; deliveries may still arrive.
    Cancelling,
}

impl Subscription {
    /// Reports whether deliveries may arrive.
    pub(crate) fn is_active(self) -> bool {
        matches!(
            self,
            Subscription::Subscribing { .. } | Subscription::Consuming { .. } | Subscription::Cancelling
        )
    }
}
