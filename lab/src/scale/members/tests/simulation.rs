//! Tests of `simulation.rs`.

use super::*;

fn config(expect: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MS,
        suspicion_timeout: S,
        announce_interval: S,
        join_delay: 2 * S,
        forget_after: 600 * S,
        flap_window: 20 * S,
        expected_members: expect,
    }
}

/// What is counted step by step against what the members say.
fn check(simulation: &mut Simulation) {
    let up: Vec<usize> = (0..simulation.slots.len()).filter(|n| simulation.up(*n)).collect();
    let parts: f64 = up.iter().filter_map(|n| simulation.member(*n)).map(Membership::quota_fraction).sum();
    assert!((parts - simulation.taken()).abs() < 1e-9, "{parts} {}", simulation.taken());
    let mut unknown_pairs = 0;
    for n in &up {
        let shown = simulation.member(*n).map(Membership::members).unwrap_or_default();
        for m in up.iter().filter(|m| *m != n) {
            use asterrill_membership::MemberStatus::{Alive, Suspect};
            let there = shown.iter().filter(|s| matches!(s.status, Alive | Suspect));
            let mut there = there.filter(|s| index_in_name(&s.id.name) == Some(*m));
            unknown_pairs += usize::from(!there.any(|s| s.id.generation == simulation.slots[*m].start));
        }
    }
    assert_eq!(unknown_pairs, simulation.unknown_pairs);
}

#[test]
fn incremental_counts_match_what_members_say() {
    let mut simulation = Simulation::new(12, 5, config(12), 0.0);
    assert!(!simulation.all_met() && !simulation.all_known());
    simulation.run(1_500 * MS);
    check(&mut simulation);
    simulation
        .until(60 * S, |simulation| {
            simulation.all_met() && simulation.all_complete() && simulation.all_taken()
        })
        .expect("all is taken");
    check(&mut simulation);
    assert!(simulation.all_known() && simulation.failures.is_empty() && simulation.without_part() == 0);
    let persisted = simulation.stop(3, false);
    simulation.run(20 * S);
    check(&mut simulation);
    assert!(simulation.failures.iter().all(|f| f.of == 3 && !f.wrong) && simulation.failures.len() == 11);
    simulation.start(vec![(3, persisted)], 0);
    assert!(!simulation.all_known());
    simulation.cut(6);
    simulation.run(20 * S);
    check(&mut simulation);
    assert!(
        !simulation.all_known()
            && (0..12).filter_map(|n| simulation.member(n)).all(|m| !m.view().has_quorum())
    );
    simulation.cut(0);
    simulation
        .until(60 * S, |simulation| simulation.all_known() && simulation.all_complete())
        .expect("whole again");
    check(&mut simulation);
    assert!(!simulation.exceeded_whole(), "{}", simulation.most);
}
