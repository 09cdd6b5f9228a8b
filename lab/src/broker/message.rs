//! Messages, and queues that generate them.

/// A message in the broker.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Number of the message, from 1.
    pub number: u64,
    /// `message-id` property.
    pub id: Option<String>,
    /// `reply-to` property.
    pub reply_to: Option<String>,
    /// `expiration` property.
    pub expiration: Option<String>,
    /// Message body.
    pub body: Vec<u8>,
    /// Number of earlier deliveries, after each of which the message was requeued.
    pub delivery_count: u64,
}

/// A queue that never empties.
#[derive(Clone)]
pub struct EndlessQueue {
    /// Name of the queue.
    pub queue: String,
    /// Function that returns the message with a given number.
    pub make_message: fn(u64) -> Message,
}
