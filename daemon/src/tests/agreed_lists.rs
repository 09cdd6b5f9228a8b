//! Tests of the agreed deny lists.

use super::*;

#[test]
fn rejects_by_agreed_lists_and_by_the_stricter_version_after_the_lease() {
    use asterrill_consensus::{Access, ApplyPolicy, Change, ListEntry, ListKind, Step, Version};
    let put = |kind, key: &str, access| Change::Put {
        kind,
        key: key.into(),
        entry: ListEntry { access, expires_at: 0 },
    };
    let step = |version: &Version, changes| {
        version.apply(&Step { base: None, proposer: "n1".into(), changes }).unwrap()
    };
    let one = step(
        &Version::default(),
        vec![put(ListKind::Callers, "1", Access::Allowed), put(ListKind::Callers, "2", Access::Denied)],
    );
    let two = step(&one, vec![put(ListKind::Callers, "1", Access::Denied)]);
    let mut harness = CoreHarness::new(5);
    let rejected_callers = |harness: &mut CoreHarness| {
        [1, 2, 3].map(|conn| {
            let (launched, stream) =
                (harness.peers.runs.len(), harness.send_rpc(conn, "look", 800 * MS, None));
            let rejected =
                harness.peers.answers.get(&stream).is_some_and(|(outcome, _)| *outcome == "rejected");
            assert!(!rejected || harness.peers.runs.len() == launched, "rejected after its launch");
            // All runs end, so that they don't affect the next RPC.
            (0..4).for_each(|n| harness.advance_run(n + 1, false));
            harness.deliver_notices(usize::MAX);
            rejected
        })
    };
    assert_eq!(rejected_callers(&mut harness), [false; 3], "no lists are agreed yet");
    harness.core.set_apply_policy(ApplyPolicy::full(one.clone()));
    assert_eq!(rejected_callers(&mut harness), [false, true, false]);
    harness.core.set_apply_policy(ApplyPolicy::transition(one, two));
    assert_eq!(
        rejected_callers(&mut harness),
        [true, true, false],
        "the stricter of the two versions applies"
    );
    harness.core.expire_policy_lease();
    assert_eq!(rejected_callers(&mut harness), [true, true, false], "an entry may have been revoked");
    assert_eq!((harness.core.stats().denied_by_policy, harness.peers.violations.len()), (5, 0));
}
