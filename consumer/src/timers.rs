//! Timers: updates of the prefetch and the subscription, and retries and expiry of messages.

use crate::action::{Action, InFlightId};
use crate::message::MessageState;
use crate::prefetch::PrefetchSignals;
use crate::queue::QueueConsumer;
use crate::replies::REPLY_CHECK_INTERVAL_US;
use crate::subscription::Subscription;
use asterrill::Us;
use asterrill_protocol::amqp::Settlement;

/// Interval between decisions about the prefetch, in microseconds.
const PREFETCH_UPDATE_INTERVAL_US: Us = 100_000;

impl QueueConsumer {
    /// Updates the prefetch if that is due, and fires all timers that are due. `credit` is the credit that is published
    /// to callers, if any, and `memory_capacity` the number of deliveries that memory has capacity for.
    pub fn update_prefetch(&mut self, now: Us, credit: Option<f64>, cores: f64, memory_capacity: f64) {
        if now >= self.next_prefetch_update {
            self.next_prefetch_update = now + PREFETCH_UPDATE_INTERVAL_US;
            let waiting = self
                .messages
                .values()
                .filter(|message| message.is_waiting() && !message.delivery_tags.is_empty())
                .count();
            let unsettled = self.unsettled;
            let signals = PrefetchSignals { credit, cores, memory_capacity, unsettled, waiting };
            self.prefetch.update(now, signals);
        }
        self.advance(now);
    }

    /// Returns the time at which [`QueueConsumer::update_prefetch`] is to be called next, in microseconds.
    pub fn next_timer(&self) -> Option<Us> {
        let message = self.timers.first().map(|timer| timer.at);
        let subscription = match self.subscription {
            Subscription::ChannelClosed { reopen_at } => Some(reopen_at),
            Subscription::Idle { consume_at } => Some(consume_at).filter(|_| self.target_prefetch() > 0),
            _ => None,
        };
        let connected = self.subscription != Subscription::Disconnected;
        let prefetch = Some(self.next_prefetch_update).filter(|_| connected && !self.draining);
        [message, subscription, prefetch].into_iter().flatten().min()
    }

    /// Returns the prefetch with which to consume; 0 if nothing is to be consumed.
    fn target_prefetch(&self) -> u16 {
        if self.draining {
            0
        } else {
            self.prefetch.get()
        }
    }

    /// Adapts the subscription to the prefetch, and fires the timers of messages that are due.
    pub(crate) fn advance(&mut self, now: Us) {
        self.advance_subscription(now);
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            self.timers.remove(&timer);
            self.message_timer_fired(now, timer.id);
        }
    }

    fn advance_subscription(&mut self, now: Us) {
        let wanted = self.target_prefetch();
        match self.subscription {
            Subscription::ChannelClosed { reopen_at } if reopen_at <= now && !self.draining => {
                self.subscription = Subscription::ChannelOpening;
                self.actions.push_back(Action::OpenChannel);
            }
            Subscription::Idle { consume_at } if consume_at <= now && wanted > 0 => {
                self.subscription = Subscription::Subscribing { prefetch: wanted };
                self.settled_before_request = self.settled.last_sequence();
                self.actions.push_back(Action::Consume { prefetch: wanted });
            }
            Subscription::Consuming { prefetch } if prefetch != wanted => {
                self.subscription = Subscription::Cancelling;
                self.settled_before_request = self.settled.last_sequence();
                self.actions.push_back(Action::Cancel);
            }
            _ => {}
        }
    }

    fn message_timer_fired(&mut self, now: Us, id: InFlightId) {
        let Some(message) = self.messages.get(&id) else { return };
        let deadline = message.submission.deadline;
        let expired = now >= deadline;
        match &message.state {
            MessageState::Waiting { .. } if expired => {
                self.stats.expired += message.delivery_tags.len() as u64;
                self.settle(now, id, Settlement::Reject);
            }
            // The message has no delivery that could be settled. It waits for its redelivery until its deadline.
            MessageState::Waiting { .. } if message.delivery_tags.is_empty() => self.set_timer(deadline, id),
            MessageState::Waiting { .. } => self.resubmit(id),
            MessageState::Replying(reply) if expired => {
                let settlement = reply.settlement;
                self.stats.replies_lost += 1;
                self.settle(now, id, settlement);
            }
            MessageState::Replying(reply) => {
                if reply.publish_sequence.is_none() {
                    self.actions.push_back(Action::PublishReply(id));
                }
                self.set_timer(deadline.min(now + REPLY_CHECK_INTERVAL_US), id);
            }
            MessageState::Submitted { .. } => {}
        }
    }

    fn resubmit(&mut self, id: InFlightId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut message.state, MessageState::Submitted { run_started: false });
        self.actions.push_back(Action::Submit(message.submission.clone()));
        if let MessageState::Waiting { retry_at } = previous {
            self.cancel_timer(retry_at, id);
        }
    }
}
