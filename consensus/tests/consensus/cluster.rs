//! Tests of agreement among nodes that restart, lose their disks or are partitioned.

use crate::support::{put_tenant, Cluster, Disk, MS, SECOND};
use asterrill_consensus::{Access, ApplyMode, Change, ListEntry, ListKind, Proposal, ProposalOutcome};

#[test]
fn a_change_proposed_at_any_node_is_applied_by_all() {
    let mut cluster = Cluster::new(7, 3, 1);
    cluster.run_for(2 * SECOND);
    assert!(cluster.leader().is_some());
    assert_eq!(cluster.commit(5, vec![put_tenant("a", Access::Allowed)]), 1);
    assert_eq!(cluster.commit(1, vec![put_tenant("b", Access::Denied), Change::Settings("{}".into())]), 2);
    cluster.run_for(2 * SECOND);
    assert_eq!(cluster.policies(), vec![(ApplyMode::Full, 2); 7]);
    for node in cluster.nodes.iter().flatten() {
        let policy = node.apply_policy();
        assert!(!policy.rejects(ListKind::Tenants, "a") && policy.rejects(ListKind::Tenants, "b"));
        assert_eq!(&*policy.effective().settings, "{}");
    }
    // The second of two proposals with the same base is rejected, and the error names the proposer of the first.
    let proposals = [3, 4].map(|n| {
        let changes = vec![put_tenant("c", if n == 3 { Access::Allowed } else { Access::Denied })];
        (n, cluster.propose(n, Proposal::Change { base: Some(2), changes }))
    });
    let outcomes = proposals.map(|(n, number)| cluster.wait_for_outcome(n, number));
    let rejected = outcomes
        .iter()
        .filter(|o| matches!(o, ProposalOutcome::Rejected(why) if why.contains("version 3 by n")))
        .count();
    assert_eq!(rejected, 1, "{outcomes:?}");
    // An undo to version 1 creates a new version.
    let number = cluster.propose(6, Proposal::Undo { base: Some(3), to: 1 });
    assert!(matches!(cluster.wait_for_outcome(6, number), ProposalOutcome::Committed { number: 4, .. }));
    cluster.run_for(2 * SECOND);
    assert!(cluster.nodes.iter().flatten().all(|node| !node.apply_policy().rejects(ListKind::Tenants, "b")));
}

#[test]
fn a_contradicting_version_waits_for_all_leases_and_a_partitioned_node_falls_back_to_safe_mode() {
    let mut cluster = Cluster::new(7, 3, 2);
    cluster.run_for(2 * SECOND);
    cluster.commit(0, vec![put_tenant("a", Access::Allowed)]);
    cluster.run_for(SECOND);
    cluster.partition(&[6]);
    let start = cluster.now;
    cluster.commit(1, vec![put_tenant("a", Access::Denied)]);
    let mut transition = false;
    while cluster.policies()[0] != (ApplyMode::Full, 2) {
        cluster.run_for(10 * MS);
        transition |= cluster.policies()[0].0 == ApplyMode::Transition;
        assert!(cluster.now < start + 3 * SECOND);
    }
    // The version became active once the lease of the partitioned node had expired.
    assert!(transition && cluster.now - start > 500 * MS, "{}", cluster.now - start);
    assert_eq!(cluster.policies()[6].0, ApplyMode::Safe);
    assert!(
        cluster.node(6).apply_policy().rejects(ListKind::Tenants, "a"),
        "an allowed key may have been revoked"
    );
    assert!(
        !cluster.node(6).apply_policy().rejects(ListKind::Tenants, "d"),
        "a key without an entry is served"
    );
    // A version that does not contradict the active one becomes active at once.
    let start = cluster.now;
    cluster.commit(1, vec![put_tenant("b", Access::Allowed)]);
    cluster.run_for(300 * MS);
    assert!(cluster.policies()[0].0 == ApplyMode::Full && cluster.now - start < 600 * MS);
    cluster.blocked_links.clear();
    cluster.run_for(SECOND);
    assert_eq!(cluster.policies()[6], (ApplyMode::Full, 3));
    assert_eq!(cluster.longest_contradiction, 0);
}

