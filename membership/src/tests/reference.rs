//! Reference model of the view and the quota, recomputed from complete sets after each input.
//!
//! The code under test updates them incrementally.

use super::*;
use std::collections::BTreeMap;

/// Agreed members and view, computed from the complete set of present members.
pub struct ReferenceQuorum {
    local: MemberName,
    expected_members: usize,
    pub agreed: BTreeSet<MemberName>,
    newcomers: BTreeMap<MemberName, Us>,
    pub absent: BTreeMap<MemberName, Us>,
    join_delay: Us,
    forget_after: Us,
    pub view: View,
    quorum_since: Option<Us>,
}

impl ReferenceQuorum {
    pub fn new(
        local: MemberName, expected_members: usize, agreed: BTreeSet<MemberName>, join_delay: Us,
        forget_after: Us,
    ) -> ReferenceQuorum {
        let mut agreed = agreed;
        agreed.insert(local.clone());
        let others_expected = agreed.len().max(expected_members) > 1;
        ReferenceQuorum {
            local,
            expected_members,
            agreed,
            newcomers: BTreeMap::new(),
            absent: BTreeMap::new(),
            join_delay,
            forget_after,
            view: if others_expected { View::Isolated } else { View::Complete },
            quorum_since: None,
        }
    }

    pub fn agreed_size(&self) -> usize {
        self.agreed.len().max(self.expected_members).max(1)
    }

    /// Returns the agreed members except this one.
    pub fn others(&self) -> BTreeSet<MemberName> {
        self.agreed.iter().filter(|name| **name != self.local).cloned().collect()
    }

    pub fn remove_departed(&mut self, name: &MemberName) {
        if *name != self.local {
            self.agreed.remove(name);
            self.newcomers.remove(name);
            self.absent.remove(name);
        }
    }

    pub fn update(&mut self, now: Us, present: &BTreeSet<MemberName>) -> bool {
        self.classify(now, present);
        let before = self.view;
        self.view = self.current_view(present);
        self.quorum_since = self.quorum_since.or(Some(now)).filter(|_| self.view.has_quorum());
        if let Some(quorum_since) = self.quorum_since {
            self.admit_and_forget(now, quorum_since);
        } else if self.agreed.len() < self.agreed_size() {
            self.bootstrap(now);
        }
        self.view = self.current_view(present);
        self.view != before
    }

    fn classify(&mut self, now: Us, present: &BTreeSet<MemberName>) {
        self.newcomers.retain(|name, _| present.contains(name));
        for name in present.difference(&self.agreed) {
            self.newcomers.entry(name.clone()).or_insert(now);
        }
        self.absent.retain(|name, _| !present.contains(name));
        for name in self.agreed.difference(present).filter(|name| **name != self.local) {
            self.absent.entry(name.clone()).or_insert(now);
        }
    }

    fn admit_and_forget(&mut self, now: Us, quorum_since: Us) {
        let has_lasted = |since: Us, span: Us| now.saturating_sub(since.max(quorum_since)) >= span;
        for name in names(&self.newcomers, |since| has_lasted(since, self.join_delay)) {
            self.newcomers.remove(&name);
            self.agreed.insert(name);
        }
        for name in names(&self.absent, |since| has_lasted(since, self.forget_after)) {
            self.agreed.remove(&name);
            self.absent.remove(&name);
        }
    }

    fn bootstrap(&mut self, now: Us) {
        let admitted = names(&self.newcomers, |since| now.saturating_sub(since) >= self.join_delay);
        if 2 * (self.agreed.len() + admitted.len()) > self.agreed_size() {
            self.newcomers.clear();
            self.agreed.extend(admitted);
        }
    }

    fn current_view(&self, present: &BTreeSet<MemberName>) -> View {
        let (count, size) = (1 + self.agreed.intersection(present).count(), self.agreed_size());
        match count {
            _ if count >= size => View::Complete,
            _ if 2 * count > size => View::Majority,
            1 if present.is_empty() => View::Isolated,
            _ => View::Minority,
        }
    }
}

fn names(table: &BTreeMap<MemberName, Us>, holds: impl Fn(Us) -> bool) -> Vec<MemberName> {
    table.iter().filter(|(_, since)| holds(**since)).map(|(name, _)| name.clone()).collect()
}

/// Reference quorum and lease of a member.
pub struct Reference {
    quorum: ReferenceQuorum,
    lease: QuotaLease,
    /// Number of datagrams that the member dropped before it read their payload.
    dropped: u64,
    config: MembershipConfig,
}

impl Reference {
    pub fn new(n: usize, config: MembershipConfig) -> Reference {
        let MembershipConfig { expected_members, join_delay, forget_after, .. } = config;
        let quorum =
            ReferenceQuorum::new(name(n), expected_members, BTreeSet::new(), join_delay, forget_after);
        Reference { quorum, lease: QuotaLease::new(timing(&config, expected_members)), dropped: 0, config }
    }

    /// Updates the reference after an input of the member, and compares the two.
    pub fn check(&mut self, now: Us, member: &Membership, events: &[Event]) {
        for event in events {
            match event {
                Event::Left { name } => self.quorum.remove_departed(name),
                Event::Rejoined | Event::Paused { .. } => self.lease.revoke(),
                _ => {}
            }
        }
        // The member does not update its view after a datagram that it drops unread.
        let dropped = dropped(&member.counters);
        if std::mem::replace(&mut self.dropped, dropped) != dropped || member.is_displaced() {
            return;
        }
        let members = member.members();
        self.quorum.update(now, &reachable(&members, false));
        let size = self.quorum.agreed_size();
        self.lease.set_timing(timing(&self.config, size));
        let (others, reachable) = (self.quorum.others(), reachable(&members, true));
        self.lease.update(now, self.quorum.view, &others, &reachable, size);
        self.compare(now, member);
    }

    fn compare(&self, now: Us, member: &Membership) {
        let ReferenceQuorum { local, agreed, absent, view, .. } = &self.quorum;
        let size = self.quorum.agreed_size();
        assert_eq!((member.view(), member.agreed_size()), (*view, size), "{local} at {now}");
        assert!(member.persisted_state(0).agreed_members.iter().eq(agreed), "{local} at {now}");
        // A member that revalidates after a pause uses no quota, whatever its lease is.
        let fraction = member.quota_fraction();
        assert!([0.0, self.lease.fraction()].contains(&fraction), "{local} at {now}: {fraction}");
        let missing: Vec<MemberName> = absent.keys().take(5).cloned().collect();
        assert_eq!(member.evidence().missing, missing, "{local} at {now}");
    }
}

fn timing(config: &MembershipConfig, members: usize) -> LeaseTiming {
    LeaseTiming::from_intervals(config.probe_interval, config.suspicion_timeout, members)
}

/// Returns the number of datagrams that a member dropped before it read their payload.
fn dropped(counters: &Counters) -> u64 {
    let Counters { too_short, foreign, bad_mac, replayed, rate_limited, .. } = counters;
    too_short + foreign + bad_mac + replayed + rate_limited
}

/// Returns the names of the members that are alive or suspect. `with_flapping` includes flapping members.
fn reachable(members: &[MemberInfo], with_flapping: bool) -> BTreeSet<MemberName> {
    let reachable = |info: &&MemberInfo| matches!(info.status, MemberStatus::Alive | MemberStatus::Suspect);
    let members = members.iter().filter(reachable).filter(|info| with_flapping || !info.flapping);
    members.map(|info| info.id.name.clone()).collect()
}
