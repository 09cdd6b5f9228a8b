//! Adapter to `foca`, which implements SWIM: decoding of its datagrams, and collection of the actions it requests.

use crate::member_id::MemberId;
use crate::member_name::MemberName;
use asterrill::Us;
use bytes::Buf;
use foca::{Codec, Header, Message, Notification, PostcardCodec, Runtime, State, Timer};
use std::time::Duration;

/// Decoded datagram of `foca`. Datagrams are decoded before `foca` handles them, so that it receives no invalid ones.
pub(crate) struct SwimDatagram {
    header: Header<MemberId>,
    updates: Vec<foca::Member<MemberId>>,
}

impl SwimDatagram {
    /// Decodes a datagram. Returns none if it is malformed or contains an invalid identity.
    pub(crate) fn decode(mut bytes: &[u8]) -> Option<SwimDatagram> {
        let header: Header<MemberId> = PostcardCodec.decode_header(&mut bytes).ok()?;
        let mut updates = Vec::new();
        if bytes.remaining() >= 2 {
            for _ in 0..bytes.get_u16() {
                let member: foca::Member<MemberId> = PostcardCodec.decode_member(&mut bytes).ok()?;
                updates.push(member);
            }
        }
        let valid = header.src.is_valid() && updates.iter().all(|update| update.id().is_valid());
        (valid && bytes.is_empty()).then_some(SwimDatagram { header, updates })
    }

    /// Returns the sender that the datagram claims.
    pub(crate) fn source(&self) -> &MemberId {
        &self.header.src
    }

    /// Returns all identities in the datagram, the source first.
    pub(crate) fn identities(&self) -> impl Iterator<Item = &MemberId> {
        std::iter::once(&self.header.src).chain(self.updates.iter().map(foca::Member::id))
    }

    /// Returns the members that the sender suspects.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &MemberName> {
        let suspected = self.updates.iter().filter(|update| update.state() == State::Suspect);
        suspected.map(|update| &update.id().name)
    }

    /// Reports whether the datagram answers a direct probe.
    pub(crate) fn is_ack(&self) -> bool {
        matches!(self.header.message, Message::Ack(_))
    }
}

/// Reports whether an outgoing datagram of `foca` is a direct probe.
pub(crate) fn is_ping(bytes: &[u8]) -> bool {
    let header: Result<Header<MemberId>, _> = PostcardCodec.decode_header(bytes);
    header.is_ok_and(|header| matches!(header.message, Message::Ping(_)))
}

/// Actions that one call of `foca` requests, and notifications that it emits.
#[derive(Default)]
pub(crate) struct SwimActions {
    pub(crate) datagrams: Vec<(MemberId, Vec<u8>)>,
    /// Timers and the delays in microseconds after which they expire.
    pub(crate) timers: Vec<(Timer<MemberId>, Us)>,
    pub(crate) up: Vec<MemberId>,
    pub(crate) down: Vec<MemberId>,
    /// Pairs of identities at one address: the earlier one, and the one that replaced it.
    pub(crate) replaced: Vec<(MemberId, MemberId)>,
    /// True if the other members had declared this one dead.
    pub(crate) declared_dead: bool,
}

impl Runtime<MemberId> for &mut SwimActions {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::MemberUp(id) => self.up.push(id.clone()),
            Notification::MemberDown(id) => self.down.push(id.clone()),
            Notification::Rename(before, after) => self.replaced.push((before.clone(), after.clone())),
            Notification::Defunct | Notification::Rejoin(_) => self.declared_dead = true,
            Notification::Active | Notification::Idle => {}
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((event, after.as_micros() as Us));
    }
}
