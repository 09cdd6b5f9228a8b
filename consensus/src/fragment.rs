//! Fragmentation and reassembly of messages that are longer than a datagram.
//!
//! A fragment is a header of 8 bytes, little-endian, and up to 1,000 bytes of the message. The header has the number of
//! the message (u32), the index of the fragment (u16), and the number of fragments of the message (u16).

use std::collections::BTreeMap;

/// Maximum length of a fragment's body, which excludes the header.
const MAX_BODY_BYTES: usize = 1_000;
const HEADER_BYTES: usize = 8;
const MAX_FRAGMENTS_PER_MESSAGE: usize = 512;
const MAX_PARTIAL_MESSAGES_PER_SENDER: usize = 8;
const MAX_SENDERS: usize = 256;

/// Splits a message into fragments that each fit a datagram. Returns `None` if the message is too long.
pub fn fragment(message_number: u32, bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let count = bytes.len().div_ceil(MAX_BODY_BYTES).max(1);
    if count > MAX_FRAGMENTS_PER_MESSAGE {
        return None;
    }
    let fragment = |index: usize| {
        let start = index * MAX_BODY_BYTES;
        let end = (start + MAX_BODY_BYTES).min(bytes.len());
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

/// Parsed header of a fragment and the body after it.
struct Fragment<'a> {
    message_number: u32,
    index: usize,
    count: usize,
    body: &'a [u8],
}

impl<'a> Fragment<'a> {
    /// Parses a payload. Returns `None` for one that [`fragment`] would not have made.
    fn parse(payload: &'a [u8]) -> Option<Fragment<'a>> {
        let (header, body) = payload.split_at_checked(HEADER_BYTES)?;
        let message_number = u32::from_le_bytes(header.get(..4)?.try_into().ok()?);
        let index = u16::from_le_bytes(header.get(4..6)?.try_into().ok()?) as usize;
        let count = u16::from_le_bytes(header.get(6..8)?.try_into().ok()?) as usize;
        let valid =
            (1..=MAX_FRAGMENTS_PER_MESSAGE).contains(&count) && index < count && body.len() <= MAX_BODY_BYTES;
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

/// Reassembles the messages of each sender from fragments.
///
/// Its memory is bounded: beyond 256 senders the first one by name is dropped, and beyond 8 incomplete messages of a
/// sender the oldest one.
#[derive(Default)]
pub struct Reassembler {
    senders: BTreeMap<String, BTreeMap<u32, PartialMessage>>,
}

impl Reassembler {
    /// Processes one payload.
    ///
    /// Returns the message once all of its fragments have arrived, and `None` until then and for an invalid payload.
    pub fn receive(&mut self, from: &str, payload: &[u8]) -> Option<Vec<u8>> {
        let fragment = Fragment::parse(payload)?;
        if fragment.count == 1 {
            return Some(fragment.body.to_vec());
        }
        let messages = self.messages_of(from);
        if !messages.contains_key(&fragment.message_number)
            && messages.len() >= MAX_PARTIAL_MESSAGES_PER_SENDER
        {
            // Message numbers increase, so that the first one is the oldest.
            messages.pop_first();
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
