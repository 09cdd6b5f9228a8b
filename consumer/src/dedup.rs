//! Whether a delivery is one that was read before, and what became of that.

use asterrill::Us;
use asterrill_protocol::amqp::{Delivery, Settle};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// By what a message is known again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Identity {
    /// Its publisher named it: two messages of this name are one.
    Named(u128),
    /// All that it carries: two that are alike are told apart only by how many there are.
    Alike(u128),
}

impl Identity {
    /// `message-id` names a message within its queue; else all that it carries tells it.
    pub fn of(delivery: &Delivery) -> Identity {
        let mut hash = Xxh3::new();
        let mut part = |bytes: &[u8]| {
            hash.update(&(bytes.len() as u64).to_le_bytes());
            hash.update(bytes);
        };
        if let Some(id) = delivery.headers.message_id.as_ref().filter(|id| !id.is_empty()) {
            part(id.as_bytes());
            return Identity::Named(hash.digest128());
        }
        part(delivery.exchange.as_bytes());
        part(delivery.routing_key.as_bytes());
        part(delivery.headers.correlation_id.as_deref().unwrap_or("").as_bytes());
        part(delivery.headers.reply_to.as_deref().unwrap_or("").as_bytes());
        part(&delivery.headers.timestamp.unwrap_or(0).to_le_bytes());
        for (name, value) in &delivery.headers.fields {
            part(name.as_bytes());
            part(value.as_bytes());
        }
        part(delivery.body.as_deref().unwrap_or(&[]));
        Identity::Alike(hash.digest128())
    }
}

/// What became of messages, for a while: at most so many, the oldest go first.
#[derive(Debug)]
pub struct Ended {
    span: Us,
    most: usize,
    next: u64,
    of: BTreeMap<Identity, Vec<(u64, Us, Settle)>>,
    order: BTreeSet<(Us, u64, Identity)>,
}

impl Ended {
    pub fn new(span: Us, most: usize) -> Ended {
        Ended { span, most, next: 0, of: BTreeMap::new(), order: BTreeSet::new() }
    }
    /// Other bounds from now on; the span counts for what is remembered from now on.
    pub fn bound(&mut self, span: Us, most: usize) {
        (self.span, self.most) = (span, most);
        while self.order.len() > most {
            self.drop_first();
        }
    }
    pub fn len(&self) -> usize {
        self.order.len()
    }
    /// A message has ended. A name is kept once, with its first end.
    pub fn keep(&mut self, now: Us, identity: Identity, how: Settle) {
        self.age(now);
        if self.most == 0 || matches!(identity, Identity::Named(_)) && self.of.contains_key(&identity) {
            return;
        }
        if self.order.len() >= self.most {
            self.drop_first();
        }
        self.next += 1;
        let until = now.saturating_add(self.span);
        self.of.entry(identity).or_default().push((self.next, until, how));
        self.order.insert((until, self.next, identity));
    }
    /// What became of a message. One that is only alike is used up: the next alike is another.
    pub fn find(&mut self, now: Us, identity: Identity) -> Option<Settle> {
        self.age(now);
        let (number, until, how) = self.of.get(&identity)?.first().copied()?;
        if matches!(identity, Identity::Alike(_)) {
            self.forget((until, number, identity));
        }
        Some(how)
    }
    fn age(&mut self, now: Us) {
        while self.order.first().is_some_and(|(until, ..)| *until <= now) {
            self.drop_first();
        }
    }
    fn drop_first(&mut self) {
        if let Some(first) = self.order.first().copied() {
            self.forget(first);
        }
    }
    /// The one place where what is remembered is given back.
    fn forget(&mut self, at: (Us, u64, Identity)) {
        self.order.remove(&at);
        if let Some(all) = self.of.get_mut(&at.2) {
            all.retain(|(number, ..)| *number != at.1);
            if all.is_empty() {
                self.of.remove(&at.2);
            }
        }
    }
}
