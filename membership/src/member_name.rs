//! Member names.

use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Maximum size of a member name and of a zone.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Placeholder for the name of a peer of which only the address is known.
const UNKNOWN_NAME: &str = "?";

/// Name of a member: 1 to 64 bytes without control characters.
///
/// All clones share one string, because a member stores the name of each other member in a dozen places.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct MemberName(Arc<str>);

impl MemberName {
    /// Creates a name. Returns none if it is empty, longer than 64 bytes, or contains a control character.
    pub fn new(name: &str) -> Option<MemberName> {
        is_valid(name).then(|| MemberName(name.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the placeholder for the name of a peer of which only the address is known.
    pub(crate) fn unknown() -> MemberName {
        MemberName(UNKNOWN_NAME.into())
    }

    /// Reports whether the name is valid.
    ///
    /// Decoding does not check names, so that one invalid name does not hide the rest of a datagram from the counters.
    pub(crate) fn is_valid(&self) -> bool {
        is_valid(&self.0)
    }
}

fn is_valid(name: &str) -> bool {
    !name.is_empty() && is_valid_text(name)
}

/// Reports whether a text from a peer is short enough and has no control characters.
pub(crate) fn is_valid_text(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for MemberName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for MemberName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MemberName, D::Error> {
        deserializer.deserialize_str(NameVisitor)
    }
}

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = MemberName;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<MemberName, E> {
        Ok(MemberName(text.into()))
    }
}
