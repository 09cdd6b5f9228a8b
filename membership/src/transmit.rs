//! What goes from one member to another.

use crate::member_name::MemberName;
use std::net::SocketAddr;

/// The first byte of a datagram's payload: what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum PayloadKind {
    /// A datagram of SWIM.
    Swim = 0,
    /// The sender leaves; nothing follows.
    Leave = 1,
    /// A message for what is built on top of membership.
    Message = 2,
}

impl PayloadKind {
    /// The kind of a payload, and what follows; none if it is of no known kind.
    pub(crate) fn split(payload: &[u8]) -> Option<(PayloadKind, &[u8])> {
        let (first, body) = payload.split_first()?;
        let kinds = [PayloadKind::Swim, PayloadKind::Leave, PayloadKind::Message];
        let kind = kinds.into_iter().find(|kind| *kind as u8 == *first)?;
        Some((kind, body))
    }

    /// A payload of this kind.
    pub(crate) fn payload(self, body: &[u8]) -> Vec<u8> {
        [&[self as u8], body].concat()
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Where it goes.
    pub destination: SocketAddr,
    /// Its bytes, the envelope included.
    pub contents: Vec<u8>,
}

/// A message of another member for what is built on top of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who sent it.
    pub from: MemberName,
    /// Its bytes.
    pub body: Vec<u8>,
}
