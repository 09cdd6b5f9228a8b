//! Queues, and what all connections of the broker share.

use super::channel::Channel;
use super::faults::FaultScript;
use super::ledger::BrokerLedger;
use super::message::{EndlessQueue, Message};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What all connections of the broker share.
pub struct BrokerState {
    /// Messages that are ready, by queue.
    pub queues: BTreeMap<String, VecDeque<Message>>,
    /// A queue that never empties.
    pub endless_queue: Option<EndlessQueue>,
    /// Queues that take answers.
    pub reply_queues: BTreeSet<String>,
    /// What goes wrong.
    pub script: FaultScript,
    /// The broker's account.
    pub ledger: BrokerLedger,
    /// The password of each user.
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

    /// The number of a message that is made now.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Whether a queue can be consumed from.
    pub(super) fn has_queue(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
            || self.endless_queue.as_ref().is_some_and(|endless| endless.queue == queue)
    }

    /// The next message of a queue; none while it is empty.
    pub(super) fn next_message(&mut self, queue: &str) -> Option<Message> {
        if let Some(message) = self.queues.get_mut(queue).and_then(VecDeque::pop_front) {
            return Some(message);
        }
        let make_message = self.endless_queue.as_ref().filter(|endless| endless.queue == queue)?.make_message;
        let number = self.next_number();
        Some(Message { number, ..make_message(number) })
    }

    /// What a channel did not settle goes back to the front of its queue, in its order; after a cut by a broker that
    /// forgets, what was settled as well.
    pub(super) fn requeue(&mut self, channel: Channel, cut: bool) {
        self.ledger.lost += channel.unsettled.len() as u64;
        let settled = channel.settled_messages.into_iter().filter(|_| cut);
        let all: Vec<(String, Message)> = settled.chain(channel.unsettled.into_values()).collect();
        for (queue, mut message) in all.into_iter().rev() {
            message.delivered += 1;
            self.queues.entry(queue).or_default().push_front(message);
        }
    }
}
