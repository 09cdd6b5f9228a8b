//! Tests of the graceful shutdown.

use super::*;

#[test]
fn drain_is_announced_and_all_rpcs_are_answered() {
    let mut harness = CoreHarness::new(9);
    let stream = harness.send_rpc(1, "look", 5_000 * MS, None);
    harness.core.drain(harness.now, 1_000 * MS, &mut harness.peers);
    // A second notice has no effect.
    harness.core.drain(harness.now, 9_000 * MS, &mut harness.peers);
    assert!(
        !harness.peers.drain_announced
            && harness.peers.serving.last() == Some(&false)
            && !harness.core.is_drained()
    );
    // RPCs received within the health propagation delay are run, so sidecars are asked to send no new ones only after
    // it.
    harness.advance(400 * MS);
    assert!(harness.peers.drain_announced && !harness.core.is_drained());
    harness.advance(599 * MS);
    assert_eq!(harness.peers.answers[&stream].0, "aborted");
    assert!(harness.core.is_drained());
}

#[test]
fn drain_before_the_agent_greets_counts_from_its_request() {
    for greeting_ms in [50, 250] {
        let server_at = |at| server_parts(at, 1, &sample_settings(), Some(true));
        let (mut core, mut peers) =
            (Core::new(START, server_at(START), BufferPool::new(500), 4), FakePeers::default());
        core.start(START, &mut peers);
        core.drain(START, 1_000 * MS, &mut peers);
        let greeted_at = START + greeting_ms * MS;
        core.agent_connected(greeted_at, &mut peers);
        // The agent started 50 ms before the shutdown notice, or 150 ms after it.
        core.agent_greeted(greeted_at, Some(server_at(greeted_at - 100 * MS)), &mut peers);
        assert!(!peers.serving.contains(&true), "reported as serving: {:?}", peers.serving);
        let mut harness = CoreHarness::with_core(core, peers, greeted_at, &sample_settings());
        harness.send_rpc(1, "book", 900 * MS, None);
        assert_eq!(harness.peers.runs.len(), 1, "run within the health propagation delay");
        harness.advance(START + 420 * MS - harness.now);
        assert!(harness.peers.drain_announced, "announced after the health propagation delay");
        let late = harness.send_rpc(2, "book", 900 * MS, None);
        assert_eq!(
            (harness.peers.runs.len(), harness.peers.answers[&late].0),
            (1, "rejected"),
            "rejected after the health propagation delay"
        );
        harness.advance(1_000 * MS);
        assert!(harness.core.is_drained() && harness.core.unanswered_rpcs() == 0);
    }
}
