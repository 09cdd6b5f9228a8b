//! Tests of the transaction: single operations, and random sequences of operations.

use crate::versions::SECOND;
use asterrill_rollout::*;
use quickcheck::{Gen, QuickCheck};

fn proposal(text: &str, base: Option<u64>, options: StageOptions) -> Proposal<String> {
    Proposal { content: text.to_string(), hash: text.into(), base, options }
}
fn default_proposal(text: &str) -> Proposal<String> {
    proposal(text, None, StageOptions::default())
}
fn start() -> Rollout<String> {
    Rollout::new("a".to_string(), "a", 0)
}

#[test]
fn staged_version_runs_once_applied_and_roll_back_restores_the_one_before() {
    let mut rollout = start();
    let before = rollout.running().clone();
    assert_eq!(rollout.stage(1, proposal("b", Some(1), StageOptions::default())), Ok(2));
    assert_eq!((rollout.running(), rollout.staged().map(|v| v.number)), (&before, Some(2)));
    assert_eq!(rollout.apply(2, Some(1), 30 * SECOND).unwrap().content, "b");
    assert_eq!(
        (rollout.running().number, rollout.last_good(), rollout.phase()),
        (2, &before, Phase::Probation(30 * SECOND + 2))
    );
    assert_eq!(rollout.roll_back(3, "loss"), Ok(before.clone()));
    assert_eq!((rollout.running(), rollout.phase()), (&before, Phase::Confirmed));
    // The same content is rejected unless it is forced, and then gets a new number.
    assert_eq!(rollout.stage(4, default_proposal("b")), Err(RolloutError::PreviouslyRolledBack(2)));
    assert_eq!(rollout.stage(4, proposal("b", None, StageOptions { force: true, queue: false })), Ok(3));
    let events: Vec<_> = rollout.history().map(|event| (event.kind.as_str(), event.version)).collect();
    assert_eq!(events, [("applied", 1), ("staged", 2), ("applied", 2), ("undone", 2), ("staged", 3)]);
}

#[test]
fn rejects_invalid_operations_with_their_reason() {
    let mut rollout = start();
    assert_eq!(rollout.apply(0, None, SECOND), Err(RolloutError::NothingStaged));
    assert_eq!(rollout.confirm(0, ""), Err(RolloutError::NothingOnProbation));
    assert_eq!(rollout.roll_back(0, ""), Err(RolloutError::NothingOnProbation));
    assert_eq!(rollout.drop_staged(0), Err(RolloutError::NothingStaged));
    assert_eq!(
        rollout.stage(0, proposal("b", Some(7), StageOptions::default())),
        Err(RolloutError::BaseMismatch { given: 7, running: 1 })
    );
    assert_eq!(rollout.stage(0, default_proposal("a")), Err(RolloutError::Unchanged(1)));
    rollout.stage(0, default_proposal("b")).unwrap();
    assert_eq!(rollout.stage(0, default_proposal("c")), Err(RolloutError::AlreadyStaged(2)));
    assert_eq!(rollout.apply(0, Some(5), SECOND), Err(RolloutError::BaseMismatch { given: 5, running: 1 }));
    rollout.apply(0, None, SECOND).unwrap();
    assert_eq!(rollout.stage(0, default_proposal("c")), Err(RolloutError::OnProbation(2)));
    let queued = StageOptions { force: false, queue: true };
    assert_eq!(rollout.stage(0, proposal("c", None, queued)), Ok(3));
    assert_eq!(rollout.stage(0, proposal("d", None, queued)), Err(RolloutError::AlreadyQueued(3)));
    assert_eq!(rollout.apply(0, None, SECOND), Err(RolloutError::OnProbation(2)));
    rollout.begin_shutdown();
    assert_eq!(rollout.stage(0, default_proposal("e")), Err(RolloutError::ShuttingDown));
}

#[test]
fn queued_version_is_staged_after_confirm_and_dropped_after_roll_back() {
    let queued = StageOptions { force: false, queue: true };
    for good in [true, false] {
        let mut rollout = start();
        rollout.stage(0, default_proposal("b")).unwrap();
        rollout.apply(0, None, SECOND).unwrap();
        rollout.stage(0, proposal("c", None, queued)).unwrap();
        if good {
            rollout.confirm(1, "fine").unwrap();
            assert_eq!(rollout.staged().map(|v| v.number), Some(3));
            assert_eq!(rollout.apply(2, Some(2), SECOND).unwrap().content, "c");
        } else {
            assert_eq!(rollout.roll_back(1, "loss").unwrap().content, "a");
            assert!(rollout.staged().is_none() && rollout.queued().is_none());
            assert_eq!(
                rollout.history().last().map(|event| (event.kind.as_str(), event.version)),
                Some(("dropped", 3))
            );
        }
    }
}

#[test]
fn random_operations_keep_the_expected_versions_and_increasing_numbers() {
    fn keeps_invariants(operations: Vec<(u8, u8)>) -> bool {
        let mut rollout = start();
        let (mut good, mut running, mut newest) = ("a".to_string(), "a".to_string(), 1);
        for (i, (operation, n)) in operations.into_iter().enumerate() {
            let now = i as Us * SECOND;
            let options = StageOptions { force: n % 3 == 0, queue: n % 5 == 0 };
            let base = [None, Some(rollout.running().number), Some(u64::from(n))][n as usize % 3];
            match operation % 6 {
                0 | 1 => {
                    if let Ok(number) = rollout.stage(now, proposal(&format!("t{}", n % 16), base, options)) {
                        assert!(number > newest);
                        newest = number;
                    }
                }
                2 => {
                    if let Ok(version) = rollout.apply(now, base, SECOND) {
                        running = version.content;
                    }
                }
                3 if rollout.confirm(now, "").is_ok() => good = running.clone(),
                4 => {
                    if let Ok(version) = rollout.roll_back(now, "") {
                        assert_eq!(version.content, good);
                        running = good.clone();
                    }
                }
                _ => drop(rollout.drop_staged(now)),
            }
            assert_eq!((&rollout.running().content, &rollout.last_good().content), (&running, &good));
            assert!(rollout.history().count() <= 64 && rollout.rolled_back().count() <= 64);
        }
        true
    }
    let mut runs = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(400, 8));
    runs.quickcheck(keeps_invariants as fn(Vec<(u8, u8)>) -> bool);
}
