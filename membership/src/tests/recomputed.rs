//! The view and the part cost what has changed since the last look. Here they are worked out anew from whole sets at
//! each look, as they were before, and have to be the same.

use super::*;

/// The agreed size, from the whole set of who is there.
struct WholeQuorum {
    own: MemberName,
    expect: usize,
    agreed: BTreeSet<MemberName>,
    coming: BTreeMap<MemberName, Us>,
    gone: BTreeMap<MemberName, Us>,
    settle: Us,
    forget: Us,
    view: View,
    led: Option<Us>,
}

impl WholeQuorum {
    fn new(
        own: MemberName, expect: usize, kept: BTreeSet<MemberName>, settle: Us, forget: Us,
    ) -> WholeQuorum {
        let mut agreed = kept;
        agreed.insert(own.clone());
        let view = if agreed.len().max(expect) > 1 { View::Isolated } else { View::Complete };
        let (coming, gone) = (BTreeMap::new(), BTreeMap::new());
        WholeQuorum { own, expect, agreed, coming, gone, settle, forget, view, led: None }
    }
    fn size(&self) -> usize {
        self.agreed.len().max(self.expect).max(1)
    }
    fn left(&mut self, name: &MemberName) {
        if *name != self.own {
            self.agreed.remove(name);
            self.coming.remove(name);
            self.gone.remove(name);
        }
    }
    fn look(&mut self, now: Us, there: &BTreeSet<MemberName>) -> bool {
        self.coming.retain(|name, _| there.contains(name));
        for name in there.iter().filter(|name| !self.agreed.contains(*name)) {
            self.coming.entry(name.clone()).or_insert(now);
        }
        self.gone.retain(|name, _| !there.contains(name));
        for name in self.agreed.iter().filter(|name| **name != self.own && !there.contains(*name)) {
            self.gone.entry(name.clone()).or_insert(now);
        }
        let before = self.view;
        self.view = self.seen(there);
        self.led = self.led.or(Some(now)).filter(|_| self.view.has_quorum());
        if let Some(led) = self.led {
            let for_long = |since: &Us, span: Us| now.saturating_sub((*since).max(led)) >= span;
            let come = self.coming.iter().filter(|(_, since)| for_long(since, self.settle));
            for name in come.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
                self.coming.remove(&name);
                self.agreed.insert(name);
            }
            let over = self.gone.iter().filter(|(_, since)| for_long(since, self.forget));
            for name in over.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
                self.agreed.remove(&name);
                self.gone.remove(&name);
            }
            self.view = self.seen(there);
        } else if self.agreed.len() < self.size() {
            let settled = self.coming.iter().filter(|(_, since)| now.saturating_sub(**since) >= self.settle);
            let settled: Vec<MemberName> = settled.map(|(name, _)| name.clone()).collect();
            if 2 * (self.agreed.len() + settled.len()) > self.size() {
                self.coming.clear();
                self.agreed.extend(settled);
                self.view = self.seen(there);
            }
        }
        self.view != before
    }
    fn seen(&self, there: &BTreeSet<MemberName>) -> View {
        let (count, size) = (1 + self.agreed.intersection(there).count(), self.size());
        match count {
            _ if count >= size => View::Complete,
            _ if 2 * count > size => View::Majority,
            1 if there.is_empty() => View::Isolated,
            _ => View::Minority,
        }
    }
}

/// A member beside which all is worked out anew.
pub(super) struct Shadow {
    quorum: WholeQuorum,
    lease: QuotaLease,
    unread: u64,
    config: MembershipConfig,
}

impl Shadow {
    pub(super) fn new(n: usize, config: MembershipConfig) -> Shadow {
        let quorum = WholeQuorum::new(
            name(n),
            config.expected_members,
            BTreeSet::new(),
            config.join_delay,
            config.forget_after,
        );
        let lease = QuotaLease::new(LeaseTiming::from_intervals(
            config.probe_interval,
            config.suspicion_timeout,
            config.expected_members,
        ));
        Shadow { quorum, lease, unread: 0, config }
    }
    /// After each input of the member.
    pub(super) fn look(&mut self, now: Us, member: &Membership, events: &[Event]) {
        for event in events {
            match event {
                Event::Left { name } => self.quorum.left(name),
                Event::Rejoined | Event::Paused { .. } => self.lease.revoke(),
                _ => {}
            }
        }
        let Counters { too_short, foreign, bad_mac, replayed, rate_limited, .. } = member.counters;
        let unread = too_short + foreign + bad_mac + replayed + rate_limited;
        // What was dropped unread is nothing that is looked at.
        if std::mem::replace(&mut self.unread, unread) != unread || member.is_displaced() {
            return;
        }
        let shown = member.members();
        let on = |flapping: bool| -> BTreeSet<MemberName> {
            let on = |s: &&MemberInfo| matches!(s.status, MemberStatus::Alive | MemberStatus::Suspect);
            let on = shown.iter().filter(on).filter(|s| flapping || !s.flapping);
            on.map(|s| s.id.name.clone()).collect()
        };
        self.quorum.look(now, &on(false));
        let size = self.quorum.size();
        self.lease.set_timing(LeaseTiming::from_intervals(
            self.config.probe_interval,
            self.config.suspicion_timeout,
            size,
        ));
        let own = &self.quorum.own;
        let others = self.quorum.agreed.iter().filter(|name| *name != own).cloned().collect();
        self.lease.update(now, self.quorum.view, &others, &on(true), size);
        assert_eq!((member.view(), member.agreed_size()), (self.quorum.view, size), "{own} at {now}");
        assert!(member.persisted_state(0).agreed_members.iter().eq(&self.quorum.agreed), "{own} at {now}");
        // One in doubt takes nothing, whatever its lease is.
        assert!(
            [0.0, self.lease.fraction()].contains(&member.quota_fraction()),
            "{own} at {now}: {}",
            member.quota_fraction()
        );
        let missing: Vec<MemberName> = self.quorum.gone.keys().take(5).cloned().collect();
        assert_eq!(member.evidence().missing, missing, "{own} at {now}");
    }
}

