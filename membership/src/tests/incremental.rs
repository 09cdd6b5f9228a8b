//! Comparison of incremental updates of the view and the quota with recomputation from complete sets.
//!
//! An incremental update that misses a changed member would leave a wrong view or quota until the next change.

use super::network::Network;
use super::reference::{Reference, ReferenceQuorum};
use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Incrementally updated quorum and lease, and the reference models with which they are compared.
struct ComparedQuorums {
    quorum: Quorum,
    lease: QuotaLease,
    reference: ReferenceQuorum,
    reference_lease: QuotaLease,
    /// Reachable members, with true for those that flap.
    flapping: BTreeMap<MemberName, bool>,
    changed: BTreeSet<MemberName>,
}

impl ComparedQuorums {
    fn new(expected: usize, agreed: BTreeSet<MemberName>) -> ComparedQuorums {
        let timing = LeaseTiming { detection_time: 3, margin: 1 };
        ComparedQuorums {
            quorum: Quorum::new(0, name(0), expected, agreed.clone(), 3, 12),
            lease: QuotaLease::new(timing),
            reference: ReferenceQuorum::new(name(0), expected, agreed, 3, 12),
            reference_lease: QuotaLease::new(timing),
            flapping: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Applies a change of one member: it leaves, is lost, flaps, or is present.
    fn change(&mut self, member: MemberName, kind: u32) {
        match kind {
            0 => {
                self.flapping.remove(&member);
                self.quorum.remove_departed(&member);
                self.reference.remove_departed(&member);
            }
            1..4 => drop(self.flapping.remove(&member)),
            // A flapping member is reachable, but does not count for the view.
            kind => drop(self.flapping.insert(member.clone(), kind == 4)),
        }
        self.changed.insert(member);
    }

    fn update_and_compare(&mut self, now: Us, seed: u64) {
        let ComparedQuorums { quorum, lease, reference, reference_lease, flapping, changed } = self;
        let present: BTreeSet<MemberName> =
            flapping.iter().filter(|(_, flaps)| !**flaps).map(|(name, _)| name.clone()).collect();
        let reachable: BTreeSet<MemberName> = flapping.keys().cloned().collect();
        changed.iter().for_each(|name| quorum.set_present(name, present.contains(name)));
        assert_eq!(quorum.advance(now), reference.update(now, &present), "seed {seed} at {now}");
        let found = (quorum.view(), quorum.agreed_size(), quorum.agreed_members());
        let expected = (reference.view, reference.agreed_size(), &reference.agreed);
        assert_eq!(found, expected, "seed {seed} at {now}");
        let evidence = quorum.evidence(&present);
        assert!(evidence.missing.iter().eq(reference.absent.keys().take(5)), "seed {seed} at {now}");
        changed.append(&mut quorum.take_agreement_changes());
        for member in std::mem::take(changed) {
            let agreed = member != name(0) && quorum.agreed_members().contains(&member);
            lease.set_lost(now, &member, agreed && !reachable.contains(&member));
        }
        let size = reference.agreed_size();
        assert_eq!(
            lease.advance(now, quorum.view(), quorum.agreed_size()),
            reference_lease.update(now, reference.view, &reference.others(), &reachable, size)
        );
        assert_eq!(lease.fraction(), reference_lease.fraction(), "seed {seed} at {now}");
    }
}

#[test]
fn incremental_updates_equal_full_recomputation_in_two_thousand_cases() {
    let (mut with_quorum, mut with_quota) = (0, 0);
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (others, expected) = (rng.random_range(1..9), rng.random_range(1..9));
        let agreed: BTreeSet<MemberName> = (1..=others).filter(|_| rng.random::<bool>()).map(name).collect();
        let mut compared = ComparedQuorums::new(expected, agreed);
        let mut now = 0;
        for _ in 0..rng.random_range(5..60) {
            now += rng.random_range(0..3);
            for _ in 0..rng.random_range(0..4) {
                let member = name(rng.random_range(1..=others));
                compared.change(member, rng.random_range(0..8));
            }
            compared.update_and_compare(now, seed);
            with_quorum += usize::from(compared.reference.view.has_quorum());
            with_quota += usize::from(compared.lease.fraction() > 0.0);
        }
    }
    let enough = with_quorum > 10_000 && with_quota > 5_000;
    assert!(enough, "too few updates with a quorum ({with_quorum}) or a quota ({with_quota})");
}

/// Runs a seeded scenario in which each member is compared with its reference model after each input.
fn compare_members(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5ad0);
    let members = rng.random_range(2..7);
    let mut network = Network::new(members, seed);
    network.references = (0..members).map(|n| Some(Reference::new(n, config(members)))).collect();
    network.loss = [0.0, 0.15, 0.4][rng.random_range(0..3)];
    network.duplicate_rate = 0.05;
    for _ in 0..rng.random_range(2..7) {
        let n = rng.random_range(0..members);
        match rng.random_range(0..6) {
            0 => network.kill(n),
            1 => network.blocked.extend((0..members).filter(|to| *to != n).map(|to| (n, to))),
            2 => network.blocked.clear(),
            3 => drop(network.paused.insert(n, network.now + rng.random_range(1..4) * S)),
            4 => {
                if let Some(member) = &mut network.members[n] {
                    member.leave(network.now);
                    network.references[n] = None;
                    network.take_output(n);
                }
                network.kill(n);
            }
            _ => {
                network.restart(n);
                network.references[n] = Some(Reference::new(n, config(members)));
            }
        }
        network.run(rng.random_range(1..4) * S);
    }
}

#[test]
fn members_equal_full_recomputation_after_each_input() {
    (0..80).for_each(compare_members);
}

#[test]
#[ignore = "minutes: cargo test -p asterrill-membership --release -- --ignored --nocapture"]
fn members_equal_full_recomputation_in_two_thousand_cases() {
    (1_000..3_000).for_each(compare_members);
}
