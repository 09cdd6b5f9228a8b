//! Tests of RPCs and health checks of sidecars.

use super::*;

#[test]
fn thorough_health_checks_share_an_exercise() {
    let mut harness = CoreHarness::new(6);
    let stream = |n| SidecarStream { conn: ConnectionId(9), stream: StreamId(n) };
    harness.core.health_check(harness.now, stream(1), false, &mut harness.peers);
    assert_eq!(harness.peers.health, [(stream(1), true)]);
    for n in 2..5 {
        harness.core.health_check(harness.now, stream(n), true, &mut harness.peers);
    }
    assert_eq!((harness.peers.exercises.len(), harness.peers.health.len()), (1, 1));
    let tag = harness.peers.exercises[0];
    harness.core.exercise_finished(harness.now, tag, true, &mut harness.peers);
    assert!(harness.peers.health.len() == 4 && harness.peers.health.iter().all(|(_, healthy)| *healthy));
    harness.core.health_check(harness.now, stream(5), true, &mut harness.peers);
    // The agent does not respond.
    harness.advance(300 * MS);
    assert_eq!(harness.peers.health.last(), Some(&(stream(5), false)));
    // A late result of the previous exercise is ignored.
    harness.core.exercise_finished(harness.now, tag, true, &mut harness.peers);
    assert_eq!(harness.peers.health.len(), 5);
}

#[test]
fn bounds_open_streams_of_a_connection() {
    let mut harness = CoreHarness::new(7);
    for _ in 0..200 {
        harness.send_rpc(1, "look", 900 * MS, None);
    }
    assert!(harness.core.pending_answers_on(ConnectionId(1)) <= 32);
    harness.run_to_completion();
}

#[test]
fn aborts_unknown_methods_tenants_and_ids_in_use() {
    let mut harness = CoreHarness::new(8);
    let first = harness.send_rpc(1, "look", 900 * MS, None);
    let unknown_method = harness.send_rpc(1, "riddle", 900 * MS, None);
    assert_eq!(harness.peers.answers[&unknown_method].0, "aborted");
    let stream = SidecarStream { conn: ConnectionId(2), stream: StreamId(1) };
    let same_id = harness.rpcs[&first].0.clone();
    let received = harness.core.rpc_received(harness.now, stream, same_id, b"x", &mut harness.peers);
    assert_eq!(received, Ok(()));
    assert_eq!(harness.peers.answers[&stream].0, "aborted");
    assert!(!harness.peers.answers.contains_key(&first));
    let mut unknown_tenant = harness.rpcs[&first].0.clone();
    (unknown_tenant.id, unknown_tenant.tenant) = (RpcId::new("00000000000000fe").unwrap(), "nobody".into());
    let stream = SidecarStream { conn: ConnectionId(2), stream: StreamId(2) };
    assert_eq!(
        harness.core.rpc_received(harness.now, stream, unknown_tenant, b"x", &mut harness.peers),
        Ok(())
    );
    assert_eq!((harness.peers.answers[&stream].0, harness.peers.runs.len()), ("aborted", 1));
}

/// Guards against the result of one RPC for another that used its id, and against a second run of its retry.
#[test]
fn aborts_an_rpc_with_the_id_of_a_remembered_one() {
    let mut settings = sample_settings();
    settings["FamilyInfo"]["FreshMs"] = json!(400.0);
    let mut harness = CoreHarness::with_settings(9, &settings);
    let verifying = harness.send_rpc(1, "look", 900 * MS, None);
    harness.advance_run(0, false);
    harness.deliver_notices(usize::MAX);
    assert!(harness.peers.answers.contains_key(&verifying));
    let first = harness.send_rpc(1, "look", 900 * MS, Some(7));
    while !harness.peers.answers.contains_key(&first) {
        harness.advance_run(1, false);
        harness.deliver_notices(usize::MAX);
    }
    assert_eq!(harness.peers.answers[&first].0, "ok");
    let reused = RpcRequest { key: Some(8), ..harness.rpcs[&first].0.clone() };
    let stream = SidecarStream { conn: ConnectionId(2), stream: StreamId(1) };
    let runs = harness.peers.runs.len();
    let received = harness.core.rpc_received(harness.now, stream, reused, b"other", &mut harness.peers);
    assert_eq!(received, Ok(()));
    assert_eq!((harness.peers.answers[&stream].0, harness.core.stats().rpc_ids_reused), ("aborted", 1));
    let retry = harness.send_rpc(1, "look", 900 * MS, Some(7));
    assert_eq!(harness.peers.answers[&retry], harness.peers.answers[&first]);
    assert_eq!(harness.peers.runs.len(), runs, "nothing ran for the reused id or for the retry");
}

