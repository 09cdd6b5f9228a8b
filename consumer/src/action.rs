//! What a [`crate::QueueConsumer`] asks of the owner of the session and of the engine.

use asterrill::{CallerId, MethodId, Us};
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

/// A message in flight, as the engine's address for its answer. The queue's number is in the upper 16 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InFlightId(pub u64);

/// A message to be submitted to the engine as an RPC.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The message; its body is [`crate::QueueConsumer::body`].
    pub id: InFlightId,
    /// The method to run.
    pub method: MethodId,
    /// The index of its tenant, where tenants are configured.
    pub tenant: Option<usize>,
    /// Its caller, for fair shares among callers.
    pub caller: CallerId,
    /// When it must be answered, in microseconds.
    pub deadline: Us,
    /// Memory to account for it, in kB.
    pub size_kb: f64,
}

/// What is to be done, in the order in which it is handed back.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open the queue's channel; answered by `channel_opened` or `channel_open_failed`.
    OpenChannel,
    /// Close the channel.
    CloseChannel {
        /// The reply code of AMQP 0-9-1.
        code: u16,
        /// The reply text.
        reason: &'static str,
    },
    /// Set the prefetch and consume; answered by `consume_ok`.
    Consume {
        /// Deliveries that may be unsettled at a time.
        prefetch: u16,
    },
    /// Cancel the consumer; answered by `cancelled`.
    Cancel,
    /// Submit a message to the engine; the body is [`crate::QueueConsumer::body`].
    Submit(Submission),
    /// Withdraw a submission that has not run; [`crate::QueueConsumer::withdrawn`] follows if that was possible.
    Withdraw(InFlightId),
    /// Settle one delivery.
    Settle {
        /// The delivery's tag.
        tag: DeliveryTag,
        /// Ack, reject or requeue.
        settlement: Settlement,
    },
    /// Publish [`crate::QueueConsumer::pending_reply`]; `reply_published` follows once that was possible.
    PublishReply(InFlightId),
    /// Write a line to the operators' log.
    Log(String),
}

/// A reply to a message with `reply-to` that is to be published now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReply<'a> {
    /// The queue that the message named in `reply-to`.
    pub reply_to: &'a str,
    /// The `correlation-id` of the message.
    pub correlation_id: Option<&'a str>,
    /// Whether the RPC was answered ok; else it was aborted.
    pub ok: bool,
    /// The result, cut to a bounded length.
    pub body: &'a [u8],
}
