//! Whether a delivery repeats an earlier one, and how that one was settled.

use asterrill::Us;
use asterrill_protocol::amqp::{Delivery, Settlement};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// By what a redelivery of a message is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageIdentity {
    /// The hash of its `message-id`: two deliveries with one id are one message.
    Named(u128),
    /// The hash of all its content, where it has no id: equal messages are distinguished only by their number.
    Content(u128),
}

impl MessageIdentity {
    /// The identity of a delivery within its queue.
    pub(crate) fn of(delivery: &Delivery) -> MessageIdentity {
        let mut hash = Xxh3::new();
        if let Some(id) = delivery.properties.message_id.as_ref().filter(|id| !id.is_empty()) {
            hash_part(&mut hash, id.as_bytes());
            return MessageIdentity::Named(hash.digest128());
        }
        let properties = &delivery.properties;
        hash_part(&mut hash, delivery.exchange.as_bytes());
        hash_part(&mut hash, delivery.routing_key.as_bytes());
        hash_part(&mut hash, properties.correlation_id.as_deref().unwrap_or("").as_bytes());
        hash_part(&mut hash, properties.reply_to.as_deref().unwrap_or("").as_bytes());
        hash_part(&mut hash, &properties.timestamp.unwrap_or(0).to_le_bytes());
        for (name, value) in &properties.headers {
            hash_part(&mut hash, name.as_bytes());
            hash_part(&mut hash, value.as_bytes());
        }
        hash_part(&mut hash, delivery.body.as_deref().unwrap_or(&[]));
        MessageIdentity::Content(hash.digest128())
    }

    /// Whether the publisher named the message.
    pub(crate) fn is_named(self) -> bool {
        matches!(self, MessageIdentity::Named(_))
    }
}

/// Hashes a part with its length before it, so that parts can't run into one another.
fn hash_part(hash: &mut Xxh3, bytes: &[u8]) {
    hash.update(&(bytes.len() as u64).to_le_bytes());
    hash.update(bytes);
}

/// One remembered settlement.
#[derive(Clone, Copy, Debug)]
struct SettledEntry {
    sequence: u64,
    expires_at: Us,
    settlement: Settlement,
}

/// The place of a remembered settlement in the order of expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryKey {
    expires_at: Us,
    sequence: u64,
    identity: MessageIdentity,
}

/// How messages were settled, for a limited time and in a limited number; the oldest go first.
#[derive(Debug)]
pub(crate) struct SettledMessages {
    ttl: Us,
    capacity: usize,
    last_sequence: u64,
    by_identity: BTreeMap<MessageIdentity, Vec<SettledEntry>>,
    by_expiry: BTreeSet<ExpiryKey>,
}

impl SettledMessages {
    /// Remembers at most `capacity` settlements, each for `ttl` microseconds.
    pub(crate) fn new(ttl: Us, capacity: usize) -> SettledMessages {
        SettledMessages {
            ttl,
            capacity,
            last_sequence: 0,
            by_identity: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Changes the limits. The time to live applies to what is remembered from now on.
    pub(crate) fn set_limits(&mut self, ttl: Us, capacity: usize) {
        self.ttl = ttl;
        self.capacity = capacity;
        while self.by_expiry.len() > capacity {
            self.remove_oldest();
        }
    }

    /// Settlements remembered now.
    pub(crate) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// A message was settled. A named one is remembered once, with its first settlement.
    pub(crate) fn insert(&mut self, now: Us, identity: MessageIdentity, settlement: Settlement) {
        self.expire(now);
        let already_remembered = identity.is_named() && self.by_identity.contains_key(&identity);
        if self.capacity == 0 || already_remembered {
            return;
        }
        if self.by_expiry.len() >= self.capacity {
            self.remove_oldest();
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let expires_at = now.saturating_add(self.ttl);
        self.by_identity.entry(identity).or_default().push(SettledEntry { sequence, expires_at, settlement });
        self.by_expiry.insert(ExpiryKey { expires_at, sequence, identity });
    }

    /// How a message was settled. The entry of one without a name is used up by this: the next equal delivery is
    /// another message.
    pub(crate) fn take(&mut self, now: Us, identity: MessageIdentity) -> Option<Settlement> {
        self.expire(now);
        let SettledEntry { sequence, expires_at, settlement } =
            self.by_identity.get(&identity)?.first().copied()?;
        if !identity.is_named() {
            self.remove(ExpiryKey { expires_at, sequence, identity });
        }
        Some(settlement)
    }

    fn expire(&mut self, now: Us) {
        while self.by_expiry.first().is_some_and(|oldest| oldest.expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.by_expiry.first().copied() {
            self.remove(oldest);
        }
    }

    /// The one place where an entry is removed from both indexes.
    fn remove(&mut self, key: ExpiryKey) {
        self.by_expiry.remove(&key);
        if let Some(entries) = self.by_identity.get_mut(&key.identity) {
            entries.retain(|entry| entry.sequence != key.sequence);
            if entries.is_empty() {
                self.by_identity.remove(&key.identity);
            }
        }
    }
}
