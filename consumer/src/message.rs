//! The state of one message in flight.

use crate::action::Submission;
use crate::dedup::MessageIdentity;
use asterrill::{Idempotency, Us};
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

/// A message that was taken in and is not settled.
pub(crate) struct Message {
    pub(crate) identity: MessageIdentity,
    pub(crate) idempotency: Idempotency,
    pub(crate) submission: Submission,
    pub(crate) body: Vec<u8>,
    /// The tags of all its unsettled deliveries; empty while its channel is lost and it was not redelivered.
    pub(crate) delivery_tags: Vec<DeliveryTag>,
    pub(crate) state: MessageState,
    /// Runs that were made, here or before a redelivery.
    pub(crate) runs: u32,
    pub(crate) consecutive_rejections: u32,
    pub(crate) reply_address: Option<ReplyAddress>,
}

impl Message {
    /// Whether it waits for a retry.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, MessageState::Waiting { .. })
    }

    /// Whether it is with the engine and no run of it was started.
    pub(crate) fn is_submitted_unstarted(&self) -> bool {
        self.state == MessageState::Submitted { run_started: false }
    }

    /// Its reply, while one is to be published or confirmed.
    pub(crate) fn outgoing_reply_mut(&mut self) -> Option<&mut OutgoingReply> {
        match &mut self.state {
            MessageState::Replying(reply) => Some(reply),
            _ => None,
        }
    }
}

/// Where a message is between its delivery and its settlement.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MessageState {
    /// Held here until its retry.
    Waiting {
        /// When it is submitted again, in microseconds.
        retry_at: Us,
    },
    /// With the engine.
    Submitted { run_started: bool },
    /// Answered; it is settled once its reply is confirmed or given up.
    Replying(OutgoingReply),
}

/// A reply that is being published.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OutgoingReply {
    /// How the deliveries are settled afterwards.
    pub(crate) settlement: Settlement,
    pub(crate) result: Vec<u8>,
    /// The publish sequence number that the broker's confirm will carry; none until it is published.
    pub(crate) publish_sequence: Option<u64>,
    pub(crate) publish_attempts: u32,
}

/// Where a reply goes: `reply-to` and `correlation-id` of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplyAddress {
    pub(crate) queue: String,
    pub(crate) correlation_id: Option<String>,
}
