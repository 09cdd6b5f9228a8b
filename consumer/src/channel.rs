//! Inputs about the connection, the channel and the consumer on it.

use crate::action::Action;
use crate::queue::{QueueConsumer, MIN_REOPEN_DELAY};
use crate::subscription::Subscription;
use asterrill::Us;
use nanorand::Rng;

/// The longest delay before a channel or a consumer is made again, before jitter, in microseconds.
const MAX_REOPEN_DELAY: Us = 10_000_000;
/// Characters of the broker's reply text that are logged.
const MAX_REPLY_TEXT_SHOWN: usize = 128;

impl QueueConsumer {
    /// The connection can be used.
    pub fn connection_up(&mut self, now: Us) {
        self.subscription = Subscription::ChannelClosed { reopen_at: now };
        self.reopen_delay = MIN_REOPEN_DELAY;
        self.advance(now);
    }

    /// The connection is gone.
    pub fn connection_down(&mut self) {
        self.channel_lost(Subscription::Disconnected);
        self.reply_channel_lost();
    }

    /// The broker closed the channel, with its reply code and text.
    pub fn channel_closed(&mut self, now: Us, code: u16, text: &str) {
        self.stats.channels_closed += 1;
        let text: String = text.chars().take(MAX_REPLY_TEXT_SHOWN).collect();
        let delay = self.next_reopen_delay();
        self.actions.push_back(Action::Log(format!(
            "the broker closed the channel of queue {}: {code} {text}; again in {} ms",
            self.config.name,
            delay / 1000
        )));
        self.channel_lost(Subscription::ChannelClosed { reopen_at: now + delay });
    }

    /// The channel could not be opened now.
    pub fn channel_open_failed(&mut self, now: Us) {
        let delay = self.next_reopen_delay();
        self.subscription = Subscription::ChannelClosed { reopen_at: now + delay };
    }

    /// The broker opened the channel.
    pub fn channel_opened(&mut self, now: Us) {
        if self.subscription == Subscription::ChannelOpening {
            self.subscription = Subscription::Idle { consume_at: now };
        }
        self.advance(now);
    }

    /// The broker confirmed the consumer (`basic.consume-ok`).
    pub fn consume_ok(&mut self, now: Us) {
        if let Subscription::Subscribing { prefetch } = self.subscription {
            self.subscription = Subscription::Consuming { prefetch };
            self.stats.subscribed += 1;
        }
        self.advance(now);
    }

    /// The consumer is cancelled: as was asked for here, or by the broker.
    pub fn cancelled(&mut self, now: Us, by_broker: bool) {
        let mut consume_at = now;
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

    /// A delay with jitter that doubles until a delivery comes.
    pub(crate) fn next_reopen_delay(&mut self) -> Us {
        let jitter = 0.5 + self.rng.generate::<f64>();
        let delay = (self.reopen_delay as f64 * jitter) as Us;
        self.reopen_delay = (self.reopen_delay * 2).min(MAX_REOPEN_DELAY);
        delay
    }

    /// The broker will redeliver all deliveries of the channel, to this or another consumer. What was not started is
    /// withdrawn from the engine; what runs goes on, and a redelivery of it is joined to it.
    pub(crate) fn channel_lost(&mut self, subscription: Subscription) {
        self.subscription = subscription;
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
