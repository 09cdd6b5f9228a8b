//! What a consumer sends and receives over a connection: identifiers, deliveries, replies and events.

use asterrill::Us;
use std::collections::BTreeMap;
use std::fmt;

/// A channel's number on a connection, 1 or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Channel(pub u16);

/// A delivery tag together with the opening of the channel it came by: a tag of an earlier opening, or of an
/// earlier connection, is never used again (1.8.3.13).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryTag {
    /// The channel that the delivery came by.
    pub channel: Channel,
    pub(super) epoch: u64,
    pub(super) number: u64,
}

/// User name and password; neither appears in `Debug` output.
#[derive(Clone)]
pub struct Credentials {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// What a connection is opened with.
#[derive(Clone, Debug)]
pub struct Login {
    /// Sent by the mechanism PLAIN.
    pub credentials: Credentials,
    /// The virtual host to open.
    pub virtual_host: String,
    /// Heartbeat interval to propose, in microseconds; the broker may ask for a shorter one. 0 for none.
    pub heartbeat: Us,
    /// Longest body that is stored, in bytes; of longer messages only the properties are handed on.
    pub max_body_bytes: usize,
}

/// How a delivery is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// `basic.ack`.
    Ack,
    /// `basic.reject` without requeue: to the dead-letter exchange, where the queue has one.
    Reject,
    /// `basic.reject` with requeue.
    Requeue,
}

/// The properties of a message that are read (1.8.1 and RabbitMQ's `x-delivery-count`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageProperties {
    /// `message-id`.
    pub message_id: Option<String>,
    /// `correlation-id`.
    pub correlation_id: Option<String>,
    /// `reply-to`: the queue where the sender expects an answer.
    pub reply_to: Option<String>,
    /// `expiration`: milliseconds, as decimal text.
    pub expiration: Option<String>,
    /// `timestamp`: seconds since 1970.
    pub timestamp: Option<u64>,
    /// Earlier deliveries of this message, where the queue counts them.
    pub delivery_count: Option<u64>,
    /// The headers that are texts or whole numbers.
    pub headers: BTreeMap<String, String>,
}

/// A message as it was delivered.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// By which the delivery is settled.
    pub tag: DeliveryTag,
    /// The broker may have delivered it before.
    pub redelivered: bool,
    /// The exchange it was published to.
    pub exchange: String,
    /// The routing key it was published with.
    pub routing_key: String,
    /// Its properties.
    pub properties: MessageProperties,
    /// Bytes in the body.
    pub size: u64,
    /// The body; `None` if it is longer than [`Login::max_body_bytes`].
    pub body: Option<Vec<u8>>,
}

/// An answer to a message that asked for one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<'a> {
    /// The queue that the message named in `reply-to`.
    pub to: &'a str,
    /// The message's `correlation-id`.
    pub correlation_id: Option<&'a str>,
    /// The `message-id` of this answer; [`Event::Returned`] carries it.
    pub message_id: &'a str,
    /// What became of the RPC, sent as the property `type`: `ok` or `aborted`.
    pub kind: &'a str,
    /// The result of the run; empty if there is none.
    pub body: &'a [u8],
}

/// What came of the bytes read.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The connection is open and may be used.
    Connected,
    /// The broker has opened this channel.
    ChannelOpen(Channel),
    /// From now on every message published on this channel is confirmed.
    ConfirmsSelected(Channel),
    /// The broker has accepted the consumer on this channel.
    Consuming(Channel),
    /// No more deliveries on this channel.
    Cancelled {
        /// The channel of the consumer.
        channel: Channel,
        /// The broker cancelled it; false if it was asked for here.
        by_broker: bool,
    },
    /// A complete message.
    Delivered(Box<Delivery>),
    /// A publisher confirm.
    Confirmed {
        /// The number that [`super::Session::publish`] handed back.
        number: u64,
        /// All messages up to that number, not that one alone.
        multiple: bool,
        /// The broker has taken the message; false for a `basic.nack`.
        accepted: bool,
    },
    /// A published message could not be routed.
    Returned {
        /// Its `message-id`.
        message_id: Option<String>,
        /// The broker's reply code.
        code: u16,
    },
    /// The broker wants nothing published (RabbitMQ's `connection.blocked`).
    Blocked {
        /// The broker's reason.
        reason: String,
    },
    /// Publishing is possible again.
    Unblocked,
    /// The broker closed a channel.
    ChannelClosed {
        /// The channel.
        channel: Channel,
        /// The broker's reply code.
        code: u16,
        /// The broker's reply text.
        text: String,
    },
    /// The broker closed the connection; the close has been confirmed.
    Closed {
        /// The broker's reply code.
        code: u16,
        /// The broker's reply text.
        text: String,
    },
    /// The broker has confirmed our close.
    CloseConfirmed,
}
