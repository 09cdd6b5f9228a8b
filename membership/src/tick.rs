//! Time: timers, pauses of this process, and announcements to members that are missing.

use crate::event::Event;
use crate::member_id::MemberId;
use crate::state::Membership;
use crate::swim::SwimActions;
use asterrill::Us;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A wakeup up to so late is a busy machine, not a pause.
const SCHEDULING_TOLERANCE_US: Us = 20_000;
/// Addresses that are announced to at a time.
const ANNOUNCEMENTS_PER_ROUND: usize = 2;
/// Announcements are 0.75 to 1.25 of their interval apart, so that members don't announce in step.
const ANNOUNCE_JITTER_MIN: f64 = 0.75;
const ANNOUNCE_JITTER_RANGE: f64 = 0.5;

impl Membership {
    /// Time has passed. Datagrams that waited are handed in before.
    pub fn tick(&mut self, now: Us) {
        if self.is_finished() {
            return;
        }
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            let mut actions = SwimActions::default();
            // A timer of a member that is gone meanwhile does nothing.
            self.foca.handle_timer(timer, &mut actions).unwrap_or_default();
            self.apply_swim_actions(actions);
        }
        if self.now >= self.next_announce {
            self.announce_to_missing();
        }
        self.update_member_table();
        self.update_view_and_quota();
    }

    /// A wakeup that comes late means that this process was paused or starved: what it did not hear is its own fault.
    pub(crate) fn advance_clock(&mut self, now: Us) {
        let expected = self.next_wakeup();
        let late = now.saturating_sub(expected);
        self.now = self.now.max(now);
        let has_deadline = expected > 0 && expected != Us::MAX;
        if has_deadline && late > SCHEDULING_TOLERANCE_US + self.config.probe_timeout() {
            self.handle_pause(late);
        }
    }

    /// This member doubts itself before it accuses others: all that it waits for gets that much more time.
    fn handle_pause(&mut self, duration: Us) {
        self.counters.pauses += 1;
        self.next_announce = self.now;
        self.pinged_at.clear();
        self.timers.postpone_all(duration);
        if duration > self.config.suspicion_timeout {
            // The others may have declared it dead by now, and use its quota.
            self.revalidated_by = Some(BTreeSet::new());
            self.lease.revoke();
            self.events.push(Event::Paused { duration });
        }
    }

    /// Guards against sides of a healed partition that have forgotten each other, and a start at which all contacts are
    /// dead. The cost: a datagram now and then to somebody who is not there.
    fn announce_to_missing(&mut self) {
        let jitter = ANNOUNCE_JITTER_MIN + ANNOUNCE_JITTER_RANGE * self.rng.random::<f64>();
        self.next_announce = self.now + (self.config.announce_interval as f64 * jitter) as Us;
        // No two members of foca have one address.
        let active = self.foca.num_members();
        if active > 0 && active + 1 >= self.quorum.agreed_size() {
            return;
        }
        let missing = self.missing_addresses();
        if missing.is_empty() {
            return;
        }
        for _ in 0..ANNOUNCEMENTS_PER_ROUND {
            let addr = missing[self.rng.random_range(0..missing.len())];
            let mut actions = SwimActions::default();
            // An announcement that could not be encoded is as one that was lost: others follow.
            self.foca.announce(MemberId::unknown_at(addr), &mut actions).unwrap_or_default();
            self.apply_swim_actions(actions);
        }
    }

    /// Addresses of contacts and members at which foca has no active member, in their order, each once.
    fn missing_addresses(&self) -> Vec<SocketAddr> {
        let active: BTreeSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let members = self.members.values().filter(|member| member.is_addressable());
        let all = self.contacts.iter().copied().chain(members.map(|member| member.id.addr));
        let missing: BTreeSet<SocketAddr> =
            all.filter(|addr| !active.contains(addr) && *addr != self.local.addr).collect();
        missing.into_iter().collect()
    }
}
