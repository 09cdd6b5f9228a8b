//! Data that a consumer sends and receives over a connection: identifiers, deliveries, replies and events.

use asterrill::Us;
use std::collections::BTreeMap;
use std::fmt;

/// Number of a channel on its connection, 1 or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Channel(pub u16);

/// Delivery tag, with the epoch of the channel on which the delivery arrived. Each opening of a channel has its own
/// epoch, so that a tag of an earlier opening, or of an earlier connection, is never used again (1.8.3.13).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryTag {
    /// Channel on which the delivery arrived.
    pub channel: Channel,
    pub(super) epoch: u64,
    pub(super) number: u64,
}

/// User name and password. Neither appears in `Debug` output.
#[derive(Clone)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// Parameters with which a connection is opened.
#[derive(Clone, Debug)]
pub struct Login {
    /// Credentials, which are sent by the mechanism PLAIN.
    pub credentials: Credentials,
    /// Virtual host to open.
    pub virtual_host: String,
    /// Heartbeat interval to propose, in microseconds; 0 for none. The broker may ask for a shorter one.
    pub heartbeat: Us,
    /// Maximum length of a body that is stored, in bytes. Longer messages are delivered without their body.
    pub max_body_bytes: usize,
}

/// Way in which a delivery is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// `basic.ack`.
    Ack,
    /// `basic.reject` without requeue: the message goes to the dead-letter exchange if the queue has one.
    Reject,
    /// `basic.reject` with requeue.
    Requeue,
}

/// Properties of a message that are read (1.8.1 and RabbitMQ's `x-delivery-count`).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageProperties {
    /// `message-id`.
    pub message_id: Option<String>,
    /// `correlation-id`.
    pub correlation_id: Option<String>,
    /// `reply-to`: the queue in which the sender expects a reply.
    pub reply_to: Option<String>,
    /// `expiration`: milliseconds, as decimal text.
    pub expiration: Option<String>,
    /// `timestamp`: seconds since 1970.
    pub timestamp: Option<u64>,
    /// Number of earlier deliveries of this message, if the queue counts them.
    pub delivery_count: Option<u64>,
    /// Headers whose values are strings or integers.
    pub headers: BTreeMap<String, String>,
}

/// Message as it was delivered.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Tag by which the delivery is settled.
    pub tag: DeliveryTag,
    /// Whether the broker may have delivered the message before.
    pub redelivered: bool,
    /// Exchange to which it was published.
    pub exchange: String,
    /// Routing key with which it was published.
    pub routing_key: String,
    /// Properties of the message.
    pub properties: MessageProperties,
    /// Size of the body in bytes.
    pub size: u64,
    /// Body; `None` if it is longer than [`Login::max_body_bytes`].
    pub body: Option<Vec<u8>>,
}

/// Reply to a message that asked for one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<'a> {
    /// Queue that the message named in `reply-to`.
    pub to: &'a str,
    /// `correlation-id` of the message.
    pub correlation_id: Option<&'a str>,
    /// `message-id` of this reply, which [`Event::Returned`] carries.
    pub message_id: &'a str,
    /// Outcome of the RPC, sent as the property `type`: `ok` or `aborted`.
    pub kind: &'a str,
    /// Result of the run; empty if there is none.
    pub body: &'a [u8],
}

/// Event that results from the bytes read.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Opening of the connection, which can be used from now on.
    Connected,
    /// Opening of this channel, confirmed by the broker.
    ChannelOpen(Channel),
    /// Start of publisher confirms: every message published on this channel from now on is confirmed.
    ConfirmsSelected(Channel),
    /// Start of the consumer on this channel, confirmed by the broker.
    Consuming(Channel),
    /// End of the consumer: no more deliveries arrive on this channel.
    Cancelled {
        /// Channel of the consumer.
        channel: Channel,
        /// Whether the broker cancelled the consumer; false if this side did.
        by_broker: bool,
    },
    /// Delivery of a complete message.
    Delivered(Box<Delivery>),
    /// Publisher confirm.
    Confirmed {
        /// Publish sequence number, as returned by [`super::Session::publish`].
        number: u64,
        /// Whether all messages up to that number are confirmed, instead of that one alone.
        multiple: bool,
        /// Whether the broker accepted the message; false for a `basic.nack`.
        accepted: bool,
    },
    /// Return of a published message that the broker could not route.
    Returned {
        /// `message-id` of the message.
        message_id: Option<String>,
        /// Reply code of the broker.
        code: u16,
    },
    /// Notice that the broker accepts no messages for now (RabbitMQ's `connection.blocked`).
    Blocked {
        /// Reason that the broker gave.
        reason: String,
    },
    /// Notice that the broker accepts messages again (RabbitMQ's `connection.unblocked`).
    Unblocked,
    /// Close of a channel by the broker.
    ChannelClosed {
        /// Channel that was closed.
        channel: Channel,
        /// Reply code of the broker.
        code: u16,
        /// Reply text of the broker.
        text: String,
    },
    /// Close of the connection by the broker. The confirmation has been written.
    Closed {
        /// Reply code of the broker.
        code: u16,
        /// Reply text of the broker.
        text: String,
    },
    /// Confirmation of the broker that it closed the connection at the request of this side.
    CloseConfirmed,
}