/// Membership come, go, flap and leave beside a quorum and a lease that see only what changed, and beside whole ones.
#[test]
fn what_costs_only_what_changed_is_what_the_whole_says_in_two_thousand_cases() {
    let (mut led, mut agreed) = (0, 0);
    for seed in 0..2_000 {
        let mut chance = StdRng::seed_from_u64(seed);
        let (others, expect) = (chance.random_range(1..9), chance.random_range(1..9));
        let kept: BTreeSet<MemberName> = (1..=others).filter(|_| chance.random::<bool>()).map(name).collect();
        let mut few = Quorum::new(0, name(0), expect, kept.clone(), 3, 12);
        let mut whole = WholeQuorum::new(name(0), expect, kept, 3, 12);
        let terms = LeaseTiming { detection_time: 3, margin: 1 };
        let (mut lease, mut whole_lease) = (QuotaLease::new(terms), QuotaLease::new(terms));
        let (mut now, mut present, mut changed) = (0, BTreeMap::<MemberName, bool>::new(), BTreeSet::new());
        for _ in 0..chance.random_range(5..60) {
            now += chance.random_range(0..3);
            for _ in 0..chance.random_range(0..4) {
                let one = name(chance.random_range(1..=others));
                match chance.random_range(0..8) {
                    0 => {
                        present.remove(&one);
                        few.remove_left(&one);
                        whole.left(&one);
                    }
                    1..4 => drop(present.remove(&one)),
                    // One that flaps is present, and is not there.
                    on => drop(present.insert(one.clone(), on == 4)),
                }
                changed.insert(one);
            }
            let there: BTreeSet<MemberName> =
                present.iter().filter(|(_, f)| !**f).map(|(n, _)| n.clone()).collect();
            let all: BTreeSet<MemberName> = present.keys().cloned().collect();
            changed.iter().for_each(|name| few.set_present(name, there.contains(name)));
            assert_eq!(few.advance(now), whole.look(now, &there), "seed {seed} at {now}");
            let views = (few.view(), few.agreed_size(), few.agreed_members());
            assert_eq!(views, (whole.view, whole.size(), &whole.agreed), "seed {seed} at {now}");
            let evidence = few.evidence(&there);
            assert!(evidence.missing.iter().eq(whole.gone.keys().take(5)), "seed {seed} at {now}");
            changed.append(&mut few.take_agreement_changes());
            for one in std::mem::take(&mut changed) {
                let missing = one != name(0) && few.agreed_members().contains(&one) && !all.contains(&one);
                lease.set_lost(now, &one, missing);
            }
            let agreed_on = whole.agreed.iter().filter(|n| **n != name(0)).cloned().collect();
            let same = lease.advance(now, few.view(), few.agreed_size());
            assert_eq!(same, whole_lease.update(now, whole.view, &agreed_on, &all, whole.size()));
            assert_eq!(lease.fraction(), whole_lease.fraction(), "seed {seed} at {now}");
            led += usize::from(whole.view.has_quorum());
            agreed += usize::from(lease.fraction() > 0.0);
        }
    }
    assert!(led > 10_000 && agreed > 5_000, "too little happened: {led} {agreed}");
}

fn compare_members(seed: u64) {
    let mut chance = StdRng::seed_from_u64(seed ^ 0x5ad0);
    let members = chance.random_range(2..7);
    let mut net = Net::new(members, seed);
    net.shadows = (0..members).map(|n| Some(Shadow::new(n, terms(members)))).collect();
    net.loss = [0.0, 0.15, 0.4][chance.random_range(0..3)];
    net.doubles = 0.05;
    for _ in 0..chance.random_range(2..7) {
        let n = chance.random_range(0..members);
        match chance.random_range(0..6) {
            0 => net.kill(n),
            1 => net.cut.extend((0..members).filter(|to| *to != n).map(|to| (n, to))),
            2 => net.cut.clear(),
            3 => drop(net.paused.insert(n, net.now + chance.random_range(1..4) * S)),
            4 => {
                if let Some(member) = &mut net.of[n] {
                    member.leave(net.now);
                    net.shadows[n] = None;
                    net.post(n);
                }
                net.kill(n);
            }
            _ => {
                net.restart(n);
                net.shadows[n] = Some(Shadow::new(n, terms(members)));
            }
        }
        net.run(chance.random_range(1..4) * S);
    }
}

#[test]
fn members_are_where_the_whole_says_after_each_datagram() {
    (0..80).for_each(compare_members);
}

#[test]
#[ignore = "minutes: cargo test -p asterrill-membership --release -- --ignored --nocapture"]
fn members_are_where_the_whole_says_in_two_thousand_cases() {
    (1_000..3_000).for_each(compare_members);
}
