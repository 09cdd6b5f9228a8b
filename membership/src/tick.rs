//! Processing of time: timers, pauses of this process, and announcements to missing members.

use crate::event::Event;
use crate::member_id::MemberId;
use crate::state::Membership;
use crate::swim::SwimActions;
use asterrill::Us;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum lateness of a wakeup that is attributed to a busy machine instead of a pause.
const SCHEDULING_TOLERANCE_US: Us = 20_000;
/// Number of addresses to which one round of announcements is sent.
const ANNOUNCEMENTS_PER_ROUND: usize = 2;
/// Minimum factor of the announce interval.
///
/// The factor varies from 0.75 to 1.25, so that members don't announce simultaneously.
const ANNOUNCE_JITTER_MIN: f64 = 0.75;
/// Difference between the maximum and the minimum factor of the announce interval.
const ANNOUNCE_JITTER_RANGE: f64 = 0.5;

impl Membership {
    /// Processes the passage of time. The caller passes in waiting datagrams first.
    pub fn tick(&mut self, now: Us) {
        if self.is_finished() {
            return;
        }
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_expired(self.now) {
            let mut actions = SwimActions::default();
            // An error means that the member of this timer has been removed meanwhile, so there is nothing to do.
            self.foca.handle_timer(timer, &mut actions).unwrap_or_default();
            self.apply_swim_actions(actions);
        }
        if self.now >= self.next_announce {
            self.announce_to_missing();
        }
        self.update_member_table();
        self.update_view_and_quota();
    }

    /// Advances the time and detects pauses.
    ///
    /// A late wakeup means that this process was paused or had no CPU time. Answers that it missed meanwhile are no
    /// evidence against other members.
    pub(crate) fn advance_clock(&mut self, now: Us) {
        let expected = self.next_wakeup();
        let late = now.saturating_sub(expected);
        self.now = self.now.max(now);
        let has_deadline = expected > 0 && expected != Us::MAX;
        if has_deadline && late > SCHEDULING_TOLERANCE_US + self.config.probe_timeout() {
            self.handle_pause(late);
        }
    }

    /// Postpones all deadlines by the duration of a pause.
    ///
    /// Otherwise this member would suspect others because of its own pause. After a pause longer than the suspicion
    /// timeout it also uses no quota until a majority has answered a probe.
    fn handle_pause(&mut self, duration: Us) {
        self.counters.pauses += 1;
        self.next_announce = self.now;
        self.pinged_at.clear();
        self.timers.postpone_all(duration);
        if duration > self.config.suspicion_timeout {
            // The others may have declared this member dead meanwhile and may use its quota.
            self.revalidated_by = Some(BTreeSet::new());
            self.lease.revoke();
            self.events.push(Event::Paused { duration });
        }
    }

    /// Sends announcements to randomly chosen missing members and contacts.
    ///
    /// This guards against two faults: the sides of a healed partition have removed each other and never reconnect, and
    /// a member whose contacts are all dead at its start never joins. The drawback is occasional datagrams to absent
    /// members.
    fn announce_to_missing(&mut self) {
        let jitter = ANNOUNCE_JITTER_MIN + ANNOUNCE_JITTER_RANGE * self.rng.random::<f64>();
        self.next_announce = self.now + (self.config.announce_interval as f64 * jitter) as Us;
        // All members of foca have different addresses, so with this many active members none is missing.
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
            // An announcement that could not be encoded is treated like a lost one, as others follow.
            self.foca.announce(MemberId::unknown_at(addr), &mut actions).unwrap_or_default();
            self.apply_swim_actions(actions);
        }
    }

    /// Returns the distinct addresses of contacts and members at which foca has no active member, in ascending order.
    fn missing_addresses(&self) -> Vec<SocketAddr> {
        let active: BTreeSet<SocketAddr> = self.foca.iter_members().map(|member| member.id().addr).collect();
        let members = self.members.values().filter(|member| member.is_addressable());
        let all = self.contacts.iter().copied().chain(members.map(|member| member.id.addr));
        let missing: BTreeSet<SocketAddr> =
            all.filter(|addr| !active.contains(addr) && *addr != self.local.addr).collect();
        missing.into_iter().collect()
    }
}
