//! Replies to messages with `reply-to`: published with a confirm before the deliveries are settled.

use crate::action::{Action, InFlightId, PendingReply};
use crate::message::{MessageState, OutgoingReply};
use crate::queue::QueueConsumer;
use asterrill::Us;
use asterrill_protocol::amqp::Settlement;

/// The time between looks at a reply that is not confirmed, in microseconds.
pub(crate) const REPLY_CHECK_INTERVAL: Us = 100_000;
/// The longest time that a reply may take once the server drains, in microseconds; then it is given up.
pub(crate) const MAX_REPLY_TIME_DRAINING: Us = 500_000;
/// How often a reply is published until it is given up.
const MAX_PUBLISH_ATTEMPTS: u32 = 3;
/// Bytes of a result that go into a reply.
const MAX_REPLY_BYTES: usize = 4096;

impl QueueConsumer {
    /// Settles a message, once its reply is confirmed or given up if it asked for one.
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
            result: result.get(..MAX_REPLY_BYTES).unwrap_or(result).to_vec(),
            publish_sequence: None,
            publish_attempts: 0,
        });
        let deadline = &mut message.submission.deadline;
        if self.draining {
            *deadline = (*deadline).min(now + MAX_REPLY_TIME_DRAINING);
        }
        let check_at = (*deadline).min(now + REPLY_CHECK_INTERVAL);
        self.actions.push_back(Action::PublishReply(id));
        self.set_timer(check_at, id);
    }

    /// The reply of a message that is to be published now; none if it was published and is not confirmed yet.
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

    /// The reply of a message was published under this publish sequence number of the channel for replies.
    pub fn reply_published(&mut self, id: InFlightId, sequence: u64) {
        if let Some(reply) = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut()) {
            reply.publish_sequence = Some(sequence);
            reply.publish_attempts += 1;
            self.unconfirmed_replies.insert(sequence, id);
        }
    }

    /// The broker confirmed replies, or refused them (`basic.nack`): all up to a publish sequence number if `multiple`,
    /// or that one.
    pub fn reply_confirmed(&mut self, now: Us, sequence: u64, multiple: bool, arrived: bool) {
        let first = if multiple { 0 } else { sequence };
        let confirmed: Vec<u64> =
            self.unconfirmed_replies.range(first..=sequence).map(|(sequence, _)| *sequence).collect();
        for sequence in confirmed {
            if let Some(id) = self.unconfirmed_replies.remove(&sequence) {
                self.publish_finished(now, id, arrived);
            }
        }
    }

    fn publish_finished(&mut self, now: Us, id: InFlightId, arrived: bool) {
        let reply = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut());
        let Some(reply) = reply else { return };
        reply.publish_sequence = None;
        if !arrived && reply.publish_attempts < MAX_PUBLISH_ATTEMPTS {
            return; // it is published again by its timer
        }
        let settlement = reply.settlement;
        self.stats.replies += u64::from(arrived);
        self.stats.replies_lost += u64::from(!arrived);
        self.settle(now, id, settlement);
    }

    /// The broker returned a reply because its queue does not exist. Its confirm follows.
    pub fn reply_returned(&mut self, id: InFlightId) {
        if self.messages.contains_key(&id) {
            self.stats.replies_unrouted += 1;
        }
    }

    /// The channel for replies is gone: what was published there and not confirmed is published again.
    pub fn reply_channel_lost(&mut self) {
        for id in std::mem::take(&mut self.unconfirmed_replies).into_values() {
            if let Some(reply) = self.messages.get_mut(&id).and_then(|message| message.outgoing_reply_mut()) {
                reply.publish_sequence = None;
            }
        }
    }
}
