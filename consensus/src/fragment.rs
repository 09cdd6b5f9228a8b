//! Messages longer than a datagram, sent as fragments.
//!
//! A fragment is a head of 8 bytes, little-endian, and up to 1,000 bytes of the message: number of the message (u32), index of
//! the fragment (u16), how many fragments the message has (u16).

use std::collections::BTreeMap;

const FRAGMENT_BYTES: usize = 1_000; // of the message, without the head
const HEAD_BYTES: usize = 8;
const MAX_FRAGMENTS: usize = 512; // of one message
const MAX_PARTIAL_MESSAGES: usize = 8; // of one sender
const MAX_SENDERS: usize = 256;

/// Splits a message into fragments that each fit a datagram. `None` if the message is too long.
pub fn fragment(message_number: u32, bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let count = bytes.len().div_ceil(FRAGMENT_BYTES).max(1);
    if count > MAX_FRAGMENTS {
        return None;
    }
    let fragment = |index: usize| {
        let start = index * FRAGMENT_BYTES;
        let end = (start + FRAGMENT_BYTES).min(bytes.len());
        let body = bytes.get(start..end).unwrap_or(&[]);
        [
            &message_number.to_le_bytes()[..],
            &(index as u16).to_le_bytes(),
            &(count as u16).to_le_bytes(),
            body,
        ]
        .concat()
    };
    Some((0..count).map(fragment).collect())
}

/// The parsed head of a fragment and the bytes after it.
struct Fragment<'a> {
    message_number: u32,
    index: usize,
    count: usize,
    body: &'a [u8],
}

impl<'a> Fragment<'a> {
    /// `None` for a payload that [`fragment`] would not have made.
    fn parse(payload: &'a [u8]) -> Option<Fragment<'a>> {
        let (head, body) = payload.split_at_checked(HEAD_BYTES)?;
        let message_number = u32::from_le_bytes(head.get(..4)?.try_into().ok()?);
        let index = u16::from_le_bytes(head.get(4..6)?.try_into().ok()?) as usize;
        let count = u16::from_le_bytes(head.get(6..8)?.try_into().ok()?) as usize;
        let valid = (1..=MAX_FRAGMENTS).contains(&count) && index < count && body.len() <= FRAGMENT_BYTES;
        valid.then_some(Fragment { message_number, index, count, body })
    }
}

struct PartialMessage {
    fragments: Vec<Option<Vec<u8>>>,
    missing: usize,
}

impl PartialMessage {
    fn new(count: usize) -> PartialMessage {
        PartialMessage { fragments: vec![None; count], missing: count }
    }

    fn into_bytes(self) -> Vec<u8> {
        self.fragments.into_iter().flatten().flatten().collect()
    }
}

/// Puts fragments together again, for each sender. Bounded: of senders beyond 256 the first by name, and of messages beyond
/// 8 of a sender the oldest, are dropped.
#[derive(Default)]
pub struct Reassembler {
    senders: BTreeMap<String, BTreeMap<u32, PartialMessage>>,
}

impl Reassembler {
    /// Takes in one payload. Returns the message once all of its fragments are here; `None` also for an invalid payload.
    pub fn receive(&mut self, from: &str, payload: &[u8]) -> Option<Vec<u8>> {
        let fragment = Fragment::parse(payload)?;
        if fragment.count == 1 {
            return Some(fragment.body.to_vec());
        }
        let messages = self.messages_of(from);
        if !messages.contains_key(&fragment.message_number) && messages.len() >= MAX_PARTIAL_MESSAGES {
            messages.pop_first(); // message numbers grow: this is the oldest
        }
        let message =
            messages.entry(fragment.message_number).or_insert_with(|| PartialMessage::new(fragment.count));
        let slot = message.fragments.get_mut(fragment.index)?;
        message.missing -= usize::from(slot.is_none());
        *slot = Some(fragment.body.to_vec());
        if message.missing > 0 {
            return None;
        }
        messages.remove(&fragment.message_number).map(PartialMessage::into_bytes)
    }

    fn messages_of(&mut self, from: &str) -> &mut BTreeMap<u32, PartialMessage> {
        if !self.senders.contains_key(from) && self.senders.len() >= MAX_SENDERS {
            self.senders.pop_first();
        }
        self.senders.entry(from.into()).or_default()
    }
}
