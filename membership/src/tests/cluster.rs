//! Basic cluster scenarios: failures, partitions, pauses, duplicate names, flapping.

use super::network::Network;
use super::*;

const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Asserts that the members use the whole quota and never exceeded it.
fn assert_quota_fully_used(network: &Network) {
    let (sum, max) = (network.quota_sum(), network.max_quota_sum);
    assert!((sum - 1.0).abs() < ROUNDING_TOLERANCE && max <= 1.0 + ROUNDING_TOLERANCE, "{sum} {max}");
}

/// Asserts that the members together never exceeded the quota.
fn assert_quota_not_exceeded(network: &Network) {
    assert!(network.max_quota_sum <= 1.0 + ROUNDING_TOLERANCE, "{}", network.max_quota_sum);
}

/// Returns the entry of member `n` in the table of another member.
fn member_info(member: &Membership, n: usize) -> Option<MemberInfo> {
    member.members().into_iter().find(|info| info.id.name == name(n))
}

fn has_status(member: &Membership, n: usize, status: MemberStatus) -> bool {
    member_info(member, n).is_some_and(|info| info.status == status)
}

#[test]
fn members_find_each_other_from_three_contacts_and_divide_the_quota() {
    for members in [2, 5, 12] {
        let network = Network::converged(members, members as u64);
        assert_quota_not_exceeded(&network);
        assert_eq!(network.detections.len(), 0);
    }
}

#[test]
fn killed_member_is_detected_and_its_quota_is_reassigned_after_the_reassignment_delay() {
    let mut network = Network::converged(8, 3);
    network.kill(5);
    let start = network.now;
    let detected = |network: &Network| network.alive().all(|m| has_status(m, 5, MemberStatus::Dead));
    let elapsed = network.run_until(20 * S, detected).expect("detected");
    assert!(elapsed < 6 * S, "{elapsed}");
    assert_eq!(network.member(0).quota_fraction(), 1.0 / 8.0, "reassigned before the delay");
    let reassigned_after =
        network.run_until(60 * S, |network| network.quota_sum() > 0.99).expect("the quota is reassigned");
    assert!(network.now - start >= network.quota_reassignment_delay(), "{reassigned_after}");
    assert_eq!(network.member(0).quota_fraction(), 1.0 / 7.0);
    // The member returns under the same name: the later start replaces the earlier one, and all fractions shrink.
    network.restart(5);
    network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("complete again");
    network.run(2 * network.quota_reassignment_delay());
    assert_quota_fully_used(&network);
}

#[test]
fn only_the_majority_side_of_a_partition_has_quota_and_both_sides_rejoin() {
    let mut network = Network::converged(5, 4);
    network.partition(&[&[0, 1, 2], &[3, 4]]);
    let wait = network.quota_reassignment_delay();
    network.run(wait + S);
    let views: Vec<View> = network.views();
    assert_eq!(views, [View::Majority, View::Majority, View::Majority, View::Minority, View::Minority]);
    network.run(wait);
    let fractions: Vec<f64> = network.alive().map(Membership::quota_fraction).collect();
    let (majority, minority) = fractions.split_at(3);
    assert!(majority.iter().all(|f| (f - 1.0 / 3.0).abs() < ROUNDING_TOLERANCE), "{fractions:?}");
    assert_eq!(minority, [0.0, 0.0], "{fractions:?}");
    network.blocked.clear();
    let healed_after = network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("healed");
    assert!(healed_after < 20 * S, "{healed_after}");
    network.run(2 * wait);
    assert_quota_fully_used(&network);
}

#[test]
fn halves_thirds_and_single_members_never_have_a_quorum() {
    let mut network = Network::converged(6, 5);
    network.partition(&[&[0, 1, 2], &[3, 4, 5]]);
    network.run(2 * network.quota_reassignment_delay());
    assert!(network.all_see(View::Minority) && network.quota_sum() == 0.0, "{:?}", network.views());
    network.blocked.clear();
    network.partition(&[&[0, 1], &[2, 3], &[4], &[5]]);
    network.run(2 * network.quota_reassignment_delay());
    let views = (network.view(0), network.view(3), network.view(4));
    assert_eq!(views, (View::Minority, View::Minority, View::Isolated));
    assert_eq!(network.quota_sum(), 0.0);
    network.blocked.clear();
    network.run_until(120 * S, |network| network.all_see(View::Complete)).expect("healed");
}

