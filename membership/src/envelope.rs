//! The envelope of a datagram: version, cluster, sender, its start, a number, a keyed hash (BLAKE3, keyed mode, 16
//! bytes of it) over all of it. Whatever does not fit is dropped before anything else reads it.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

const VERSION: u8 = 1;
const HEAD: usize = 1 + 8 * 4; // version, cluster, sender, start, number
const MAC: usize = 16;
const SENDERS: usize = 4096; // whose numbers are remembered
const WINDOW: u64 = 128; // numbers behind the highest that may still come, as datagrams overtake each other

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    Short,
    OtherVersion,
    OtherCluster,
    /// Its hash is not that of the key.
    Forged,
    /// It came before, is too old to tell, or is of an earlier start of its sender.
    Replayed,
}

/// What is known of one sender's numbers.
struct Seen {
    start: u64,
    highest: u64,
    /// Of the numbers up to 127 below the highest, those that came.
    came: u128,
    /// For making room: the one heard longest ago goes.
    heard: u64,
}

/// Seals what is sent and opens what comes.
pub struct Seal {
    key: [u8; 32],
    cluster: u64,
    sender: u64,
    start: u64,
    next: u64,
    seen: BTreeMap<u64, Seen>,
    clock: u64,
}

impl Seal {
    /// `secret`: what all members share; `cluster`: its name; `name` and `start`: of this member.
    pub fn new(secret: &[u8], cluster: &str, name: &str, start: u64) -> Seal {
        let key = blake3::derive_key("asterrill membership datagrams 1", secret);
        let (cluster, sender) = (xxh3_64(cluster.as_bytes()), xxh3_64(name.as_bytes()));
        Seal { key, cluster, sender, start, next: 0, seen: BTreeMap::new(), clock: 0 }
    }
    /// The number by which a member's datagrams are known.
    pub fn number(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }

    pub fn seal(&mut self, payload: &[u8]) -> Vec<u8> {
        self.next += 1;
        let mut bytes = Vec::with_capacity(HEAD + MAC + payload.len());
        bytes.push(VERSION);
        for part in [self.cluster, self.sender, self.start, self.next] {
            bytes.extend_from_slice(&part.to_le_bytes());
        }
        bytes.extend_from_slice(payload);
        let mac = blake3::keyed_hash(&self.key, &bytes);
        bytes.splice(HEAD..HEAD, mac.as_bytes()[..MAC].iter().copied());
        bytes
    }

    /// The sender's number and start, and the payload.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<(u64, u64, &'a [u8]), Dropped> {
        let (Some(head), Some(mac), Some(payload)) =
            (bytes.get(..HEAD), bytes.get(HEAD..HEAD + MAC), bytes.get(HEAD + MAC..))
        else {
            return Err(Dropped::Short);
        };
        let part = |n: usize| {
            let from = 1 + 8 * n;
            head.get(from..from + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes)
        };
        if head[0] != VERSION {
            return Err(Dropped::OtherVersion);
        }
        if part(0) != self.cluster {
            return Err(Dropped::OtherCluster);
        }
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(head).update(payload);
        let whole = hasher.finalize();
        // Compared in constant time: all bytes, whatever differs first.
        let differs = whole.as_bytes()[..MAC].iter().zip(mac).fold(0, |sum, (a, b)| sum | (a ^ b));
        if differs != 0 {
            return Err(Dropped::Forged);
        }
        let (sender, start, number) = (part(1), part(2), part(3));
        if !self.fresh(sender, start, number) {
            return Err(Dropped::Replayed);
        }
        Ok((sender, start, payload))
    }

    fn fresh(&mut self, sender: u64, start: u64, number: u64) -> bool {
        self.clock += 1;
        let heard = self.clock;
        if !self.seen.contains_key(&sender) && self.seen.len() >= SENDERS {
            let oldest = self.seen.iter().min_by_key(|(_, seen)| seen.heard).map(|(sender, _)| *sender);
            if let Some(oldest) = oldest {
                self.seen.remove(&oldest);
            }
        }
        let seen = self.seen.entry(sender).or_insert(Seen { start, highest: 0, came: 0, heard });
        if start < seen.start {
            return false;
        }
        if start > seen.start {
            *seen = Seen { start, highest: 0, came: 0, heard };
        }
        seen.heard = heard;
        if number > seen.highest {
            let by = number - seen.highest;
            seen.came = if by >= WINDOW { 1 } else { seen.came << by | 1 };
            seen.highest = number;
            return true;
        }
        let back = seen.highest - number;
        if number == 0 || back >= WINDOW || seen.came >> back & 1 == 1 {
            return false;
        }
        seen.came |= 1 << back;
        true
    }
}
