//! Status transitions that SWIM reports, and other processes with this member's name.

use crate::config::MAX_MEMBERS;
use crate::event::Event;
use crate::member::{Member, MemberStatus, StatusReason};
use crate::member_id::MemberId;
use crate::state::Membership;
use crate::swim::{is_ping, SwimActions};
use crate::transmit::{PayloadKind, Transmit};
use foca::Timer;
use std::net::SocketAddr;

/// Maximum number of unanswered probes whose send times are stored to measure round-trip times.
const MAX_PENDING_PINGS: usize = MAX_MEMBERS;

impl Membership {
    /// Encodes a payload in an envelope and queues the datagram for sending.
    pub(crate) fn send(&mut self, destination: SocketAddr, payload: &[u8]) {
        let contents = self.codec.encode(payload);
        self.counters.sent += 1;
        self.counters.sent_bytes += contents.len() as u64;
        self.outgoing.push(Transmit { destination, contents });
    }

    /// Performs the actions that `foca` requested, and records what it reported.
    pub(crate) fn apply_swim_actions(&mut self, actions: SwimActions) {
        for (to, datagram) in actions.datagrams {
            self.send_swim(&to, &datagram);
        }
        for (timer, delay) in actions.timers {
            if let Timer::ChangeSuspectToDown { member_id, .. } = &timer {
                self.possible_suspects.insert(member_id.name.clone());
            }
            self.timers.schedule(self.now + delay, timer);
        }
        for (before, after) in &actions.replaced {
            if before.name != after.name {
                self.mark_dead(before);
            }
            self.mark_alive(after);
        }
        actions.up.iter().for_each(|id| self.mark_alive(id));
        actions.down.iter().for_each(|id| self.mark_dead(id));
        if actions.declared_dead {
            self.events.push(Event::Rejoined);
            self.lease.revoke();
        }
    }

    fn send_swim(&mut self, to: &MemberId, datagram: &[u8]) {
        if is_ping(datagram) {
            if self.pinged_at.len() >= MAX_PENDING_PINGS {
                self.pinged_at.clear();
            }
            self.pinged_at.insert(to.name.clone(), self.now);
        }
        self.send(to.addr, &PayloadKind::Swim.payload(datagram));
    }

    fn mark_alive(&mut self, id: &MemberId) {
        if id.name == self.local.name || !id.name.is_valid() {
            return;
        }
        self.changed.insert(id.name.clone());
        let mut member = Member::new(id.clone(), MemberStatus::Alive, StatusReason::Alive, self.now);
        if let Some(before) = self.members.get(&id.name) {
            // An earlier process start never replaces a later one, even from another address.
            if before.id.precedence() > id.precedence() {
                return;
            }
            member.last_heard = before.last_heard;
            member.flaps = before.flaps;
            member.flaps.record(self.now, self.config.flap_window, before.status == MemberStatus::Dead);
            member.damped = before.damped || member.flaps.reaches_damping_threshold();
            if member.damped && !before.damped {
                self.flapping.insert(id.name.clone());
                self.events.push(Event::Flapping { name: id.name.clone() });
            }
        }
        self.members.insert(id.name.clone(), member);
        self.events.push(Event::Alive { name: id.name.clone(), addr: id.addr, generation: id.generation });
    }

    fn mark_dead(&mut self, id: &MemberId) {
        let Some(member) = self.members.get_mut(&id.name) else { return };
        if member.id.precedence() > id.precedence() || member.is_dead_or_left() {
            return;
        }
        member.set_status(MemberStatus::Dead, StatusReason::Unreachable, self.now);
        self.changed.insert(id.name.clone());
        self.events.push(Event::Dead { name: id.name.clone() });
    }

    /// Reports whether an identity is that of another process with this member's name.
    ///
    /// An earlier generation at this member's own address is its previous process and no duplicate.
    pub(crate) fn is_duplicate(&self, id: &MemberId) -> bool {
        id.name == self.local.name
            && id.generation != self.local.generation
            && (id.generation > self.local.generation || id.addr != self.local.addr)
    }

    /// Resolves a duplicate name. Returns true if this process is displaced.
    ///
    /// The process that started later remains a member, and the earlier one is displaced.
    pub(crate) fn resolve_duplicate(&mut self, duplicate: &MemberId) -> bool {
        let displaced = duplicate.generation > self.local.generation;
        let reported = self.members.get(&duplicate.name);
        if reported.is_none_or(|member| member.id.generation != duplicate.generation) {
            self.events.push(Event::DuplicateName { addr: duplicate.addr, displaced });
            let reason = StatusReason::DuplicateName;
            let mut member = Member::new(duplicate.clone(), MemberStatus::Dead, reason, self.now);
            member.damped = true;
            self.members.insert(duplicate.name.clone(), member);
        }
        if displaced {
            self.displaced = true;
            self.timers.clear();
            self.outgoing.clear();
            self.lease.revoke();
        }
        displaced
    }
}
