//! Checks and dispatch of received datagrams.

use crate::config::MAX_MEMBERS;
use crate::envelope::{EnvelopeCodec, EnvelopeError};
use crate::event::Event;
use crate::member::{MemberStatus, StatusReason};
use crate::member_id::MemberId;
use crate::member_name::MemberName;
use crate::state::Membership;
use crate::swim::{SwimActions, SwimDatagram};
use crate::transmit::{Message, PayloadKind};
use asterrill::Us;
use std::net::SocketAddr;

/// Maximum number of queued messages; beyond it new ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 4_096;

impl Membership {
    /// Processes a datagram received from an address.
    ///
    /// The contents of a datagram can change only what this member knows about the cluster.
    pub fn handle_datagram(&mut self, now: Us, from: SocketAddr, bytes: &[u8]) {
        if self.is_finished() {
            return;
        }
        // This may be the first input after a pause, which has to be detected before the datagram is processed.
        self.advance_clock(now);
        if !self.rate_limiter.allows(self.now, from) {
            self.counters.rate_limited += 1;
            return;
        }
        let envelope = match self.codec.decode(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return self.count_dropped(error),
        };
        let (sender, generation) = (envelope.sender, envelope.generation);
        match PayloadKind::split(envelope.payload) {
            Some((PayloadKind::Swim, body)) => self.handle_swim(sender, generation, body),
            Some((PayloadKind::Leave, _)) => self.handle_leave(sender, generation),
            Some((PayloadKind::Message, body)) => self.handle_message(sender, generation, body),
            None => self.counters.malformed += 1,
        }
        self.update_view_and_quota();
    }

    fn count_dropped(&mut self, error: EnvelopeError) {
        let counter = match error {
            EnvelopeError::TooShort => &mut self.counters.too_short,
            EnvelopeError::UnsupportedVersion | EnvelopeError::OtherCluster => &mut self.counters.foreign,
            EnvelopeError::BadMac => &mut self.counters.bad_mac,
            EnvelopeError::Replayed => &mut self.counters.replayed,
        };
        *counter += 1;
    }

    fn handle_swim(&mut self, sender: u64, generation: u64, bytes: &[u8]) {
        let datagram = SwimDatagram::decode(bytes);
        // A sender may only send SWIM datagrams under its own name and generation.
        let Some(datagram) = datagram.filter(|datagram| is_from(datagram.source(), sender, generation))
        else {
            self.counters.malformed += 1;
            return;
        };
        let duplicate = datagram.identities().find(|id| self.is_duplicate(id));
        if duplicate.is_some_and(|id| self.resolve_duplicate(id)) {
            return;
        }
        if !self.has_room_for(&datagram) {
            self.counters.over_capacity += 1;
            return;
        }
        self.counters.accepted += 1;
        let source = datagram.source();
        if self.senders.get(&sender) != Some(&source.name) {
            self.senders.insert(sender, source.name.clone());
        }
        self.possible_suspects.extend(datagram.suspects().cloned());
        let mut actions = SwimActions::default();
        if self.foca.handle_data(bytes, &mut actions).is_err() {
            self.counters.malformed += 1;
        }
        self.apply_swim_actions(actions);
        let pinged_at = if datagram.is_ack() { self.pinged_at.remove(&source.name) } else { None };
        self.record_heard(source, pinged_at);
        self.revalidate(pinged_at.map(|_| &source.name));
    }

    /// Reports whether the members that a datagram names fit into the table.
    fn has_room_for(&self, datagram: &SwimDatagram) -> bool {
        let new = datagram.identities().filter(|id| !self.members.contains_key(&id.name)).count();
        self.foca.iter_membership_state().len() + new <= MAX_MEMBERS
    }

    fn record_heard(&mut self, source: &MemberId, pinged_at: Option<Us>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&source.name) else { return };
        if member.id.generation != source.generation {
            return;
        }
        member.last_heard = Some(now);
        member.round_trip = pinged_at.map(|pinged_at| now - pinged_at).or(member.round_trip);
        if member.id.addr != source.addr {
            member.id.addr = source.addr;
        }
    }

    /// Records that a member answered a probe, and ends the revalidation after a pause once a majority has.
    ///
    /// No quota is used before that. Only the answer to a probe sent since the pause proves that a member is reachable;
    /// a datagram that was queued during the pause does not.
    fn revalidate(&mut self, answered: Option<&MemberName>) {
        let size = self.quorum.agreed_size();
        let Some(revalidated_by) = &mut self.revalidated_by else { return };
        revalidated_by.extend(answered.cloned());
        if 2 * (revalidated_by.len() + 1) > size {
            self.revalidated_by = None;
        }
    }

    /// Returns the name of the member that sent an envelope, if it is in the table with that generation.
    fn sender_name(&self, sender: u64, generation: u64) -> Option<&MemberName> {
        let name = self.senders.get(&sender)?;
        let member = self.members.get(name)?;
        (member.id.generation == generation).then_some(name)
    }

    fn handle_message(&mut self, sender: u64, generation: u64, body: &[u8]) {
        match self.sender_name(sender, generation).cloned() {
            None => self.counters.malformed += 1,
            Some(_) if self.messages.len() >= MAX_QUEUED_MESSAGES => self.counters.over_capacity += 1,
            Some(from) => self.messages.push_back(Message { from, body: body.to_vec() }),
        }
    }

    fn handle_leave(&mut self, sender: u64, generation: u64) {
        let Some(name) = self.sender_name(sender, generation).cloned() else { return };
        let Some(member) = self.members.get_mut(&name) else { return };
        self.counters.accepted += 1;
        if member.status == MemberStatus::Left {
            return;
        }
        member.set_status(MemberStatus::Left, StatusReason::LeaveAnnounced, self.now);
        let down = foca::Member::down(member.id.clone());
        self.changed.insert(name.clone());
        self.quorum.remove_departed(&name);
        self.events.push(Event::Left { name });
        let mut actions = SwimActions::default();
        // An error means that foca does not have this identity, so there is nothing to mark as down.
        self.foca.apply_many(std::iter::once(down), false, &mut actions).unwrap_or_default();
        self.apply_swim_actions(actions);
    }
}

fn is_from(source: &MemberId, sender: u64, generation: u64) -> bool {
    EnvelopeCodec::sender_id(source.name.as_str()) == sender && source.generation == generation
}