#[test]
fn closes_a_connection_whose_rpcs_cannot_be_run() {
    let mut harness = CoreHarness::new(12);
    for n in 0..8 {
        harness.send_rpc(2, "riddle", 900 * MS, None);
        if n == 2 {
            let runnable = harness.send_rpc(2, "look", 900 * MS, None);
            harness.advance_run(1, false);
            harness.deliver_notices(1);
            assert_eq!(harness.peers.answers[&runnable].0, "ok");
        }
    }
    assert!(harness.peers.closed_connections.is_empty());
    for n in 0..4 {
        // The agent refuses to launch it.
        let refused = harness.send_rpc(3, "look", 900 * MS, None);
        let id = harness.rpcs[&refused].0.id;
        assert_eq!(harness.peers.closed_connections.len(), 0, "after {n}");
        harness.core.command_refused(harness.now, Some(id), &mut harness.peers);
        assert_eq!(harness.peers.answers[&refused].0, "aborted");
    }
    assert_eq!(harness.peers.closed_connections, [ConnectionId(3)]);
    let after = harness.send_rpc(3, "look", 900 * MS, None);
    assert!(!harness.rpcs.contains_key(&after), "nothing more is accepted from it");
}

#[test]
fn read_delay_starts_no_earlier_than_the_agent() {
    let mut harness = CoreHarness::new(11);
    harness.advance(500 * MS);
    let (id, stream) = (
        RpcId::new("00000000000000ff").unwrap(),
        SidecarStream { conn: ConnectionId(1), stream: StreamId(1) },
    );
    let (method, tenant, caller) = ("look".to_string(), "acme".to_string(), CallerId(1));
    let request =
        RpcRequest { id, method, tenant, caller, arrived_at: 0, deadline: Some(1), size_kb: 20.0, key: None };
    harness.core.rpc_received(harness.now, stream, request, b"", &mut harness.peers).unwrap();
    assert_eq!(harness.peers.answers[&stream].0, "rejected");
    let accepted = harness.send_rpc(2, "look", 900 * MS, None);
    assert!(
        !harness.peers.answers.contains_key(&accepted) && harness.peers.credit.unwrap() > 0.1,
        "{:?}",
        harness.peers.credit
    );
}

#[test]
fn rpc_without_a_deadline_gets_the_deadline_of_its_method() {
    let mut harness = CoreHarness::new(11);
    harness.advance(500 * MS);
    let (method, tenant, caller) = ("look".to_string(), "acme".to_string(), CallerId(1));
    let (id, stream) = (RpcId::from_number(9), SidecarStream { conn: ConnectionId(1), stream: StreamId(1) });
    let arrived_at = harness.now - 20 * MS;
    let request =
        RpcRequest { id, method, tenant, caller, arrived_at, deadline: None, size_kb: 20.0, key: None };
    harness.core.rpc_received(harness.now, stream, request, b"", &mut harness.peers).unwrap();
    assert!(harness.peers.runs.contains_key(&id), "launched like any other RPC");
    let mut waited_ms = 0;
    while !harness.peers.answers.contains_key(&stream) {
        (harness.now, waited_ms) = (harness.now + MS, waited_ms + 1);
        harness.core.tick(harness.now, &mut harness.peers);
        assert!(harness.now <= arrived_at + DEADLINE, "no answer by its deadline");
    }
    assert!(harness.now + 50 * MS > arrived_at + DEADLINE && waited_ms > 100, "too early: {waited_ms} ms");
}

/// Sends RPCs of one connection, each of which states the caller that `caller_of` returns for its index.
fn send_many_as(harness: &mut CoreHarness, caller_of: impl Fn(u64) -> u64) {
    for n in 0..30 {
        let body = format!("own {n}").into_bytes();
        harness.send_rpc_as(1, CallerId(caller_of(n)), "look", 900 * MS, None, body);
    }
}

/// Guards against a client that gets an account, and with it a share of the server, for each number that it makes up.
#[test]
fn stated_callers_of_a_connection_share_one_account_and_leave_others_their_share() {
    let mut harness = CoreHarness::new(31);
    send_many_as(&mut harness, |n| 1_000 + n);
    let steady = harness.send_rpc(2, "look", 900 * MS, None);
    assert_eq!(harness.peers.answers.get(&steady), None, "the RPC of the other connection is accepted");
    assert_eq!(harness.core.learned().accounts.len(), 2, "one account for each connection");
    harness.run_to_completion();
}

/// Guards against a client that spends the account of another by stating its number.
#[test]
fn stating_the_number_of_another_connection_does_not_charge_its_account() {
    let mut harness = CoreHarness::new(32);
    let first = harness.send_rpc(2, "look", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&first].0, "ok");
    send_many_as(&mut harness, |_| 2);
    let steady = harness.send_rpc(2, "look", 900 * MS, None);
    assert_eq!(harness.peers.answers.get(&steady), None, "the RPC of the other connection is accepted");
    harness.run_to_completion();
}

/// Guards against accounts that accumulate with the connections and the callers that they state.
#[test]
fn accounts_are_as_many_as_connections_were_open_at_a_time() {
    let mut harness = CoreHarness::new(33);
    for conn in 10..200 {
        let body = format!("own {conn}").into_bytes();
        harness.send_rpc_as(conn, CallerId(conn * 7), "look", 900 * MS, None, body);
        harness.core.connection_closed(harness.now, ConnectionId(conn), &mut harness.peers);
        harness.advance(MS);
    }
    assert_eq!(harness.core.learned().accounts.len(), 1);
}
