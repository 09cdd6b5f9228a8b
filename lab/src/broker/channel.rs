//! A channel of a connection: its consumer, its delivery tags, and the messages published on it.

use super::message::Message;
use amq_protocol::protocol::basic::{AMQPProperties, Publish};
use std::collections::{BTreeMap, BTreeSet};

/// A subscription to a queue.
pub(super) struct Consumer {
    pub(super) queue: String,
    pub(super) tag: String,
    pub(super) prefetch: usize,
}

/// A message that the client is publishing, as far as it has been received.
pub(super) struct PendingPublish {
    pub(super) publish: Publish,
    pub(super) properties: Option<AMQPProperties>,
    pub(super) body: Vec<u8>,
    /// Size of the body in bytes, once the content header has been received.
    pub(super) body_size: Option<u64>,
}

impl PendingPublish {
    pub(super) fn new(publish: Publish) -> PendingPublish {
        PendingPublish { publish, properties: None, body: Vec::new(), body_size: None }
    }

    fn is_complete(&self) -> bool {
        self.body_size.is_some_and(|size| self.body.len() as u64 >= size)
    }
}

/// A channel of a connection.
#[derive(Default)]
pub(super) struct Channel {
    pub(super) prefetch: usize,
    pub(super) consumer: Option<Consumer>,
    pub(super) last_tag: u64,
    /// Unsettled deliveries with their queue, by delivery tag.
    pub(super) unsettled: BTreeMap<u64, (String, Message)>,
    pub(super) settled_tags: BTreeSet<u64>,
    /// Settled messages with their queue, kept for a broker that loses settlements.
    pub(super) settled_messages: Vec<(String, Message)>,
    /// Number of publisher confirms sent, if the client selected them.
    pub(super) confirms: Option<u64>,
    pub(super) pending_publish: Option<PendingPublish>,
}

impl Channel {
    /// Assigns the next delivery tag to a message of a queue.
    pub(super) fn assign_tag(&mut self, queue: String, message: Message) -> u64 {
        self.last_tag += 1;
        self.unsettled.insert(self.last_tag, (queue, message));
        self.last_tag
    }

    /// Reports whether there is a consumer whose prefetch count allows one more delivery.
    pub(super) fn has_capacity(&self) -> bool {
        self.consumer.as_ref().is_some_and(|consumer| self.unsettled.len() < consumer.prefetch.max(1))
    }

    /// Takes the published message once it is complete.
    pub(super) fn take_published(&mut self) -> Option<PendingPublish> {
        self.pending_publish.take_if(|pending_publish| pending_publish.is_complete())
    }

    /// Returns the delivery tag of the next publisher confirm, if the client selected confirms.
    pub(super) fn next_confirm(&mut self) -> Option<u64> {
        self.confirms = self.confirms.map(|confirms| confirms + 1);
        self.confirms
    }
}
