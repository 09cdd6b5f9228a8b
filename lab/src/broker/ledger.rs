//! The broker's own account of each delivery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// How a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Settlement {
    /// `basic.ack`
    Acked,
    /// `basic.reject` without requeue
    Rejected,
    /// `basic.reject` with requeue
    Requeued,
}

/// An answer that the client published.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its `correlation-id`.
    pub correlation: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// The broker's own account: of each delivery, by connection, channel and tag.
#[derive(Clone, Debug, Default)]
pub struct BrokerLedger {
    /// Deliveries that were sent.
    pub deliveries: u64,
    /// Of those, the ones of messages that had been delivered before.
    pub redeliveries: u64,
    /// Deliveries that were acknowledged.
    pub acked: u64,
    /// Deliveries that were rejected without requeue.
    pub rejected: u64,
    /// Deliveries that were rejected with requeue.
    pub requeued: u64,
    /// Settlements of a tag that had been settled.
    pub settled_twice: u64,
    /// Settlements of a tag that was never given out on its channel.
    pub unknown_tags: u64,
    /// Deliveries that were never settled, on channels that stood until the connection was closed in order.
    pub unsettled: u64,
    /// Deliveries lost with their connection or channel: they come again.
    pub lost: u64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that the client closed with code 200.
    pub closed_cleanly: u64,
    /// When the client closed the last one.
    pub closed_at: Option<Instant>,
    /// Answers that reached a queue.
    pub replies: Vec<Reply>,
    /// Answers that were returned, as no queue took them.
    pub returned: u64,
    /// Connections that were cut by script.
    pub cuts: u64,
    /// Faults that were played by script.
    pub faults: u64,
    /// Subscriptions.
    pub subscriptions: u64,
    /// The most deliveries that were unsettled on one channel.
    pub most_unsettled: usize,
    /// Final settlements of messages, by number; a requeue is none.
    pub settlements: BTreeMap<u64, Vec<Settlement>>,
    /// Users that logged in.
    pub logins: BTreeSet<String>,
}

impl BrokerLedger {
    /// Counts a settlement of a message.
    pub(super) fn settle(&mut self, message: u64, settlement: Settlement) {
        match settlement {
            Settlement::Acked => self.acked += 1,
            Settlement::Rejected => self.rejected += 1,
            Settlement::Requeued => {
                self.requeued += 1;
                return;
            }
        }
        self.settlements.entry(message).or_default().push(settlement);
    }
}
