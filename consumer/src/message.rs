//! State of one message in flight.

use crate::action::Submission;
use crate::dedup::MessageIdentity;
use asterrill::{Idempotency, Us};
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

/// Message that was accepted and is not settled.
pub(crate) struct Message {
    pub(crate) identity: MessageIdentity,
    pub(crate) idempotency: Idempotency,
    pub(crate) submission: Submission,
    pub(crate) body: Vec<u8>,
    /// Tags of all unsettled deliveries of the message. Empty if the channel was lost and the message has not been
    /// redelivered.
    pub(crate) delivery_tags: Vec<DeliveryTag>,
    pub(crate) state: MessageState,
    /// Number of runs, here or before a redelivery.
    pub(crate) runs: u32,
    pub(crate) consecutive_rejections: u32,
    pub(crate) reply_address: Option<ReplyAddress>,
}

impl Message {
    /// Reports whether the message waits for a retry.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, MessageState::Waiting { .. })
    }

    /// Reports whether the message was submitted to the engine and its run has not started.
    pub(crate) fn is_submitted_unstarted(&self) -> bool {
        self.state == MessageState::Submitted { run_started: false }
    }

    /// Returns the reply that is to be published or confirmed, if any.
    pub(crate) fn outgoing_reply_mut(&mut self) -> Option<&mut OutgoingReply> {
        match &mut self.state {
            MessageState::Replying(reply) => Some(reply),
            _ => None,
        }
    }
}

/// State of a message between its delivery and its settlement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MessageState {
    /// Held until its retry.
    Waiting {
        /// Time at which the message is submitted again, in microseconds.
        retry_at: Us,
    },
    /// Submitted to the engine.
    Submitted { run_started: bool },
    /// Answered. Its deliveries are settled once its reply is confirmed or abandoned.
    Replying(OutgoingReply),
}

/// Reply that is to be published or confirmed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OutgoingReply {
    /// Settlement of the deliveries once the reply is confirmed or abandoned.
    pub(crate) settlement: Settlement,
    pub(crate) result: Vec<u8>,
    /// Publish sequence number that the broker's confirm will carry; none until the reply is published.
    pub(crate) publish_sequence: Option<u64>,
    pub(crate) publish_attempts: u32,
}

/// Destination of a reply: `reply-to` and `correlation-id` of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplyAddress {
    pub(crate) queue: String,
    pub(crate) correlation_id: Option<String>,
}
