//! RPCs that are attempts of one another: idempotency keys and the response cache.

use super::*;

#[test]
fn attempts_share_an_idempotency_key_by_method_tenant_and_body() {
    let mut settings = sample_settings();
    let pay = json!({"Name": "pay", "AimMs": 400, "DeadlineMs": 900, "Effect": "guarded", "WindowMs": 700, "Worth": 3});
    settings["Categories"].as_array_mut().unwrap().push(pay);
    let mut harness = CoreHarness::with_settings(3, &settings);
    let try_of = |harness: &mut CoreHarness, conn: u64, method: &str, body: &[u8]| {
        harness.next_id += 1;
        let (id, stream_ref) = (
            RpcId::from_number(harness.next_id),
            SidecarStream { conn: ConnectionId(conn), stream: StreamId(harness.next_id as u32) },
        );
        let (method, tenant, caller) = (method.to_string(), "acme".to_string(), CallerId(conn));
        let (arrived_at, deadline, size_kb) = (harness.now, Some(harness.now + 800 * MS), 20.0 + conn as f64);
        harness.peers.bodies.insert(id, body.to_vec());
        let request = RpcRequest { id, method, tenant, caller, arrived_at, deadline, size_kb, key: None };
        assert!(harness.core.rpc_received(harness.now, stream_ref, request, body, &mut harness.peers));
        stream_ref
    };
    // Of one sidecar, of another, and a while after the first has been answered.
    let first = try_of(&mut harness, 1, "pay", b"order 17");
    let others = [try_of(&mut harness, 1, "pay", b"order 17"), try_of(&mut harness, 2, "pay", b"order 17")];
    assert_eq!(harness.peers.runs.len(), 1, "one run for all attempts");
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    harness.advance(300 * MS);
    let late = try_of(&mut harness, 3, "pay", b"order 17");
    let made: BTreeSet<_> =
        others.iter().chain([&first, &late]).map(|p| harness.peers.answers[p].clone()).collect();
    assert!(made.len() == 1 && made.first().is_some_and(|(what, _)| *what == "ok"), "{made:?}");
    assert_eq!((harness.peers.runs.len(), harness.core.stats().coalesced), (1, 3));
    // Another body is another RPC, and so is the same one of a method that may run again.
    try_of(&mut harness, 1, "pay", b"order 18");
    try_of(&mut harness, 1, "look", b"order 17");
    assert_eq!(harness.peers.runs.len(), 3);
    // Once the window is over, it may run again.
    harness.advance(600 * MS);
    try_of(&mut harness, 1, "pay", b"order 17");
    assert_eq!(harness.peers.runs.len(), 4);
}

#[test]
fn reads_of_one_key_share_a_run() {
    let mut harness = CoreHarness::new(3);
    for conn in 0..3 {
        harness.send_rpc(conn, "look", 900 * MS, Some(9)); // of a connection without a run nothing is shared
        assert_eq!(harness.peers.runs.len() as u64, conn + 1);
        harness.advance_run(1, false);
        harness.deliver_notices(1);
    }
    harness.advance(200 * MS);
    harness.peers.runs.clear();
    let stream_refs = [0, 1, 2].map(|conn| harness.send_rpc(conn, "look", 900 * MS, Some(9)));
    assert_eq!(harness.peers.runs.len(), 1);
    harness.advance_run(1, false);
    harness.deliver_notices(1);
    let late = harness.send_rpc(1, "look", 900 * MS, Some(9)); // within the time that a result stays fresh
    let ok: BTreeSet<_> =
        stream_refs.iter().chain([&late]).map(|p| harness.peers.answers[p].clone()).collect();
    assert_eq!(ok.len(), 1);
    assert_eq!(harness.peers.runs.len(), 1);
    harness.advance(200 * MS);
    harness.send_rpc(1, "look", 900 * MS, Some(9)); // too late for it
    assert_eq!(harness.peers.runs.len(), 2);
    // Another RPC about the same: what a run made for one is no answer to the other.
    harness.send_rpc_with_body(1, "look", 900 * MS, Some(9), b"another".to_vec());
    assert_eq!(harness.peers.runs.len(), 3);
}
