//! Tests of the agreed deny lists.

use super::*;
use asterrill_consensus::{Access, ApplyPolicy, Change, ListEntry, ListKind, Step, Version};

/// Name of a method whose RPCs have idempotency keys.
const KEYED_METHOD: &str = "pay";

fn deny_tenant(core: &mut Core, tenant: &str) {
    let entry = ListEntry { access: Access::Denied, expires_at: 0 };
    let change = Change::Put { kind: ListKind::Tenants, key: tenant.into(), entry };
    let step = Step { base: None, proposer: "n1".into(), changes: vec![change] };
    core.set_apply_policy(ApplyPolicy::full(Version::default().apply(&step).unwrap()));
}

fn harness_with_keyed_method() -> CoreHarness {
    let mut settings = sample_settings();
    let keyed = json!({"Name": KEYED_METHOD, "AimMs": 400, "DeadlineMs": 900, "Effect": "guarded", "WindowMs": 700,
        "Worth": 3});
    settings["Categories"].as_array_mut().unwrap().push(keyed);
    CoreHarness::with_settings(3, &settings)
}

fn send_order(harness: &mut CoreHarness, order: &str) -> SidecarStream {
    let body = format!("order {order}").into_bytes();
    harness.send_rpc_with_body(1, KEYED_METHOD, 800 * MS, None, body)
}

/// Guards against the rejection of a retry whose first attempt has run: its caller would believe that nothing ran.
#[test]
fn retry_of_what_has_run_gets_its_result_after_its_tenant_was_denied() {
    let mut harness = harness_with_keyed_method();
    let first = send_order(&mut harness, "17");
    deny_tenant(&mut harness.core, "acme");
    let early_retry = send_order(&mut harness, "17");
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&first].0, "ok");
    harness.advance(300 * MS);
    let late_retry = send_order(&mut harness, "17");
    for retry in [early_retry, late_retry] {
        assert_eq!(harness.peers.answers[&retry], harness.peers.answers[&first]);
    }
    let other = send_order(&mut harness, "18");
    assert_eq!(harness.peers.answers[&other].0, "rejected", "an order that has not run is denied");
    assert_eq!((harness.peers.runs.len(), harness.core.stats().denied_by_policy), (1, 1));
    harness.advance(700 * MS);
    let after_the_window = send_order(&mut harness, "17");
    assert_eq!(harness.peers.answers[&after_the_window].0, "rejected");
}

/// Guards against a run of a denied RPC that waited for an attempt which never ran.
#[test]
fn denied_retry_is_rejected_if_the_first_attempt_never_runs() {
    let mut harness = harness_with_keyed_method();
    // These runs occupy all cores, so that the order waits in the queue.
    let runs: Vec<SidecarStream> =
        (0..40).map(|conn| harness.send_rpc(conn, "look", 800 * MS, None)).collect();
    let first = send_order(&mut harness, "17");
    let launched = harness.peers.runs.len();
    assert!(launched < runs.len(), "all RPCs were launched at once");
    deny_tenant(&mut harness.core, "acme");
    let retry = send_order(&mut harness, "17");
    assert!(!harness.peers.answers.contains_key(&retry), "it waits for the first attempt");
    harness.cancel(first);
    assert_eq!(harness.peers.answers[&retry].0, "rejected");
    harness.run_to_completion();
}

#[test]
fn rejects_by_agreed_lists_and_by_the_stricter_version_after_the_lease() {
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
