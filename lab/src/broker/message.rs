//! Messages, and queues that make them.

/// One message in the broker.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its number, from 1.
    pub number: u64,
    /// Its `message-id`.
    pub id: Option<String>,
    /// Its `reply-to`.
    pub reply_to: Option<String>,
    /// Its `expiration`.
    pub expiration: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
    /// How often it was delivered and came back.
    pub delivered: u64,
}

/// A queue that never empties.
#[derive(Clone)]
pub struct EndlessQueue {
    /// Its name.
    pub queue: String,
    /// Makes the message of a number.
    pub make_message: fn(u64) -> Message,
}
