//! Settlement of deliveries, and the drain.

use crate::action::{Action, InFlightId};
use crate::dedup::SettlementSending;
use crate::message::{Message, MessageState, OutgoingReply};
use crate::queue::QueueConsumer;
use crate::replies::MAX_REPLY_TIME_IN_DRAIN_US;
use asterrill::{Idempotency, Us};
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

impl QueueConsumer {
    /// Settles a delivery whose message is not in the table.
    pub(crate) fn settle_delivery(&mut self, tag: DeliveryTag, settlement: Settlement) {
        self.count_settled(settlement, 1);
        self.actions.push_back(Action::Settle { tag, settlement });
    }

    /// Removes a message from the table and settles all its deliveries. Messages are removed only here.
    pub(crate) fn settle(&mut self, now: Us, id: InFlightId, settlement: Settlement) {
        let Some(message) = self.messages.remove(&id) else { return };
        self.remove_from_indexes(id, &message);
        self.unsettled -= message.delivery_tags.len();
        self.count_settled(settlement, message.delivery_tags.len());
        if settlement != Settlement::Requeue && must_be_remembered(&message) {
            let sending = if message.delivery_tags.is_empty() {
                SettlementSending::NotSent
            } else {
                SettlementSending::SentOn(self.channel)
            };
            self.settled.insert(now, message.identity, settlement, sending);
        }
        let settle = |tag| Action::Settle { tag, settlement };
        self.actions.extend(message.delivery_tags.into_iter().map(settle));
    }

    fn remove_from_indexes(&mut self, id: InFlightId, message: &Message) {
        match message.state {
            MessageState::Waiting { retry_at } => self.cancel_timer(retry_at, id),
            MessageState::Replying(OutgoingReply { publish_sequence: Some(sequence), .. }) => {
                self.unconfirmed_replies.remove(&sequence);
            }
            _ => {}
        }
        self.cancel_timer(message.submission.deadline, id);
        if let Some(ids) = self.by_identity.get_mut(&message.identity) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_identity.remove(&message.identity);
            }
        }
    }

    fn count_settled(&mut self, settlement: Settlement, deliveries: usize) {
        let count = match settlement {
            Settlement::Ack => &mut self.stats.acked,
            Settlement::Reject => &mut self.stats.rejected,
            Settlement::Requeue => &mut self.stats.requeued,
        };
        *count += deliveries as u64;
    }

    /// Starts the drain: the consumer is cancelled, messages that wait for a retry are requeued, and messages submitted
    /// to the engine are settled when it answers. A second call has no effect.
    pub fn drain(&mut self, now: Us) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        let waiting = self.messages.iter().filter(|(_, message)| message.is_waiting());
        let waiting: Vec<InFlightId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.settle(now, id, Settlement::Requeue);
        }
        // These messages have run. Settling them without a reply is better than a second run on another server.
        for message in self.messages.values_mut() {
            if matches!(message.state, MessageState::Replying(_)) {
                let deadline = &mut message.submission.deadline;
                *deadline = (*deadline).min(now + MAX_REPLY_TIME_IN_DRAIN_US);
            }
        }
        self.advance(now);
    }
}

/// Reports whether the settlement of a message is needed for a redelivery. Without an id it is not if the message has
/// not run or may run again: running a redelivery is right then, whether it is of this message or of an equal one.
fn must_be_remembered(message: &Message) -> bool {
    let must_not_repeat = message.runs > 0 && message.idempotency != Idempotency::Idempotent;
    message.identity.has_message_id() || must_not_repeat
}
