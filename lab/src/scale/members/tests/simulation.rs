//! Tests of `simulation.rs`.

use super::*;

fn config(expected_members: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MILLISECOND,
        suspicion_timeout: SECOND,
        announce_interval: SECOND,
        join_delay: 2 * SECOND,
        forget_after: 600 * SECOND,
        flap_window: 20 * SECOND,
        expected_members,
    }
}

/// Compares the incrementally updated counts with the state of the members.
fn check_counts(simulation: &mut Simulation) {
    let up: Vec<usize> = (0..simulation.slots.len()).filter(|n| simulation.is_up(*n)).collect();
    let total_share: f64 =
        up.iter().filter_map(|n| simulation.member(*n)).map(Membership::quota_fraction).sum();
    assert!(
        (total_share - simulation.total_share()).abs() < 1e-9,
        "{total_share} {}",
        simulation.total_share()
    );
    let mut unknown_pairs = 0;
    for n in &up {
        let members = simulation.member(*n).map(Membership::members).unwrap_or_default();
        for m in up.iter().filter(|m| *m != n) {
            use asterrill_membership::MemberStatus::{Alive, Suspect};
            let alive = members.iter().filter(|s| matches!(s.status, Alive | Suspect));
            let mut matching = alive.filter(|s| index_in_name(&s.id.name) == Some(*m));
            unknown_pairs += usize::from(!matching.any(|s| s.id.generation == simulation.slots[*m].start));
        }
    }
    assert_eq!(unknown_pairs, simulation.unknown_pairs);
}

#[test]
fn incremental_counts_match_the_state_of_the_members() {
    let mut simulation = Simulation::new(12, 5, config(12), 0.0);
    assert!(!simulation.all_discovered() && !simulation.all_known());
    simulation.run(1_500 * MILLISECOND);
    check_counts(&mut simulation);
    simulation
        .run_until(60 * SECOND, |simulation| {
            simulation.all_discovered() && simulation.all_complete() && simulation.quota_fully_assigned()
        })
        .expect("the whole quota is in use");
    check_counts(&mut simulation);
    assert!(
        simulation.all_known() && simulation.failures.is_empty() && simulation.members_without_share() == 0
    );
    let persisted = simulation.stop(3, false);
    simulation.run(20 * SECOND);
    check_counts(&mut simulation);
    assert!(
        simulation.failures.iter().all(|f| f.subject == 3 && !f.false_positive)
            && simulation.failures.len() == 11
    );
    simulation.start(vec![(3, persisted)], 0);
    assert!(!simulation.all_known());
    simulation.partition(6);
    simulation.run(20 * SECOND);
    check_counts(&mut simulation);
    assert!(
        !simulation.all_known()
            && (0..12).filter_map(|n| simulation.member(n)).all(|m| !m.view().has_quorum())
    );
    simulation.partition(0);
    simulation
        .run_until(60 * SECOND, |simulation| simulation.all_known() && simulation.all_complete())
        .expect("all members see the whole fleet again");
    check_counts(&mut simulation);
    assert!(!simulation.exceeded_total_quota(), "{}", simulation.max_total_share);
}
