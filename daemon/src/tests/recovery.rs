//! Tests of recovery: snapshots, stages and slow start.

use super::*;
use crate::recovery::{RecoveryConfig, RecoveryTracker};
use asterrill_operator_config::RecoverySettings;
use asterrill_recovery::{ClockReading, Snapshot, Stage};

fn tracker(now: Us, snapshot: Option<Snapshot>) -> RecoveryTracker {
    let config = RecoveryConfig {
        name: "n1".to_string(),
        settings_hash: 77,
        cores: 2.0,
        memory_mb: 64,
        clocks: ClockReading { wall: now, uptime: now / 2, boot_id: 9 },
        settings: RecoverySettings { snapshot_interval: 1_000 * MS, ..RecoverySettings::default() },
        snapshot,
        seed: 5,
        persistent: true,
    };
    RecoveryTracker::new(now, config)
}
fn harness_with(seed: u64, snapshot: Option<Snapshot>) -> CoreHarness {
    let mut core =
        Core::new(START, server_parts(START, seed, &sample_settings(), None), BufferPool::new(500), 4);
    let mut peers = FakePeers::default();
    core.start(START, &mut peers);
    core.start_recovery(START, tracker(START, snapshot), &mut peers);
    core.agent_connected(START, &mut peers);
    core.agent_greeted(START, None, &mut peers);
    core.restore_snapshot(START, false, &mut peers);
    CoreHarness::with_core(core, peers, START, &sample_settings())
}
fn serve(harness: &mut CoreHarness, rpcs: u64) {
    for _ in 0..rpcs {
        harness.send_rpc(1, "look", 900 * MS, None);
        harness.advance(30 * MS);
        harness.advance_run(1, false);
        harness.deliver_notices(9);
        harness.advance(60 * MS);
    }
}
fn stage(harness: &CoreHarness) -> Stage {
    harness.core.recovery_stages().unwrap().0.stage()
}

#[test]
fn learned_state_is_stored_and_restored() {
    let mut harness = harness_with(1, None);
    assert_eq!(stage(&harness), Stage::Restoring);
    harness.advance(200 * MS);
    assert_eq!(stage(&harness), Stage::Cold);
    serve(&mut harness, 40);
    let clocks = ClockReading { wall: START, uptime: START / 2, boot_id: 9 };
    let snapshot = harness.core.take_snapshot(harness.now, || clocks, false).unwrap();
    assert!(harness.core.take_snapshot(harness.now, || clocks, false).is_none(), "not due again yet");
    assert!(
        harness.core.take_snapshot(harness.now, || clocks, true).is_some(),
        "due at the shutdown notice in any case"
    );
    assert_eq!(harness.core.stats().snapshots, 2);
    let look = snapshot.methods.iter().find(|m| m.name == "look").unwrap();
    assert!((look.mean - 30_000.0).abs() < 15_000.0 && look.runs > 20.0, "{look:?}");
    assert!(snapshot.methods.iter().all(|m| m.name != "book"), "nothing was learned about it");
    let decoded = Snapshot::from_text(&snapshot.to_text()).unwrap();
    let harness = harness_with(2, Some(decoded));
    // Methods are in the order of their names, so "book" is the first one.
    let restored = harness.core.learned().costs[1];
    assert!((restored.mean - look.mean).abs() < 1.0 && restored.runs <= 8.0, "{restored:?} of {look:?}");
}

#[test]
fn snapshot_of_another_backend_changes_nothing() {
    let initial = harness_with(3, None).core.learned();
    let mut harness = harness_with(3, None);
    serve(&mut harness, 30);
    let mut snapshot = harness.core.take_snapshot(harness.now, ClockReading::default, true).unwrap();
    snapshot.name = "n2".into();
    assert_eq!(harness_with(3, Some(snapshot)).core.learned(), initial);
}

#[test]
fn full_stage_needs_evidence() {
    let mut harness = harness_with(4, None);
    harness.advance(60_000 * MS);
    assert_eq!(stage(&harness), Stage::Cold, "without RPCs there is no evidence");
    serve(&mut harness, 15);
    assert_eq!(stage(&harness), Stage::Warming);
    serve(&mut harness, 60);
    assert_eq!(stage(&harness), Stage::Full);
    harness.check_invariants();
}

#[test]
fn call_limit_after_a_start_is_raised_by_replies() {
    let mut harness = harness_with(5, None);
    let send_calls = |harness: &mut CoreHarness, rpcs: u64| {
        for _ in 0..rpcs {
            harness.send_rpc(1, "look", 900 * MS, None);
            harness.advance_run(0, true);
            harness.deliver_notices(9);
        }
        harness.peers.calls.len()
    };
    assert_eq!(send_calls(&mut harness, 3), 1, "one call at first");
    for _ in 0..30 {
        while !harness.peers.calls.is_empty() {
            harness.end_call(0, CallEnd::Ok);
        }
        harness.advance_run(0, false);
        harness.deliver_notices(9);
        harness.advance(50 * MS);
        send_calls(&mut harness, 2);
    }
    assert!(harness.peers.calls.len() > 1, "replies raise the limit");
}
