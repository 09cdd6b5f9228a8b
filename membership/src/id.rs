//! Who a member is.

use asterrill::Us;
use foca::Identity;
use serde::de::{self, Deserializer, Visitor};
use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

const NAME: usize = 64; // bytes of a name

/// A member's name: up to 64 bytes without control characters. Shared by all that hold it: a fleet of so many is known by
/// name in a dozen places of each member.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Name(Arc<str>);

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Name;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a name")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Name, E> {
                Ok(Name(text.into()))
            }
        }
        from.deserialize_str(Text)
    }
}

impl Name {
    /// None if it is empty, too long, or holds a control character.
    pub fn new(name: &str) -> Option<Name> {
        let fine = !name.is_empty() && name.len() <= NAME && !name.chars().any(char::is_control);
        fine.then(|| Name(name.into()))
    }
    pub fn as_str(&self) -> &str {
        &self.0
    }
    /// What came over the line may be no name.
    pub(crate) fn fits(&self) -> bool {
        Name::new(&self.0).is_some()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One start of one member.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Id {
    pub name: Name,
    /// Where others reach it, which need not be where it listens.
    pub at: SocketAddr,
    /// Grows with every start: see [`Id::next_start`].
    pub start: u64,
    /// Times that this start came back after it had been taken for failed.
    pub turn: u32,
    /// Where it stands, empty where that is not told.
    pub zone: String,
    /// What it can take, in the operator's own measure.
    pub capacity: u32,
}

impl Id {
    /// The number of a start: later than the one before, as it was kept, and than any by the Unix clock so far. So a
    /// clock that was set back across a restart does not make the restart the older one.
    pub fn next_start(kept: Option<u64>, wall: Us) -> u64 {
        wall.max(kept.map_or(0, |kept| kept.saturating_add(1)))
    }
    /// Someone at an address of whom nothing else is known, to be greeted.
    pub(crate) fn at(at: SocketAddr) -> Id {
        Id { name: Name("?".into()), at, start: 0, turn: 0, zone: String::new(), capacity: 0 }
    }
    /// The order in which starts of one name take each other's place.
    pub(crate) fn rank(&self) -> (u64, u32) {
        (self.start, self.turn)
    }
    pub(crate) fn fits(&self) -> bool {
        self.name.fits() && self.zone.len() <= NAME && !self.zone.chars().any(char::is_control)
    }
}

impl Identity for Id {
    type Addr = SocketAddr;

    /// It had been taken for failed and was not: the same start, one turn later.
    fn renew(&self) -> Option<Id> {
        Some(Id { turn: self.turn.checked_add(1)?, ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.at
    }
    /// Two at one address: the later start, and among equals the name that comes first.
    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.rank(), std::cmp::Reverse(&self.name)) > (other.rank(), std::cmp::Reverse(&other.name))
    }
}
