//! Tests with seeded sequences of overlapping faults.

use crate::support::{config, put_tenant, Cluster, MS, SECOND};
use asterrill::Us;
use asterrill_consensus::{Access, ApplyMode, Change, ListKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;

/// Result of a seeded case.
#[derive(Debug, PartialEq)]
struct CaseResult {
    trace_hash: u64,
    longest_contradiction: Us,
}

/// Runs one seeded case.
///
/// Faults overlap, keys are allowed, denied and removed at random, and the invariants are checked throughout.
fn run_case(seed: u64, nodes: usize) -> CaseResult {
    let mut cluster = Cluster::new(nodes, 3, seed);
    cluster.run_for(1_500 * MS);
    let mut rng = StdRng::seed_from_u64(seed ^ 77);
    for _ in 0..6 {
        match rng.random_range(0..8) {
            0 => {
                let one_side: Vec<usize> = (0..nodes).filter(|_| rng.random()).collect();
                cluster.blocked_links.clear();
                cluster.partition(&one_side);
            }
            1 => {
                cluster.blocked_links =
                    BTreeSet::from([(rng.random_range(0..nodes), rng.random_range(0..nodes))])
            }
            2 => {
                cluster.paused.insert(rng.random_range(0..nodes));
            }
            3 => cluster.paused.clear(),
            4 => {
                let n = rng.random_range(0..nodes);
                cluster.paused.remove(&n);
                cluster.kill(n);
                cluster.run_for(rng.random_range(0..300) * MS);
                cluster.start(n);
            }
            5 => cluster.loss_probability = [0.0, 0.05, 0.2][rng.random_range(0..3)],
            6 => {
                if let Some(n) = cluster.leader() {
                    cluster.kill(n);
                    cluster.run_for(rng.random_range(0..400) * MS);
                    cluster.start(n);
                }
            }
            _ => cluster.blocked_links.clear(),
        }
        let key = ["a", "b", "c"][rng.random_range(0..3)];
        let access = if rng.random() { Access::Allowed } else { Access::Denied };
        let change = match rng.random_range(0..4) {
            0 => Change::Remove { kind: ListKind::Tenants, key: key.into() },
            _ => put_tenant(key, access),
        };
        let proposer = rng.random_range(0..nodes);
        if !cluster.paused.contains(&proposer) {
            cluster.propose_changes(proposer, vec![change]);
        }
        cluster.run_for(rng.random_range(100..1_200) * MS);
    }
    // After the faults end all nodes reach the same version in time, and no version that was reported as committed is lost.
    cluster.paused.clear();
    cluster.blocked_links.clear();
    cluster.loss_probability = 0.0;
    cluster.run_for(5 * SECOND);
    let policies = cluster.policies();
    let expected = (ApplyMode::Full, policies[0].1);
    assert!(policies.iter().all(|policy| *policy == expected), "seed {seed}: {policies:?}");
    let log = cluster.node(0).version_log();
    for (number, hash) in &cluster.committed {
        assert_eq!(
            log.version(*number).map(|version| version.hash()),
            Some(*hash),
            "seed {seed}: version {number} is lost"
        );
    }
    let bound = config(3).contradiction_bound();
    assert!(
        cluster.longest_contradiction <= bound,
        "seed {seed}: versions contradicted for {} us, bound {bound} us",
        cluster.longest_contradiction
    );
    CaseResult { trace_hash: cluster.trace_hash, longest_contradiction: cluster.longest_contradiction }
}

#[test]
fn seeded_faults_keep_the_invariants_and_replay_to_the_same_trace() {
    for seed in 0..25 {
        run_case(seed, 6);
    }
    assert_eq!(run_case(7, 6), run_case(7, 6));
}

#[test]
#[ignore = "takes minutes; run: cargo test -p asterrill-consensus --release -- --ignored --nocapture"]
fn two_thousand_seeded_cases_keep_the_invariants() {
    let threads: Vec<_> = (0..6_u64)
        .map(|t| {
            std::thread::spawn(move || {
                let seeds = 10_000 + t * 334..10_000 + (t + 1) * 334;
                seeds.map(|seed| run_case(seed, 6).longest_contradiction).collect::<Vec<Us>>()
            })
        })
        .collect();
    let worst: Vec<Us> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    println!("{} cases, versions contradicted for at most {} us", worst.len(), worst.iter().max().unwrap());
}
