//! State, construction and getters of the consumer of one queue. Its inputs are in the modules `channel`, `intake`,
//! `execution`, `replies`, `timers` and `settling`.

use crate::action::{Action, InFlightId};
use crate::config::ConsumerConfig;
use crate::dedup::{ChannelNumber, MessageIdentity, SettledMessages};
use crate::message::Message;
use crate::prefetch::PrefetchWindow;
use crate::stats::QueueStats;
use crate::subscription::Subscription;
use asterrill::Us;
use nanorand::WyRand;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// First delay before a channel or a consumer is opened again, before jitter, in microseconds.
pub(crate) const MIN_REOPEN_DELAY_US: Us = 100_000;
/// Position of the queue's number in the ids of its messages, in bits.
const QUEUE_NUMBER_SHIFT: u32 = 48;

/// Timer of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageTimer {
    pub(crate) at: Us,
    pub(crate) id: InFlightId,
}

/// State machine of one queue's deliveries. The documentation of the crate describes its inputs and guarantees.
pub struct QueueConsumer {
    pub(crate) config: ConsumerConfig,
    pub(crate) prefetch: PrefetchWindow,
    /// Time of the next decision about the prefetch, in microseconds.
    pub(crate) next_prefetch_update: Us,
    pub(crate) subscription: Subscription,
    /// Delay before the next reopening of the channel or consumer, before jitter, in microseconds.
    pub(crate) reopen_delay: Us,
    pub(crate) last_id: u64,
    pub(crate) messages: BTreeMap<InFlightId, Message>,
    pub(crate) by_identity: BTreeMap<MessageIdentity, BTreeSet<InFlightId>>,
    /// Timers of messages. Those of messages that have been settled since have no effect.
    pub(crate) timers: BTreeSet<MessageTimer>,
    /// Published replies that are not confirmed, by their publish sequence number.
    pub(crate) unconfirmed_replies: BTreeMap<u64, InFlightId>,
    /// Number of unsettled deliveries.
    pub(crate) unsettled: usize,
    pub(crate) settled: SettledMessages,
    /// The current channel, or the next one while there is none.
    pub(crate) channel: ChannelNumber,
    /// Sequence number of the last settlement that was remembered before the pending request to the broker.
    pub(crate) settled_before_request: u64,
    pub(crate) draining: bool,
    pub(crate) rng: WyRand,
    pub(crate) actions: VecDeque<Action>,
    /// Counters since the start.
    pub stats: QueueStats,
}

impl QueueConsumer {
    /// Returns a consumer without a connection. `number` is the queue's number within the process, 1 or more, and
    /// becomes the upper 16 bits of the ids of its messages. `seed` seeds the jitter of its delays.
    pub fn new(now: Us, number: u16, seed: u64, config: ConsumerConfig) -> QueueConsumer {
        QueueConsumer {
            prefetch: PrefetchWindow::new(now, config.prefetch),
            next_prefetch_update: now,
            settled: SettledMessages::new(config.dedup_ttl, config.dedup_capacity),
            config,
            subscription: Subscription::Disconnected,
            reopen_delay: MIN_REOPEN_DELAY_US,
            last_id: u64::from(number) << QUEUE_NUMBER_SHIFT,
            messages: BTreeMap::new(),
            by_identity: BTreeMap::new(),
            timers: BTreeSet::new(),
            unconfirmed_replies: BTreeMap::new(),
            unsettled: 0,
            channel: ChannelNumber::default(),
            settled_before_request: 0,
            draining: false,
            rng: WyRand::new_seed(seed),
            actions: VecDeque::new(),
            stats: QueueStats::default(),
        }
    }

    /// Changes the configuration. Messages in flight keep their deadline, method and route. Ends a drain, so that the
    /// queue is consumed again.
    pub fn reconfigure(&mut self, config: ConsumerConfig) {
        self.prefetch.set_max(config.prefetch);
        self.settled.set_limits(config.dedup_ttl, config.dedup_capacity);
        self.config = config;
        self.draining = false;
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &ConsumerConfig {
        &self.config
    }

    /// Removes and returns the next action to be carried out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the number of unsettled deliveries.
    pub fn unsettled(&self) -> usize {
        self.unsettled
    }

    /// Returns the number of messages in flight, including those whose deliveries were lost with their channel.
    pub fn in_flight(&self) -> usize {
        self.messages.len()
    }

    /// Returns the number of settlements remembered for redeliveries.
    pub fn dedup_entries(&self) -> usize {
        self.settled.len()
    }

    /// Returns the current prefetch window; 0 while nothing is to be consumed.
    pub fn prefetch(&self) -> u16 {
        self.prefetch.get()
    }

    /// Reports whether the queue is drained: the consumer has ended and every delivery is settled.
    pub fn is_drained(&self) -> bool {
        self.draining && !self.subscription.is_active() && self.unsettled == 0
    }

    /// Returns the body of a message in flight.
    pub fn body(&self, id: InFlightId) -> Option<&[u8]> {
        self.messages.get(&id).map(|message| message.body.as_slice())
    }

    pub(crate) fn set_timer(&mut self, at: Us, id: InFlightId) {
        self.timers.insert(MessageTimer { at, id });
    }

    pub(crate) fn cancel_timer(&mut self, at: Us, id: InFlightId) {
        self.timers.remove(&MessageTimer { at, id });
    }
}
