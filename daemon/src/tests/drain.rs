//! The graceful shutdown.

use super::*;

#[test]
fn drain_is_announced_and_all_rpcs_are_answered() {
    let mut harness = CoreHarness::new(9);
    let stream_ref = harness.send_rpc(1, "look", 5_000 * MS, None);
    harness.core.drain(harness.now, 1_000 * MS, &mut harness.peers);
    harness.core.drain(harness.now, 9_000 * MS, &mut harness.peers); // a second notice changes nothing
    assert!(
        !harness.peers.drain_announced
            && harness.peers.serving.last() == Some(&false)
            && !harness.core.is_drained()
    );
    harness.advance(400 * MS); // the grace: what comes until then is run, so callers are asked to leave only now
    assert!(harness.peers.drain_announced && !harness.core.is_drained());
    harness.advance(599 * MS);
    assert_eq!(harness.peers.answers[&stream_ref].0, "aborted");
    assert!(harness.core.is_drained());
}

#[test]
fn drain_before_the_agent_greets_counts_from_its_request() {
    for greets in [50, 250] {
        let made = |at| server_parts(at, 1, &sample_settings(), Some(true));
        let (mut core, mut out) =
            (Core::new(START, made(START), BufferPool::new(500), 4), FakePeers::default());
        core.start(START, &mut out);
        core.drain(START, 1_000 * MS, &mut out);
        let up = START + greets * MS;
        core.agent_connected(up);
        // The agent started before the notice, or after it.
        core.agent_up(up, Some(made(up - 100 * MS)), &mut out);
        assert!(!out.serving.contains(&true), "it never says that it takes work: {:?}", out.serving);
        let mut harness = CoreHarness::with_core(core, out, up, &sample_settings());
        harness.send_rpc(1, "book", 900 * MS, None);
        assert_eq!(harness.peers.runs.len(), 1, "within the grace it is run");
        harness.advance(START + 420 * MS - harness.now);
        assert!(harness.peers.drain_announced, "callers are asked to leave once the grace is over");
        let late = harness.send_rpc(2, "book", 900 * MS, None);
        assert_eq!(
            (harness.peers.runs.len(), harness.peers.answers[&late].0),
            (1, "rejected"),
            "after the grace nothing is run"
        );
        harness.advance(1_000 * MS);
        assert!(harness.core.is_drained() && harness.core.unanswered_rpcs() == 0);
    }
}
