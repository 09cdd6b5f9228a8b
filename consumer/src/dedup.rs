//! Detection of deliveries that repeat an earlier one, and the settlements remembered for them.

use asterrill::Us;
use asterrill_protocol::amqp::{Delivery, Settlement};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// Identity of a message, by which its redelivery is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageIdentity {
    /// Hash of the `message-id`. Deliveries with the same id are the same message.
    MessageId(u128),
    /// Hash of the content of a message without an id. Messages with equal content can only be counted, not told apart.
    Content(u128),
}

impl MessageIdentity {
    /// Returns the identity of a delivery within its queue.
    pub(crate) fn of(delivery: &Delivery) -> MessageIdentity {
        let mut hash = Xxh3::new();
        if let Some(id) = delivery.properties.message_id.as_ref().filter(|id| !id.is_empty()) {
            hash_part(&mut hash, id.as_bytes());
            return MessageIdentity::MessageId(hash.digest128());
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

    /// Reports whether the message has a `message-id`.
    pub(crate) fn has_message_id(self) -> bool {
        matches!(self, MessageIdentity::MessageId(_))
    }
}

/// Hashes a part after its length, so that different divisions into parts have different hashes.
fn hash_part(hash: &mut Xxh3, bytes: &[u8]) {
    hash.update(&(bytes.len() as u64).to_le_bytes());
    hash.update(bytes);
}

/// Number of a channel among those on which the queue was consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChannelNumber(pub(crate) u64);

/// How the settlement of a message was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettlementSending {
    /// It was not sent, because the channel of its deliveries was lost before.
    NotSent,
    /// It was sent on this channel. If the channel is lost, the broker may or may not have read it.
    SentOn(ChannelNumber),
}

/// What is known about an earlier delivery to which a redelivery may belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlierSettlement {
    /// The message was settled in this way, and the redelivery can be settled in the same way.
    Known(Settlement),
    /// An equal message has run here, but the broker may have read its settlement, so that the redelivery may be of
    /// another message.
    Uncertain,
}

/// Remembered settlement of one message.
#[derive(Clone, Copy, Debug)]
struct SettledEntry {
    sequence: u64,
    settled_at: Us,
    expires_at: Us,
    settlement: Settlement,
    sending: SettlementSending,
}

/// Sort key of remembered settlements by their expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryKey {
    expires_at: Us,
    sequence: u64,
    identity: MessageIdentity,
}

/// Settlements of messages, remembered for a limited time and up to a maximum number. The oldest are removed first.
#[derive(Debug)]
pub(crate) struct SettledMessages {
    ttl: Us,
    capacity: usize,
    last_sequence: u64,
    by_identity: BTreeMap<MessageIdentity, Vec<SettledEntry>>,
    by_expiry: BTreeSet<ExpiryKey>,
}

impl SettledMessages {
    /// Returns an empty collection of at most `capacity` settlements, each of which expires after `ttl` microseconds.
    pub(crate) fn new(ttl: Us, capacity: usize) -> SettledMessages {
        SettledMessages {
            ttl,
            capacity,
            last_sequence: 0,
            by_identity: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Changes the limits. A longer time to live also applies to the settlements remembered so far, a shorter one only to
    /// those inserted from now on.
    pub(crate) fn set_limits(&mut self, ttl: Us, capacity: usize) {
        if ttl > self.ttl {
            self.extend_expiry(ttl);
        }
        self.ttl = ttl;
        self.capacity = capacity;
        while self.by_expiry.len() > capacity {
            self.remove_oldest();
        }
    }

    fn extend_expiry(&mut self, ttl: Us) {
        self.by_expiry.clear();
        for (identity, entries) in &mut self.by_identity {
            for entry in entries {
                entry.expires_at = entry.expires_at.max(entry.settled_at.saturating_add(ttl));
                let (expires_at, sequence) = (entry.expires_at, entry.sequence);
                self.by_expiry.insert(ExpiryKey { expires_at, sequence, identity: *identity });
            }
        }
    }

    /// Returns the number of settlements remembered.
    pub(crate) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Returns the sequence number of the settlement that was remembered last.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Remembers the settlement of a message. For a message with an id, only the first settlement is remembered.
    pub(crate) fn insert(
        &mut self, now: Us, identity: MessageIdentity, settlement: Settlement, sending: SettlementSending,
    ) {
        self.expire(now);
        let already_remembered = identity.has_message_id() && self.by_identity.contains_key(&identity);
        if self.capacity == 0 || already_remembered {
            return;
        }
        if self.by_expiry.len() >= self.capacity {
            self.remove_oldest();
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let expires_at = now.saturating_add(self.ttl);
        self.by_identity.entry(identity).or_default().push(SettledEntry {
            sequence,
            settled_at: now,
            expires_at,
            settlement,
            sending,
        });
        self.by_expiry.insert(ExpiryKey { expires_at, sequence, identity });
    }

    /// Returns what is known about the earlier delivery of a message that is redelivered on the channel `current`.
    ///
    /// For a message without an id, settlements that were not sent come first, and the entry is removed, because the
    /// next equal delivery is another message. A settlement sent on the current channel is not considered: the broker
    /// redelivers nothing of a channel that is open.
    pub(crate) fn take(
        &mut self, now: Us, identity: MessageIdentity, current: ChannelNumber,
    ) -> Option<EarlierSettlement> {
        self.expire(now);
        let entries = self.by_identity.get(&identity)?;
        if identity.has_message_id() {
            return entries.first().map(|entry| EarlierSettlement::Known(entry.settlement));
        }
        let not_sent = entries.iter().find(|entry| entry.sending == SettlementSending::NotSent);
        let on_lost_channel = |entry: &&SettledEntry| entry.sending != SettlementSending::SentOn(current);
        let entry = *not_sent.or_else(|| entries.iter().find(on_lost_channel))?;
        self.remove(ExpiryKey { expires_at: entry.expires_at, sequence: entry.sequence, identity });
        Some(match entry.sending {
            SettlementSending::NotSent => EarlierSettlement::Known(entry.settlement),
            SettlementSending::SentOn(_) => EarlierSettlement::Uncertain,
        })
    }

    /// Forgets the messages without an id whose settlements the broker has read: those sent on this channel, up to a
    /// sequence number.
    pub(crate) fn forget_read(&mut self, channel: ChannelNumber, last_sequence: u64) {
        let is_read = |entry: &&SettledEntry| {
            entry.sending == SettlementSending::SentOn(channel) && entry.sequence <= last_sequence
        };
        let mut read = Vec::new();
        for (identity, entries) in self.by_identity.iter().filter(|(identity, _)| !identity.has_message_id())
        {
            let key = |entry: &SettledEntry| ExpiryKey {
                expires_at: entry.expires_at,
                sequence: entry.sequence,
                identity: *identity,
            };
            read.extend(entries.iter().filter(is_read).map(key));
        }
        for key in read {
            self.remove(key);
        }
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

    /// Removes an entry from both indexes. Entries are removed only here.
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
