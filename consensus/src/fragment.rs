//! Messages longer than a datagram, in pieces.

use std::collections::BTreeMap;

const PIECE: usize = 1_000; // bytes
const PIECES: usize = 512; // of a message
const HALF: usize = 8; // messages of one sender that have come in part
const SENDERS: usize = 256;

/// A message as payloads, each of which fits a datagram. None if it is too long.
pub fn split(number: u32, bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let count = bytes.len().div_ceil(PIECE).max(1);
    if count > PIECES {
        return None;
    }
    let head = |at: usize| {
        [&number.to_le_bytes()[..], &(at as u16).to_le_bytes(), &(count as u16).to_le_bytes()].concat()
    };
    let all = (0..count).map(|at| {
        let body = bytes.get(at * PIECE..((at + 1) * PIECE).min(bytes.len())).unwrap_or(&[]);
        [head(at), body.to_vec()].concat()
    });
    Some(all.collect())
}

struct Half {
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
}

/// What has come in part, of each sender.
#[derive(Default)]
pub struct Pieces(BTreeMap<String, BTreeMap<u32, Half>>);

impl Pieces {
    /// Takes a payload in; the message, once it is whole.
    pub fn take(&mut self, from: &str, payload: &[u8]) -> Option<Vec<u8>> {
        let (head, body) = payload.split_at_checked(8)?;
        let number = u32::from_le_bytes(head.get(..4)?.try_into().ok()?);
        let at = u16::from_le_bytes(head.get(4..6)?.try_into().ok()?) as usize;
        let count = u16::from_le_bytes(head.get(6..8)?.try_into().ok()?) as usize;
        if count == 0 || count > PIECES || at >= count || body.len() > PIECE {
            return None;
        }
        if count == 1 {
            return Some(body.to_vec());
        }
        if !self.0.contains_key(from) && self.0.len() >= SENDERS {
            self.0.pop_first();
        }
        let all = self.0.entry(from.into()).or_default();
        if !all.contains_key(&number) && all.len() >= HALF {
            all.pop_first(); // numbers grow: the one that has waited for longest
        }
        let half = all.entry(number).or_insert_with(|| Half { parts: vec![None; count], missing: count });
        let slot = half.parts.get_mut(at)?;
        half.missing -= usize::from(slot.is_none());
        *slot = Some(body.to_vec());
        if half.missing > 0 {
            return None;
        }
        let half = all.remove(&number)?;
        Some(half.parts.into_iter().flatten().flatten().collect())
    }
}