#[test]
fn member_whose_datagrams_are_all_lost_has_no_quota() {
    let mut network = Network::converged(5, 6);
    network.blocked.extend((0..4).map(|to| (4, to)));
    network.run(2 * network.quota_reassignment_delay());
    assert_eq!(network.member(4).quota_fraction(), 0.0);
    assert_quota_not_exceeded(&network);
}

#[test]
fn member_that_reaches_both_sides_preserves_the_quorum() {
    let mut network = Network::converged(5, 7);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        network.blocked.insert((a, b));
        network.blocked.insert((b, a));
    }
    network.run(2 * network.quota_reassignment_delay());
    assert_quota_not_exceeded(&network);
    let all = network.alive().all(|member| member.view().has_quorum());
    assert!(all, "member 4 should forward gossip and probes: {:?}", network.views());
}

#[test]
fn paused_process_releases_its_quota_and_declares_no_member_dead() {
    for pause in [S, 5 * S, 30 * S] {
        let mut network = Network::converged(6, 8);
        network.detections.clear();
        network.paused.insert(2, network.now + pause);
        network.run(pause);
        network.run(200 * MS);
        if pause > 5 * S {
            assert_eq!(network.member(2).quota_fraction(), 0.0, "the paused member still uses its quota");
        }
        network.run(20 * S);
        let declared = network.detections.iter().filter(|detection| detection.by == 2).count();
        assert_eq!(declared, 0, "{pause}");
        network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("complete again");
        network.run(2 * network.quota_reassignment_delay());
        assert_quota_fully_used(&network);
    }
}

#[test]
fn restarted_cluster_reassembles_and_leaving_member_is_never_suspected() {
    let mut network = Network::converged(6, 9);
    (0..6).for_each(|n| network.restart(n));
    network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("complete again");
    network.run(2 * network.quota_reassignment_delay());
    network.detections.clear();
    let now = network.now;
    network.members[3].as_mut().unwrap().leave(now);
    network.take_output(3);
    network.run(S);
    network.kill(3);
    network.run(20 * S);
    assert_eq!(network.detections.len(), 0);
    let complete = network.alive().all(|m| m.view() == View::Complete || m.agreed_size() == 6);
    assert!(complete, "{:?}", network.views());
    assert!(network.alive().all(|member| has_status(member, 3, MemberStatus::Left)));
}

#[test]
fn later_start_displaces_an_earlier_one_with_the_same_name() {
    let mut network = Network::converged(4, 10);
    // A second process named n1 starts at the address of a fifth member.
    let duplicate_id = MemberId { addr: addr(4), ..id(1, 99) };
    let contacts = (0..CONTACTS).map(addr).collect();
    let duplicate =
        Membership::new(network.now, duplicate_id, codec(1, 99), config(4), contacts, BTreeSet::new(), 5);
    network.members.push(Some(duplicate));
    network.run(15 * S);
    assert!(network.member(1).is_displaced() && !network.member(4).is_displaced());
    assert_eq!(network.member(1).quota_fraction(), 0.0);
    let seen = member_info(network.member(0), 1).unwrap();
    assert_eq!(
        (seen.id.generation, seen.id.addr),
        (99, addr(4)),
        "member 0 does not have the later start in its table"
    );
}

#[test]
fn generation_increases_although_the_clock_was_set_back() {
    assert_eq!(MemberId::next_generation(Some(500), 400), 501);
    assert_eq!(MemberId::next_generation(None, 400), 400);
}

#[test]
fn flapping_member_is_damped_until_it_is_stable() {
    let mut network = Network::converged(4, 12);
    let damped = |network: &Network| member_info(network.member(0), 3).is_some_and(|info| info.flapping);
    for _ in 0..8 {
        network.blocked.extend((0..3).flat_map(|n| [(3, n), (n, 3)]));
        network.run(4 * S);
        network.blocked.clear();
        network.run(4 * S);
    }
    assert!(damped(&network));
    assert!(network.view(0) != View::Complete, "a flapping member counts for the view");
    network.run(60 * S);
    assert!(!damped(&network));
    network.run_until(60 * S, |network| network.all_see(View::Complete)).expect("stable again");
}
