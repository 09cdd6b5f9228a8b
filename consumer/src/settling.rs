//! The settlement of deliveries, and the drain.

use crate::action::{Action, InFlightId};
use crate::message::{Message, MessageState, OutgoingReply};
use crate::queue::QueueConsumer;
use crate::replies::MAX_REPLY_TIME_DRAINING;
use asterrill::Us;
use asterrill_protocol::amqp::{DeliveryTag, Settlement};

impl QueueConsumer {
    /// Settles a delivery that was not taken in.
    pub(crate) fn settle_delivery(&mut self, tag: DeliveryTag, settlement: Settlement) {
        self.count_settled(settlement, 1);
        self.actions.push_back(Action::Settle { tag, settlement });
    }

    /// The one place where a message leaves the table: all its deliveries are settled, and the settlement is
    /// remembered unless it is requeued.
    pub(crate) fn settle(&mut self, now: Us, id: InFlightId, settlement: Settlement) {
        let Some(message) = self.messages.remove(&id) else { return };
        self.remove_from_indexes(id, &message);
        self.unsettled -= message.delivery_tags.len();
        self.count_settled(settlement, message.delivery_tags.len());
        // The settlement of a message without a name is remembered only where another delivery of it may come.
        let may_come_again =
            message.identity.is_named() || !message.delivery_tags.is_empty() || message.runs > 0;
        if settlement != Settlement::Requeue && may_come_again {
            self.settled.insert(now, message.identity, settlement);
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
        if let Some(equal) = self.by_identity.get_mut(&message.identity) {
            equal.remove(&id);
            if equal.is_empty() {
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

    /// Starts the drain: nothing more is delivered, what waits for a retry is requeued, and what the engine has is
    /// settled as it ends. A second call changes nothing.
    pub fn drain(&mut self, now: Us) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        let waiting = self.messages.iter().filter(|(_, message)| message.is_waiting());
        let waiting: Vec<InFlightId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.settle(now, id, Settlement::Requeue);
        }
        // Their runs took effect: better acknowledged without a reply than run once more elsewhere.
        for message in self.messages.values_mut() {
            if matches!(message.state, MessageState::Replying(_)) {
                let deadline = &mut message.submission.deadline;
                *deadline = (*deadline).min(now + MAX_REPLY_TIME_DRAINING);
            }
        }
        self.advance(now);
    }
}
