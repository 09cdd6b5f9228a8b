//! Tests of the coalescing of attempts: idempotency keys and the response cache.

use super::*;

#[test]
fn attempts_share_an_idempotency_key_by_method_tenant_and_body() {
    let mut settings = sample_settings();
    let pay = json!({"Name": "pay", "AimMs": 400, "DeadlineMs": 900, "Effect": "guarded", "WindowMs": 700, "Worth": 3});
    settings["Categories"].as_array_mut().unwrap().push(pay);
    let mut harness = CoreHarness::with_settings(3, &settings);
    let send_attempt = |harness: &mut CoreHarness, conn: u64, method: &str, body: &[u8]| {
        harness.next_id += 1;
        let (id, stream) = (
            RpcId::from_number(harness.next_id),
            SidecarStream { conn: ConnectionId(conn), stream: StreamId(harness.next_id as u32) },
        );
        let (method, tenant, caller) = (method.to_string(), "acme".to_string(), CallerId(conn));
        let (arrived_at, deadline, size_kb) = (harness.now, Some(harness.now + 800 * MS), 20.0 + conn as f64);
        harness.peers.bodies.insert(id, body.to_vec());
        let request = RpcRequest { id, method, tenant, caller, arrived_at, deadline, size_kb, key: None };
        assert_eq!(harness.core.rpc_received(harness.now, stream, request, body, &mut harness.peers), Ok(()));
        stream
    };
    // Attempts from the same sidecar, from another one, and some time after the first was answered.
    let first = send_attempt(&mut harness, 1, "pay", b"order 17");
    let others = [
        send_attempt(&mut harness, 1, "pay", b"order 17"),
        send_attempt(&mut harness, 2, "pay", b"order 17"),
    ];
    assert_eq!(harness.peers.runs.len(), 1, "one run for all attempts");
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    harness.advance(300 * MS);
    let late = send_attempt(&mut harness, 3, "pay", b"order 17");
    let answers: BTreeSet<_> =
        others.iter().chain([&first, &late]).map(|stream| harness.peers.answers[stream].clone()).collect();
    assert!(
        answers.len() == 1 && answers.first().is_some_and(|(outcome, _)| *outcome == "ok"),
        "{answers:?}"
    );
    assert_eq!((harness.peers.runs.len(), harness.core.stats().coalesced), (1, 3));
    // An RPC with another body is not an attempt, nor is one of a method that may run again.
    send_attempt(&mut harness, 1, "pay", b"order 18");
    send_attempt(&mut harness, 1, "look", b"order 17");
    assert_eq!(harness.peers.runs.len(), 3);
    // After the window the RPC may run again.
    harness.advance(600 * MS);
    send_attempt(&mut harness, 1, "pay", b"order 17");
    assert_eq!(harness.peers.runs.len(), 4);
}

#[test]
fn reads_of_one_key_share_a_run() {
    let mut harness = CoreHarness::new(3);
    for conn in 0..3 {
        // RPCs of a connection without a completed run are not coalesced.
        harness.send_rpc(conn, "look", 900 * MS, Some(9));
        assert_eq!(harness.peers.runs.len() as u64, conn + 1);
        harness.advance_run(1, false);
        harness.deliver_notices(1);
    }
    harness.advance(200 * MS);
    harness.peers.runs.clear();
    let streams = [0, 1, 2].map(|conn| harness.send_rpc(conn, "look", 900 * MS, Some(9)));
    assert_eq!(harness.peers.runs.len(), 1);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    // The cached result has not expired yet.
    let late = harness.send_rpc(1, "look", 900 * MS, Some(9));
    let answers: BTreeSet<_> =
        streams.iter().chain([&late]).map(|stream| harness.peers.answers[stream].clone()).collect();
    assert_eq!(answers.len(), 1);
    assert_eq!(harness.peers.runs.len(), 1);
    harness.advance(200 * MS);
    // The cached result has expired.
    harness.send_rpc(1, "look", 900 * MS, Some(9));
    assert_eq!(harness.peers.runs.len(), 2);
    // Another RPC with the same entity key can't be answered with the result of the first.
    harness.send_rpc_with_body(1, "look", 900 * MS, Some(9), b"another".to_vec());
    assert_eq!(harness.peers.runs.len(), 3);
}
