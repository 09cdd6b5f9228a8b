//! The agreed lists: which lists exist, and what an entry says about the tenant, caller or method that it names.

use serde::{Deserialize, Serialize};

/// Which of the three agreed lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListKind {
    /// Keys are tenant names.
    Tenants,
    /// Keys are caller numbers in decimal, see [`caller_key`].
    Callers,
    /// Keys are method names.
    Methods,
}

impl ListKind {
    /// Every list, in the order in which versions are encoded.
    pub const ALL: [ListKind; 3] = [ListKind::Tenants, ListKind::Callers, ListKind::Methods];

    /// The name that operators use for the list.
    pub fn name(self) -> &'static str {
        match self {
            ListKind::Tenants => "tenants",
            ListKind::Callers => "callers",
            ListKind::Methods => "methods",
        }
    }

    /// The list that operators call by this name.
    pub fn from_name(name: &str) -> Option<ListKind> {
        ListKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// What an entry says about the key that it names. A key without an entry is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    /// Explicitly allowed. This can be revoked, so it only counts while the node holds a lease.
    Allowed,
    /// Denied, with or without a lease.
    Denied,
}

/// One entry of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListEntry {
    /// What the entry says.
    pub access: Access,
    /// When the entry expires, in microseconds of the Unix clock; 0 for never. The leader proposes the removal, once for
    /// the whole fleet: no node compares this with its own clock when it decides about a request.
    pub expires_at: u64,
}

/// Longest decimal form of a caller number, in bytes.
pub const MAX_CALLER_DIGITS: usize = 20;

/// The key of a caller in [`ListKind::Callers`]: its number in decimal, written into `buffer` without allocating.
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
