//! Time, and the identifiers of RPCs, methods and callers.

use std::fmt;

/// A point in time or a duration, in whole microseconds.
///
/// The clock is monotonic and has an arbitrary origin. A duration is never negative. The name is short because most
/// signatures contain it.
pub type Us = u64;

/// Maximum length of an RPC id: that of a UUID in text form.
const MAX_ID_BYTES: usize = 36;

/// The id of one RPC: up to 36 bytes of text, stored inline and returned unchanged.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RpcId([u8; MAX_ID_BYTES]);

impl RpcId {
    /// The id that sorts before all others.
    pub const MIN: RpcId = RpcId([0; MAX_ID_BYTES]);
    /// The id that sorts after all others.
    pub const MAX: RpcId = RpcId([0xff; MAX_ID_BYTES]);

    /// Creates an id from at most 36 bytes of text. Returns `None` for longer text.
    pub fn new(text: &str) -> Option<RpcId> {
        let mut bytes = [0; MAX_ID_BYTES];
        bytes.get_mut(..text.len())?.copy_from_slice(text.as_bytes());
        Some(RpcId(bytes))
    }

    /// Creates the id whose text is the number in 16 hexadecimal digits.
    pub fn from_number(number: u64) -> RpcId {
        let mut bytes = [0; MAX_ID_BYTES];
        for (i, byte) in bytes.iter_mut().take(16).enumerate() {
            *byte = b"0123456789abcdef"[(number >> (60 - 4 * i) & 15) as usize];
        }
        RpcId(bytes)
    }

    /// Returns the text that the id was created from.
    pub fn as_str(&self) -> &str {
        let end = self.0.iter().position(|byte| *byte == 0).unwrap_or(MAX_ID_BYTES);
        std::str::from_utf8(&self.0[..end]).unwrap_or("")
    }
}

impl fmt::Debug for RpcId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The index of a method in the list given at start, or of a method staged later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MethodId(pub usize);

/// The number of a caller: a client process or a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// The sender of an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The account that is charged. A front end derives it from what the sender can't choose, such as its connection;
    /// otherwise a sender gets as many accounts, each with a share of the server, as it makes up numbers.
    pub account: CallerId,
    /// The number that the sender states. Accounts with the same number count as one caller when the credit for each caller
    /// is published; a sender that lies about it changes nothing but that count, by one for each of its accounts.
    pub stated: CallerId,
}

impl From<CallerId> for Caller {
    /// Returns a sender whose stated number is known to be true.
    fn from(caller: CallerId) -> Caller {
        Caller { account: caller, stated: caller }
    }
}
