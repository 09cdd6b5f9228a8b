//! The identity of a member, as it is gossiped.

use crate::member_name::{is_valid_text, MemberName};
use asterrill::Us;
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// One process start of one member. The order of the fields is that of their bytes in a datagram.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MemberId {
    /// Unique among the members of a cluster.
    pub name: MemberName,
    /// Where others reach it, which need not be where it listens.
    pub addr: SocketAddr,
    /// Grows with every process start: see [`MemberId::next_generation`].
    pub generation: u64,
    /// Times that this process rejoined after the others had declared it dead.
    pub incarnation: u32,
    /// Its failure zone, at most 64 bytes; empty where none is configured.
    pub zone: String,
    /// Its capacity, in a unit of the operator's choice.
    pub capacity: u32,
}

impl MemberId {
    /// The generation of a new process: greater than that of the process before, if it was persisted, and at least the
    /// Unix clock in microseconds. So a clock that was set back across a restart does not make the new process look
    /// older.
    pub fn next_generation(previous: Option<u64>, wall_clock: Us) -> u64 {
        wall_clock.max(previous.map_or(0, |previous| previous.saturating_add(1)))
    }

    /// A peer of which only the address is known, to be sent an announcement.
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

    /// Of two identities with one name the one with the greater precedence is current.
    pub(crate) fn precedence(&self) -> (u64, u32) {
        (self.generation, self.incarnation)
    }

    /// Whether the texts in it are such as a member may send.
    pub(crate) fn is_valid(&self) -> bool {
        self.name.is_valid() && is_valid_text(&self.zone)
    }
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    /// Declared dead by mistake: the same process with the next incarnation.
    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Of two at one address the later start wins, and among equals the name that sorts first.
    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        (self.precedence(), Reverse(&self.name)) > (other.precedence(), Reverse(&other.name))
    }
}
