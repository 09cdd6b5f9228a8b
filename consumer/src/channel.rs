//! Inputs about the connection, the queue's channel and the consumer on it.

use crate::action::Action;
use crate::queue::{QueueConsumer, MIN_REOPEN_DELAY_US};
use crate::subscription::Subscription;
use asterrill::Us;
use nanorand::Rng;

/// Maximum delay before a channel or a consumer is opened again, before jitter, in microseconds.
const MAX_REOPEN_DELAY_US: Us = 10_000_000;
/// Maximum number of characters of the broker's reply text in a log line.
const MAX_REPLY_TEXT_CHARS: usize = 128;

impl QueueConsumer {
    /// Records that the connection is open. The channel is opened unless the queue drains.
    pub fn connection_up(&mut self, now: Us) {
        self.subscription = Subscription::ChannelClosed { reopen_at: now };
        self.reopen_delay = MIN_REOPEN_DELAY_US;
        self.advance(now);
    }

    /// Records that the connection was lost.
    pub fn connection_down(&mut self) {
        self.channel_lost(Subscription::Disconnected);
        self.reply_channel_lost();
    }

    /// Records that the broker closed the channel, with its reply code and text. The channel is reopened after a delay.
    pub fn channel_closed(&mut self, now: Us, code: u16, text: &str) {
        self.stats.channels_closed += 1;
        let text: String = text.chars().take(MAX_REPLY_TEXT_CHARS).collect();
        let delay = self.next_reopen_delay();
        self.actions.push_back(Action::Log(format!(
            "the broker closed the channel of queue {}: {code} {text}; reopening it in {} ms",
            self.config.name,
            delay / 1000
        )));
        self.channel_lost(Subscription::ChannelClosed { reopen_at: now + delay });
    }

    /// Records that the channel could not be opened. Another attempt follows after a delay.
    pub fn channel_open_failed(&mut self, now: Us) {
        let delay = self.next_reopen_delay();
        self.subscription = Subscription::ChannelClosed { reopen_at: now + delay };
    }

    /// Records that the broker opened the channel.
    pub fn channel_opened(&mut self, now: Us) {
        if self.subscription == Subscription::ChannelOpening {
            self.subscription = Subscription::Idle { consume_at: now };
        }
        self.advance(now);
    }

    /// Records that the broker confirmed the consumer (`basic.consume-ok`).
    pub fn consume_ok(&mut self, now: Us) {
        if let Subscription::Subscribing { prefetch } = self.subscription {
            self.request_answered();
            self.subscription = Subscription::Consuming { prefetch };
            self.stats.subscribed += 1;
        }
        self.advance(now);
    }

    /// Records that the consumer was cancelled, as requested from this side or by the broker.
    pub fn cancelled(&mut self, now: Us, by_broker: bool) {
        let mut consume_at = now;
        if !by_broker && self.subscription == Subscription::Cancelling {
            self.request_answered();
        }
        if by_broker {
            consume_at += self.next_reopen_delay();
            self.stats.cancelled += 1;
            let line = format!("the broker cancelled the consumer of queue {}", self.config.name);
            self.actions.push_back(Action::Log(line));
        }
        if self.subscription.is_active() {
            self.subscription = Subscription::Idle { consume_at };
        }
        self.advance(now);
    }

    /// Records that the broker has answered the pending request, so that it has read all settlements sent before it.
    fn request_answered(&mut self) {
        self.settled.forget_read(self.channel, self.settled_before_request);
    }

    /// Returns the delay before the next reopening, with jitter. It doubles with each call until a delivery arrives.
    pub(crate) fn next_reopen_delay(&mut self) -> Us {
        let jitter = 0.5 + self.rng.generate::<f64>();
        let delay = (self.reopen_delay as f64 * jitter) as Us;
        self.reopen_delay = (self.reopen_delay * 2).min(MAX_REOPEN_DELAY_US);
        delay
    }

    /// Counts all unsettled deliveries as lost, because the broker will redeliver them, to this or another consumer.
    /// Messages whose run has not started are withdrawn from the engine. Messages that run continue, and a redelivery
    /// is joined to them.
    pub(crate) fn channel_lost(&mut self, subscription: Subscription) {
        self.subscription = subscription;
        self.channel.0 += 1;
        for (id, message) in &mut self.messages {
            self.stats.lost += message.delivery_tags.len() as u64;
            self.unsettled -= message.delivery_tags.len();
            message.delivery_tags.clear();
            if message.is_submitted_unstarted() {
                self.actions.push_back(Action::Withdraw(*id));
            }
        }
    }
}
