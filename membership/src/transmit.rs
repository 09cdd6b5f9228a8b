//! Datagrams, payloads and messages between members.

use crate::member_name::MemberName;
use std::net::SocketAddr;

/// Kind of a datagram's payload, encoded as its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum PayloadKind {
    /// A SWIM datagram follows.
    Swim = 0,
    /// The sender leaves; the payload has no body.
    Leave = 1,
    /// A message for a layer above membership follows.
    Message = 2,
}

impl PayloadKind {
    /// Returns the kind and the body of a payload, or none if the kind is unknown.
    pub(crate) fn split(payload: &[u8]) -> Option<(PayloadKind, &[u8])> {
        let (first, body) = payload.split_first()?;
        let kinds = [PayloadKind::Swim, PayloadKind::Leave, PayloadKind::Message];
        let kind = kinds.into_iter().find(|kind| *kind as u8 == *first)?;
        Some((kind, body))
    }

    /// Returns a payload of this kind with the given body.
    pub(crate) fn payload(self, body: &[u8]) -> Vec<u8> {
        [&[self as u8], body].concat()
    }
}

/// Datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Destination address.
    pub destination: SocketAddr,
    /// Bytes of the datagram, including the envelope.
    pub contents: Vec<u8>,
}

/// Message from another member for a layer above membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Name of the sender.
    pub from: MemberName,
    /// Bytes of the message.
    pub body: Vec<u8>,
}
