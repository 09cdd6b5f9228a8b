//! Ledger of all deliveries and settlements of the broker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Way in which a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Settlement {
    /// `basic.ack`.
    Acked,
    /// `basic.reject` without requeue.
    Rejected,
    /// `basic.reject` with requeue.
    Requeued,
}

/// A reply that the client published.
#[derive(Clone, Debug)]
pub struct Reply {
    /// `correlation-id` property of the reply.
    pub correlation_id: Option<String>,
    /// Body of the reply.
    pub body: Vec<u8>,
}

/// Ledger of all deliveries and settlements of the broker.
#[derive(Clone, Debug, Default)]
pub struct BrokerLedger {
    /// Deliveries that were sent.
    pub deliveries: u64,
    /// Deliveries of messages that had been delivered before.
    pub redeliveries: u64,
    /// Deliveries that were acknowledged.
    pub acked: u64,
    /// Deliveries that were rejected without requeue.
    pub rejected: u64,
    /// Deliveries that were rejected with requeue.
    pub requeued: u64,
    /// Settlements of a delivery tag that had been settled before.
    pub settled_twice: u64,
    /// Settlements of a delivery tag that was never assigned on its channel.
    pub unknown_tags: u64,
    /// Deliveries that were never settled, on channels that were open when the client closed the connection cleanly.
    pub unsettled: u64,
    /// Deliveries lost with their connection or channel; these are requeued.
    pub lost: u64,
    /// Connections that were accepted.
    pub connections: u64,
    /// Connections that the client closed with code 200.
    pub closed_cleanly: u64,
    /// Time at which the client last closed a connection.
    pub closed_at: Option<Instant>,
    /// Replies that reached a queue.
    pub replies: Vec<Reply>,
    /// Replies that were returned because no queue accepts them.
    pub returned: u64,
    /// Connections that the script cut.
    pub cuts: u64,
    /// Faults that the script injected.
    pub faults: u64,
    /// Number of `basic.consume` requests that were accepted.
    pub subscriptions: u64,
    /// Maximum number of unsettled deliveries on one channel.
    pub max_unsettled: usize,
    /// Final settlements by message number; a requeue is not final.
    pub settlements: BTreeMap<u64, Vec<Settlement>>,
    /// Users that sent credentials.
    pub logins: BTreeSet<String>,
}

impl BrokerLedger {
    /// Records the settlement of a message.
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
