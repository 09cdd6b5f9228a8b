//! Kinds and names of entries.

use std::sync::Arc;

/// The name of a method or tenant: 1 to [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES) bytes, shared by all versions that
/// contain it.
pub type Name = Arc<str>;

/// The kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKind {
    /// A method that clients call.
    Method,
    /// A tenant with a quota.
    Tenant,
}

impl EntryKind {
    /// Returns the keyword of the kind in steps: `method` or `tenant`.
    pub fn keyword(self) -> &'static str {
        match self {
            EntryKind::Method => "method",
            EntryKind::Tenant => "tenant",
        }
    }

    /// Returns the key of the list of entries of this kind in the platform's settings.
    pub fn list_key(self) -> &'static str {
        match self {
            EntryKind::Method => "Categories",
            EntryKind::Tenant => "Tenants",
        }
    }
}
