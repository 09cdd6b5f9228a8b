//! Queues and the other state that all connections of the broker share.

use super::channel::Channel;
use super::faults::FaultScript;
use super::ledger::BrokerLedger;
use super::message::{EndlessQueue, Message};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// State that all connections of the broker share.
pub struct BrokerState {
    /// Messages that are ready, by queue.
    pub queues: BTreeMap<String, VecDeque<Message>>,
    /// A queue that never empties.
    pub endless_queue: Option<EndlessQueue>,
    /// Queues that accept replies.
    pub reply_queues: BTreeSet<String>,
    /// Script of the faults.
    pub script: FaultScript,
    /// Ledger of deliveries and settlements.
    pub ledger: BrokerLedger,
    /// Password that all users share.
    pub password: String,
    pub(super) last_number: u64,
}

impl BrokerState {
    pub(super) fn new(script: FaultScript) -> BrokerState {
        BrokerState {
            queues: BTreeMap::new(),
            endless_queue: None,
            reply_queues: BTreeSet::new(),
            script,
            ledger: BrokerLedger::default(),
            password: "secret of the stand-in".into(),
            last_number: 0,
        }
    }

    /// Returns the number for a new message.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Reports whether a queue exists.
    pub(super) fn has_queue(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
            || self.endless_queue.as_ref().is_some_and(|endless| endless.queue == queue)
    }

    /// Takes the next message of a queue, or returns `None` if it is empty.
    pub(super) fn next_message(&mut self, queue: &str) -> Option<Message> {
        if let Some(message) = self.queues.get_mut(queue).and_then(VecDeque::pop_front) {
            return Some(message);
        }
        let make_message = self.endless_queue.as_ref().filter(|endless| endless.queue == queue)?.make_message;
        let number = self.next_number();
        Some(Message { number, ..make_message(number) })
    }

    /// Requeues the unsettled deliveries of a channel at the front of their queues, in their order. After a cut by a
    /// broker that loses settlements, the settled messages are requeued as well.
    pub(super) fn requeue(&mut self, channel: Channel, cut: bool) {
        self.ledger.lost += channel.unsettled.len() as u64;
        let settled = channel.settled_messages.into_iter().filter(|_| cut);
        let all: Vec<(String, Message)> = settled.chain(channel.unsettled.into_values()).collect();
        for (queue, mut message) in all.into_iter().rev() {
            message.delivery_count += 1;
            self.queues.entry(queue).or_default().push_front(message);
        }
    }
}
