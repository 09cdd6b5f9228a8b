//! Time, and the ids of RPCs, methods and callers.

use std::fmt;

/// A point in time or a duration, in whole microseconds. The clock is monotonic and has no particular origin; as
/// a duration it is never negative. The short name is kept because nearly every signature has one.
pub type Us = u64;

/// Longest RPC id in bytes: a UUID in text form.
const MAX_ID_LEN: usize = 36;

/// The id of one RPC: up to 36 bytes of text, stored inline and given back as it came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId([u8; MAX_ID_LEN]);

impl RpcId {
    /// Sorts before all other ids.
    pub const MIN: RpcId = RpcId([0; MAX_ID_LEN]);
    /// Sorts after all other ids.
    pub const MAX: RpcId = RpcId([0xff; MAX_ID_LEN]);

    /// An id of at most 36 bytes; `None` for a longer one.
    pub fn new(name: &str) -> Option<RpcId> {
        let mut bytes = [0; MAX_ID_LEN];
        bytes.get_mut(..name.len())?.copy_from_slice(name.as_bytes());
        Some(RpcId(bytes))
    }

    /// The id whose text is the number in 16 hex digits.
    pub fn from_number(number: u64) -> RpcId {
        let mut bytes = [0; MAX_ID_LEN];
        for (i, byte) in bytes.iter_mut().take(16).enumerate() {
            *byte = b"0123456789abcdef"[(number >> (60 - 4 * i) & 15) as usize];
        }
        RpcId(bytes)
    }

    /// The text as it came.
    pub fn as_str(&self) -> &str {
        let end = self.0.iter().position(|byte| *byte == 0).unwrap_or(MAX_ID_LEN);
        std::str::from_utf8(&self.0[..end]).unwrap_or("")
    }
}

impl fmt::Debug for RpcId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The index of a method in the list given at start, or of one staged later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MethodId(pub usize);

/// The number of a caller: a client process or a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);