#[test]
fn without_quorum_nothing_commits_and_voters_recover_from_disk() {
    let mut cluster = Cluster::new(5, 3, 3);
    cluster.run_for(2 * SECOND);
    cluster.commit(4, vec![put_tenant("a", Access::Denied)]);
    cluster.run_for(SECOND);
    (0..3).for_each(|n| cluster.kill(n));
    let number = cluster.propose_changes(4, vec![put_tenant("b", Access::Denied)]);
    assert_eq!(cluster.wait_for_outcome(4, number), ProposalOutcome::NoQuorum);
    assert!(cluster.node(4).apply_policy().rejects(ListKind::Tenants, "a"), "a denied key stays denied");
    (0..3).for_each(|n| cluster.start(n));
    cluster.run_for(3 * SECOND);
    assert_eq!(cluster.policies(), vec![(ApplyMode::Full, 1); 5]);
    // One voter loses its disk, and one starts on an old copy of its disk.
    let old_copy = cluster.disks[1].bytes.clone();
    for n in 0..30 {
        cluster.commit(3, vec![put_tenant(&format!("t{n}"), Access::Allowed)]);
    }
    cluster.kill(0);
    cluster.disks[0] = Disk::default();
    cluster.start(0);
    cluster.run_for(2 * SECOND);
    cluster.kill(1);
    cluster.disks[1] = Disk { bytes: old_copy, incomplete_writes: Vec::new() };
    cluster.start(1);
    cluster.run_for(3 * SECOND);
    assert_eq!(cluster.policies(), vec![(ApplyMode::Full, 31); 5]);
}

#[test]
fn a_partitioned_replica_catches_up_with_many_changes_and_a_long_list() {
    let mut cluster = Cluster::new(4, 3, 4);
    cluster.run_for(2 * SECOND);
    cluster.partition(&[3]);
    for n in 0..300 {
        let changes = (0..50).map(|k| put_tenant(&format!("k{n}-{k}"), Access::Allowed)).collect();
        cluster.propose_changes(0, changes);
        cluster.run_for(20 * MS);
    }
    cluster.run_for(2 * SECOND);
    let newest = cluster.node(0).version_log().number();
    assert!(newest >= 280, "{newest}");
    assert_eq!(cluster.node(1).version_log().newest().len(ListKind::Tenants), 50 * newest as usize);
    assert!(cluster.disks[0].bytes.len() < 16 << 20, "the log is compacted");
    cluster.blocked_links.clear();
    cluster.run_for(6 * SECOND);
    let replica = cluster.node(3);
    let policy = replica.apply_policy();
    let enforced = (policy.effective_number(), policy.newest_number());
    assert_eq!(enforced, (newest, newest), "{:?}", replica.counters);
    // A voter that restarts from its disk has all versions.
    cluster.kill(2);
    cluster.start(2);
    cluster.run_for(2 * SECOND);
    assert_eq!(cluster.node(2).version_log().number(), newest);
}

#[test]
fn a_voter_with_a_lost_disk_recovers_from_a_snapshot_after_compaction() {
    let mut cluster = Cluster::new(4, 3, 8);
    cluster.run_for(2 * SECOND);
    for n in 0..300 {
        cluster.commit(3, vec![put_tenant(&format!("t{n}"), Access::Allowed)]);
    }
    cluster.run_for(SECOND);
    let restarted = (0..3).find(|n| Some(*n) != cluster.leader()).unwrap();
    cluster.kill(restarted);
    cluster.disks[restarted] = Disk::default();
    cluster.start(restarted);
    cluster.run_for(3 * SECOND);
    assert_eq!(cluster.policies(), vec![(ApplyMode::Full, 300); 4]);
}

#[test]
fn a_diverged_history_is_dropped_and_entries_expire_for_all_nodes() {
    let mut cluster = Cluster::new(4, 3, 5);
    cluster.run_for(2 * SECOND);
    cluster.commit(0, vec![put_tenant("a", Access::Allowed)]);
    let mut other = Cluster::new(4, 3, 6);
    other.run_for(2 * SECOND);
    other.commit(0, vec![put_tenant("x", Access::Allowed)]);
    other.commit(0, vec![put_tenant("y", Access::Allowed)]);
    other.run_for(SECOND);
    cluster.kill(3);
    cluster.snapshots[3] = other.node(3).snapshot().unwrap();
    cluster.start(3);
    cluster.run_for(2 * SECOND);
    let node = cluster.node(3);
    assert_eq!((node.apply_policy().effective_number(), node.counters.divergence_resets), (1, 1));
    assert_eq!(node.version_log().newest(), cluster.node(0).version_log().newest());
    let entry = ListEntry { access: Access::Denied, expires_at: cluster.now + 2 * SECOND };
    cluster.commit(0, vec![Change::Put { kind: ListKind::Callers, key: "7".into(), entry }]);
    cluster.run_for(500 * MS);
    assert!(cluster.node(3).apply_policy().rejects(ListKind::Callers, "7"));
    cluster.run_for(5 * SECOND);
    assert!(cluster.nodes.iter().flatten().all(|node| !node.apply_policy().rejects(ListKind::Callers, "7")));
}
