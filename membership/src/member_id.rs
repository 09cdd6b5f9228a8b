//! Gossiped identity of a member.

use crate::member_name::{is_valid_text, MemberName};
use asterrill::Us;
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Identity of one process start of a member.
///
/// The order of the fields is the order of their bytes in a datagram.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the member, unique in a cluster.
    pub name: MemberName,
    /// Address at which others reach the member, which may differ from the address on which it listens.
    pub addr: SocketAddr,
    /// Number that increases with every process start; see [`MemberId::next_generation`].
    pub generation: u64,
    /// Number of times that this process rejoined after the others had declared it dead.
    pub incarnation: u32,
    /// Failure zone of the member, at most 64 bytes; empty if none is configured.
    pub zone: String,
    /// Capacity of the member in a unit that the operator chooses.
    pub capacity: u32,
}

impl MemberId {
    /// Returns the generation of a new process.
    ///
    /// It is greater than the generation of the previous process, if that was persisted, and at least the Unix time in
    /// microseconds. A clock that was set back across a restart therefore does not make the new process look older.
    pub fn next_generation(previous: Option<u64>, wall_clock: Us) -> u64 {
        wall_clock.max(previous.map_or(0, |previous| previous.saturating_add(1)))
    }

    /// Returns a placeholder identity for a peer of which only the address is known, as the target of an announcement.
    pub(crate) fn unknown_at(addr: SocketAddr) -> MemberId {
        MemberId {
            name: MemberName::unknown(),
            addr,
            generation: 0,
            incarnation: 0,
            zone: String::new(),
            capacity: 0,
        }
    }

    /// Returns the precedence. Of two identities with the same name, the one with the greater precedence is current.
    pub(crate) fn precedence(&self) -> (u64, u32) {
        (self.generation, self.incarnation)
    }

    /// Reports whether the name and the zone are valid.
    pub(crate) fn is_valid(&self) -> bool {
        self.name.is_valid() && is_valid_text(&self.zone)
    }
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    /// Returns the identity for rejoining after a false declaration as dead.
    ///
    /// It is the same process with the next incarnation.
    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reports whether this identity wins against another one at the same address.
    ///
    /// The later start wins, and between equals the name that sorts first.
    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        (self.precedence(), Reverse(&self.name)) > (other.precedence(), Reverse(&other.name))
    }
}
