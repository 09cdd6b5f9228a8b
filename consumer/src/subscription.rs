//! The state of a queue's channel and of the consumer on it.

use asterrill::Us;

/// How far the subscription is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subscription {
    /// There is no connection.
    Disconnected,
    /// There is no channel.
    ChannelClosed {
        /// When it is opened, in microseconds.
        reopen_at: Us,
    },
    /// The channel is being opened.
    ChannelOpening,
    /// The channel is open and nothing is consumed.
    Idle {
        /// The earliest time to consume, in microseconds.
        consume_at: Us,
    },
    /// The consumer is being made.
    Subscribing { prefetch: u16 },
    /// Deliveries come.
    Consuming { prefetch: u16 },
    /// The consumer is being cancelled; deliveries may still come.
    Cancelling,
}

impl Subscription {
    /// Whether deliveries may come.
    pub(crate) fn is_active(self) -> bool {
        matches!(
            self,
            Subscription::Subscribing { .. } | Subscription::Consuming { .. } | Subscription::Cancelling
        )
    }
}
