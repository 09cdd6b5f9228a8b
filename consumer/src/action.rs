//! Actions that a [`crate::QueueConsumer`] requests from the owner of the session and of the engine.

use asterrill::{Caller, MethodId, Us};
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

/// Id of a message in flight, by which the engine addresses its answer. The upper 16 bits are the queue's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InFlightId(pub u64);

/// Submission of a message to the engine as an RPC.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Id of the message, whose body is [`crate::QueueConsumer::body`].
    pub id: InFlightId,
    /// Method to run.
    pub method: MethodId,
    /// Index of the tenant, if tenants are configured.
    pub tenant: Option<usize>,
    /// Caller, for fair shares among callers.
    pub caller: Caller,
    /// Time by which the message must be answered, in microseconds.
    pub deadline: Us,
    /// Memory that the message is accounted for, in kB.
    pub size_kb: f64,
}

/// Action to be carried out, in the order in which [`crate::QueueConsumer::next_action`] returns it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Opens the queue's channel. The owner answers with [`crate::QueueConsumer::channel_opened`] or
    /// [`crate::QueueConsumer::channel_open_failed`].
    OpenChannel,
    /// Closes the channel.
    CloseChannel {
        /// Reply code of AMQP 0-9-1.
        code: u16,
        /// Reply text.
        reason: &'static str,
    },
    /// Sets the prefetch and starts the consumer. The owner answers with [`crate::QueueConsumer::consume_ok`].
    Consume {
        /// Number of deliveries that may be unsettled at a time.
        prefetch: u16,
    },
    /// Cancels the consumer. The owner answers with [`crate::QueueConsumer::cancelled`].
    Cancel,
    /// Submits a message to the engine. Its body is [`crate::QueueConsumer::body`].
    Submit(Submission),
    /// Withdraws a submission that has not run. The owner answers with [`crate::QueueConsumer::withdrawn`] if that
    /// succeeded.
    Withdraw(InFlightId),
    /// Settles one delivery.
    Settle {
        /// Tag of the delivery.
        tag: DeliveryTag,
        /// Settlement: ack, reject or requeue.
        settlement: Settlement,
    },
    /// Publishes [`crate::QueueConsumer::pending_reply`]. The owner answers with
    /// [`crate::QueueConsumer::reply_published`] if that succeeded.
    PublishReply(InFlightId),
    /// Writes a line to the operators' log.
    Log(String),
}

/// Reply to a message with `reply-to`, to be published now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReply<'a> {
    /// Queue that the message named in `reply-to`.
    pub reply_to: &'a str,
    /// `correlation-id` of the message.
    pub correlation_id: Option<&'a str>,
    /// Whether the RPC was answered ok; false if it was aborted.
    pub ok: bool,
    /// Result, truncated to a maximum length.
    pub body: &'a [u8],
}
