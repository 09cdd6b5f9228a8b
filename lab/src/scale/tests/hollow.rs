//! Tests of `hollow.rs`.

use super::*;

fn terms(expect: usize) -> MembershipConfig {
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

/// What was counted bit by bit against what the members say.
fn check(net: &mut Hollow) {
    let up: Vec<usize> = (0..net.places.len()).filter(|n| net.up(*n)).collect();
    let parts: f64 = up.iter().filter_map(|n| net.member(*n)).map(Membership::quota_fraction).sum();
    assert!((parts - net.taken()).abs() < 1e-9, "{parts} {}", net.taken());
    let mut apart = 0;
    for n in &up {
        let shown = net.member(*n).map(Membership::members).unwrap_or_default();
        for m in up.iter().filter(|m| *m != n) {
            use asterrill_membership::MemberStatus::{Alive, Suspect};
            let there = shown.iter().filter(|s| matches!(s.status, Alive | Suspect));
            let mut there = there.filter(|s| number_of(&s.id.name) == Some(*m));
            apart += usize::from(!there.any(|s| s.id.generation == net.places[*m].start));
        }
    }
    assert_eq!(apart, net.apart);
}

#[test]
fn what_is_counted_bit_by_bit_is_what_the_members_say() {
    let mut net = Hollow::new(12, 5, terms(12), 0.0);
    assert!(!net.all_met() && !net.all_know_all());
    net.run(1_500 * MS);
    check(&mut net);
    net.until(60 * S, |net| net.all_met() && net.all_whole() && net.all_taken()).expect("all is taken");
    check(&mut net);
    assert!(net.all_know_all() && net.failed.is_empty() && net.waiting() == 0);
    let kept = net.stop(3, false);
    net.run(20 * S);
    check(&mut net);
    assert!(net.failed.iter().all(|f| f.whom == 3 && !f.wrong) && net.failed.len() == 11);
    net.start(vec![(3, kept)], 0);
    assert!(!net.all_know_all());
    net.cut(6);
    net.run(20 * S);
    check(&mut net);
    assert!(!net.all_know_all() && (0..12).filter_map(|n| net.member(n)).all(|m| !m.view().has_quorum()));
    net.cut(0);
    net.until(60 * S, |net| net.all_know_all() && net.all_whole()).expect("whole again");
    check(&mut net);
    assert!(!net.over_whole(), "{}", net.most);
}
