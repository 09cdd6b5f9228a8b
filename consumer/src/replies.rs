//! Replies to messages with `reply-to`, which are published and confirmed before the deliveries are settled.

use crate::action::{Action, InFlightId, PendingReply};
use crate::message::{MessageState, OutgoingReply};
use crate::queue::QueueConsumer;
use asterrill::Us;
use asterrill_protocol::amqp::Settlement;

/// Interval between checks of a reply that is not confirmed, in microseconds.
pub(crate) const REPLY_CHECK_INTERVAL_US: Us = 100_000;
/// Maximum time that a reply may take while the server drains, in microseconds. It is abandoned afterwards.
pub(crate) const MAX_REPLY_TIME_IN_DRAIN_US: Us = 500_000;
/// Maximum number of times that a reply is published before it is abandoned.
const MAX_PUBLISH_ATTEMPTS: u32 = 3;
/// Maximum length of the body of a reply, in bytes. A longer result is truncated.
const MAX_REPLY_BODY_BYTES: usize = 4096;

impl QueueConsumer {
    /// Settles a message. If it asked for a reply, it is settled once the reply is confirmed or abandoned.
    pub(crate) fn reply_and_settle(
        &mut self, now: Us, id: InFlightId, settlement: Settlement, result: &[u8],
    ) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if message.reply_address.is_none() || settlement == Settlement::Requeue {
            self.settle(now, id, settlement);
            return;
        }
        message.state = MessageState::Replying(OutgoingReply {
            settlement,
            result: result.get(..MAX_REPLY_BODY_BYTES).unwrap_or(result).to_vec(),
            publish_sequence: None,
            publish_attempts: 0,
        });
        let deadline = &mut message.submission.deadline;
        if self.draining {
            *deadline = (*deadline).min(now + MAX_REPLY_TIME_IN_DRAIN_US);
        }
        let check_at = (*deadline).min(now + REPLY_CHECK_INTERVAL_US);
        self.actions.push_back(Action::PublishReply(id));
        self.set_timer(check_at, id);
    }

    /// Returns the reply of a message that is to be published now; none if it was published and awaits its confirm.
    pub fn pending_reply(&self, id: InFlightId) -> Option<PendingReply<'_>> {
        let message = self.messages.get(&id)?;
        let address = message.reply_address.as_ref()?;
        let MessageState::Replying(reply) = &message.state else { return None };
        if reply.publish_sequence.is_some() {
            return None;
        }
        Some(PendingReply {
            reply_to: &address.queue,
            correlation_id: address.correlation_id.as_deref(),
            ok: reply.settlement == Settlement::Ack,
            body: &reply.result,
        })
    }

    /// Records that the reply of a message was published, with this publish sequence number on the channel for replies.
    pub fn reply_published(&mut self, id: InFlightId, sequence: u64) {
        if let Some(reply) = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut()) {
            reply.publish_sequence = Some(sequence);
            reply.publish_attempts += 1;
            self.unconfirmed_replies.insert(sequence, id);
        }
    }

    /// Processes a publisher confirm, by which the broker accepted replies or refused them (`basic.nack`). It covers
    /// all replies up to a publish sequence number if `multiple`, else that one alone.
    pub fn reply_confirmed(&mut self, now: Us, sequence: u64, multiple: bool, accepted: bool) {
        let first = if multiple { 0 } else { sequence };
        let confirmed: Vec<u64> =
            self.unconfirmed_replies.range(first..=sequence).map(|(sequence, _)| *sequence).collect();
        for sequence in confirmed {
            if let Some(id) = self.unconfirmed_replies.remove(&sequence) {
                self.finish_publish(now, id, accepted);
            }
        }
    }

    /// Settles a message whose reply was accepted, or refused too often.
    fn finish_publish(&mut self, now: Us, id: InFlightId, accepted: bool) {
        let reply = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut());
        let Some(reply) = reply else { return };
        reply.publish_sequence = None;
        if !accepted && reply.publish_attempts < MAX_PUBLISH_ATTEMPTS {
            // The timer of the message publishes the reply again.
            return;
        }
        let settlement = reply.settlement;
        self.stats.replies += u64::from(accepted);
        self.stats.replies_lost += u64::from(!accepted);
        self.settle(now, id, settlement);
    }

    /// Records that the broker returned a reply because it could not be routed. Its confirm follows.
    pub fn reply_returned(&mut self, id: InFlightId) {
        if self.messages.contains_key(&id) {
            self.stats.replies_unrouted += 1;
        }
    }

    /// Records that the channel for replies was lost. Replies that were not confirmed are published again.
    pub fn reply_channel_lost(&mut self) {
        for id in std::mem::take(&mut self.unconfirmed_replies).into_values() {
            if let Some(reply) = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut()) {
                reply.publish_sequence = None;
            }
        }
    }
}
