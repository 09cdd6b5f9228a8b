//! Kinds of replicated lists, and their entries for tenants, callers and methods.

use serde::{Deserialize, Serialize};

/// One of the three replicated lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListKind {
    /// List whose keys are tenant names.
    Tenants,
    /// List whose keys are caller numbers in decimal, see [`caller_key`].
    Callers,
    /// List whose keys are method names.
    Methods,
}

impl ListKind {
    /// All lists, in the order in which versions are encoded.
    pub const ALL: [ListKind; 3] = [ListKind::Tenants, ListKind::Callers, ListKind::Methods];

    /// Returns the name of the list in operator commands and output.
    pub fn name(self) -> &'static str {
        match self {
            ListKind::Tenants => "tenants",
            ListKind::Callers => "callers",
            ListKind::Methods => "methods",
        }
    }

    /// Returns the list with this name in operator commands and output.
    pub fn from_name(name: &str) -> Option<ListKind> {
        ListKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Access that an entry gives to its key. Requests for a key without an entry are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// Explicit permission. It can be revoked, so it only takes effect while the node holds a lease.
    Allowed,
    /// Denial, which takes effect with or without a lease.
    Denied,
}

/// One entry of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListEntry {
    /// Access that the entry gives to its key.
    pub access: Access,
    /// Expiry time, in microseconds of the Unix clock; 0 if the entry never expires.
    ///
    /// The leader proposes the removal, once for the whole fleet. No node compares this time with its own clock when it
    /// decides about a request.
    pub expires_at: u64,
}

/// Maximum length of a caller number in decimal, in bytes.
pub const MAX_CALLER_DIGITS: usize = 20;

/// Returns the key of a caller in [`ListKind::Callers`]: its number in decimal.
///
/// The key is written into `buffer`, without allocating.
pub fn caller_key(number: u64, buffer: &mut [u8; MAX_CALLER_DIGITS]) -> &str {
    let mut start = MAX_CALLER_DIGITS;
    let mut rest = number;
    loop {
        start -= 1;
        if let Some(digit) = buffer.get_mut(start) {
            *digit = b'0' + (rest % 10) as u8;
        }
        rest /= 10;
        if rest == 0 || start == 0 {
            break;
        }
    }
    buffer.get(start..).and_then(|digits| std::str::from_utf8(digits).ok()).unwrap_or("")
}
