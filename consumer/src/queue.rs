//! The consumer of one queue: its state, its construction and its figures. Its inputs are in the modules `channel`,
//! `intake`, `execution`, `replies`, `timers` and `settling`.

use crate::action::{Action, InFlightId};
use crate::config::ConsumerConfig;
use crate::dedup::{MessageIdentity, SettledMessages};
use crate::message::Message;
use crate::prefetch::PrefetchWindow;
use crate::stats::QueueStats;
use crate::subscription::Subscription;
use asterrill::Us;
use nanorand::WyRand;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The first delay before a channel or a consumer is made again, in microseconds.
pub(crate) const MIN_REOPEN_DELAY: Us = 100_000;
/// Ids of a queue's messages have its number above this many bits.
const QUEUE_NUMBER_SHIFT: u32 = 48;

/// When a message is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageTimer {
    pub(crate) at: Us,
    pub(crate) id: InFlightId,
}

/// The state machine of one queue's deliveries; see the crate's documentation.
pub struct QueueConsumer {
    pub(crate) config: ConsumerConfig,
    pub(crate) prefetch: PrefetchWindow,
    /// When the prefetch is decided next, in microseconds.
    pub(crate) next_prefetch_update: Us,
    pub(crate) subscription: Subscription,
    /// The delay before the next reopening, before jitter, in microseconds.
    pub(crate) reopen_delay: Us,
    pub(crate) last_id: u64,
    pub(crate) messages: BTreeMap<InFlightId, Message>,
    pub(crate) by_identity: BTreeMap<MessageIdentity, BTreeSet<InFlightId>>,
    /// May hold timers of messages that have been settled since; these do nothing.
    pub(crate) timers: BTreeSet<MessageTimer>,
    /// Published replies by their publish sequence number.
    pub(crate) unconfirmed_replies: BTreeMap<u64, InFlightId>,
    /// Deliveries that are not settled.
    pub(crate) unsettled: usize,
    pub(crate) settled: SettledMessages,
    pub(crate) draining: bool,
    pub(crate) rng: WyRand,
    pub(crate) actions: VecDeque<Action>,
    /// What was counted since the start.
    pub stats: QueueStats,
}

impl QueueConsumer {
    /// A consumer without a connection. `number` is the queue's number within the process, 1 or more: it is the upper
    /// 16 bits of the ids of its messages. `seed` is for the jitter of its delays.
    pub fn new(now: Us, number: u16, seed: u64, config: ConsumerConfig) -> QueueConsumer {
        QueueConsumer {
            prefetch: PrefetchWindow::new(now, config.prefetch),
            next_prefetch_update: now,
            settled: SettledMessages::new(config.dedup_ttl, config.dedup_capacity),
            config,
            subscription: Subscription::Disconnected,
            reopen_delay: MIN_REOPEN_DELAY,
            last_id: u64::from(number) << QUEUE_NUMBER_SHIFT,
            messages: BTreeMap::new(),
            by_identity: BTreeMap::new(),
            timers: BTreeSet::new(),
            unconfirmed_replies: BTreeMap::new(),
            unsettled: 0,
            draining: false,
            rng: WyRand::new_seed(seed),
            actions: VecDeque::new(),
            stats: QueueStats::default(),
        }
    }

    /// Changes the configuration. Messages in flight keep their deadline, method and route. A drained queue is consumed
    /// again.
    pub fn reconfigure(&mut self, config: ConsumerConfig) {
        self.prefetch.set_max(config.prefetch);
        self.settled.set_limits(config.dedup_ttl, config.dedup_capacity);
        self.config = config;
        self.draining = false;
    }

    /// The configuration in force.
    pub fn config(&self) -> &ConsumerConfig {
        &self.config
    }

    /// Takes the next action to be carried out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Deliveries that are not settled.
    pub fn unsettled(&self) -> usize {
        self.unsettled
    }

    /// Messages in flight, those included whose deliveries were lost with their channel.
    pub fn in_flight(&self) -> usize {
        self.messages.len()
    }

    /// Settlements remembered for redeliveries.
    pub fn dedup_entries(&self) -> usize {
        self.settled.len()
    }

    /// The prefetch that is wanted now; 0 while nothing is to be delivered.
    pub fn prefetch(&self) -> u16 {
        self.prefetch.get()
    }

    /// Whether the queue is drained: nothing is delivered any more and every delivery is settled.
    pub fn is_drained(&self) -> bool {
        self.draining && !self.subscription.is_active() && self.unsettled == 0
    }

    /// The body of a message in flight.
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
