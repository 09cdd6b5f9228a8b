//! Tests of configuration versions: staging, switching, and the indices of names.

use super::*;

#[test]
fn rpc_of_a_removed_method_is_answered_and_new_ones_are_aborted() {
    let mut harness = CoreHarness::new(31);
    let streams: Vec<SidecarStream> = (0..6).map(|n| harness.send_rpc(n, "book", 900 * MS, None)).collect();
    let running = harness.peers.runs.len();
    assert!(running < 6);
    // One of them waits for a call.
    harness.advance_run(0, true);
    harness.deliver_notices(1);
    // This version has no method "book".
    harness.switch_version(2);
    let late = harness.send_rpc(9, "book", 900 * MS, None);
    assert_eq!(harness.peers.answers[&late].0, "aborted");
    harness.end_call(0, CallEnd::Ok);
    while harness.peers.runs.values().any(|run| !run.ended) {
        harness.advance_run(1, false);
        harness.deliver_notices(usize::MAX);
    }
    harness.check_invariants();
    let ok = streams
        .iter()
        .filter(|stream| harness.peers.answers.get(stream).is_some_and(|answer| answer.0 == "ok"))
        .count();
    assert!(ok >= running, "{ok} of {running}");
    // The method is added again, with the same index and learned state.
    harness.switch_version(0);
    let again = harness.send_rpc(10, "book", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&again].0, "ok");
    harness.run_to_completion();
}

#[test]
fn switches_versions_without_an_agent_link() {
    let first = server_parts(START, 1, &sample_settings(), None);
    let (mut core, mut peers) = (Core::new(START, first, BufferPool::new(500), 4), FakePeers::default());
    core.start(START, &mut peers);
    let mut settings = sample_settings();
    settings["Categories"].as_array_mut().unwrap().pop();
    apply_change(
        &mut core,
        START,
        &configuration(&sample_settings()),
        &configuration(&settings),
        2,
        &mut peers,
    );
    // At the greeting the module is rebuilt from the first settings, which are no longer active.
    let outdated = server_parts(START, 1, &sample_settings(), Some(true));
    core.agent_connected(START, &mut peers);
    core.agent_greeted(START, Some(outdated), &mut peers);
    let stream = SidecarStream { conn: ConnectionId(1), stream: StreamId(1) };
    let (id, caller) = (RpcId::new("00000000000000aa").unwrap(), CallerId(1));
    let (method, tenant, deadline) = ("book".to_string(), "acme".to_string(), Some(START + 900 * MS));
    let request =
        RpcRequest { id, method, tenant, caller, arrived_at: START, deadline, size_kb: 20.0, key: None };
    core.rpc_received(START, stream, request, b"", &mut peers).unwrap();
    assert_eq!(peers.answers[&stream].0, "aborted", "unknown in the active version");
    let mut harness = CoreHarness::new(32);
    harness.peers.agent_unreachable = true;
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    harness.switch_version(1);
    harness.reconnect_agent();
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&stream].0, "ok", "launched under the name at its receipt");
}

#[test]
fn staged_entries_are_invisible_until_the_switch() {
    let mut harness = CoreHarness::new(41);
    let is_accepted = |harness: &mut CoreHarness, method: &str, tenant: &str| {
        harness.next_id += 1;
        let (id, stream) = (
            RpcId::from_number(harness.next_id),
            SidecarStream { conn: ConnectionId(harness.next_id), stream: StreamId(1) },
        );
        let (method, tenant, caller) = (method.to_string(), tenant.to_string(), CallerId(1));
        let (arrived_at, deadline) = (harness.now, Some(harness.now + 800 * MS));
        harness.peers.bodies.insert(id, b"body".to_vec());
        let request =
            RpcRequest { id, method, tenant, caller, arrived_at, deadline, size_kb: 1.0, key: None };
        harness.core.rpc_received(harness.now, stream, request, b"body", &mut harness.peers).unwrap();
        // It is run, queued or rejected if its names are active, and aborted otherwise.
        harness.peers.answers.get(&stream).is_none_or(|(outcome, _)| *outcome != "aborted")
    };
    let accepted_names = |harness: &mut CoreHarness| {
        [("look", "acme"), ("book", "acme"), ("look", "nile"), ("sell", "acme")]
            .map(|(method, tenant)| is_accepted(harness, method, tenant))
    };
    let before = [true, true, false, false];
    assert_eq!(accepted_names(&mut harness), before);
    let mut settings = sample_settings();
    settings["Categories"][1]["Name"] = json!("sell");
    settings["Tenants"] = json!([{"Name": "nile", "QuotaRps": 1_000_000}]);
    let to = configuration(&settings);
    let changes = harness.entries.changes_to(&to);
    assert_eq!(changes.len(), 4, "one put and one removal of each kind");
    for change in &changes {
        harness.core.stage(std::slice::from_ref(change));
        assert_eq!(accepted_names(&mut harness), before, "after {change:?}");
    }
    harness.core.switch_version(harness.now, version_switch(harness.now, 2, &to), &mut harness.peers);
    assert_eq!(accepted_names(&mut harness), [false, false, true, false], "acme and book are removed");
    assert!(is_accepted(&mut harness, "sell", "nile"));
    // The reverse changes restore the first version.
    let reverse_changes = to.changes_to(&harness.entries);
    harness.core.stage(&reverse_changes);
    harness.core.switch_version(
        harness.now,
        version_switch(harness.now, 3, &harness.entries),
        &mut harness.peers,
    );
    assert_eq!(accepted_names(&mut harness), before);
    assert_eq!(harness.core.stats().half_applied, 0);
}

#[test]
fn indices_of_removed_tenants_are_reused() {
    let mut harness = CoreHarness::new(42);
    let mut running = harness.entries.clone();
    for n in 0..300_u64 {
        // Each change adds a tenant and removes the previous one; every third is rolled back instead of committed.
        let to = with_tenants(&["acme".to_string(), format!("guest {n}")]);
        apply_change(&mut harness.core, harness.now, &running, &to, 2 * n + 2, &mut harness.peers);
        if n % 3 == 0 {
            apply_change(&mut harness.core, harness.now, &to, &running, 2 * n + 3, &mut harness.peers);
        } else {
            running = to;
        }
        harness.core.commit_change();
        assert!(
            harness.core.tenant_indices() <= 3,
            "{} indices after {n} changes",
            harness.core.tenant_indices()
        );
    }
    let stream = harness.send_rpc(1, "look", 900 * MS, None);
    assert!(
        harness.peers.answers.get(&stream).is_none_or(|(outcome, _)| *outcome != "aborted"),
        "acme keeps its index"
    );
}

#[test]
fn bounds_method_indices_before_staging() {
    let max_methods = asterrill_entries::MAX_METHODS as u64;
    let with_methods = |names: &mut dyn Iterator<Item = u64>| {
        let mut settings = sample_settings();
        let method = |n: u64| json!({"Name": format!("m{n}"), "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1});
        settings["Categories"] = names.map(method).collect();
        configuration(&settings)
    };
    let (half, full) = (with_methods(&mut (0..max_methods / 2)), with_methods(&mut (0..max_methods)));
    let first = asterrill_settings::server_parts(START, 1, &half, None).unwrap();
    let (mut core, mut peers) = (Core::new(START, first, BufferPool::new(50), 4), FakePeers::default());
    apply_change(&mut core, START, &half, &full, 2, &mut peers);
    // Methods in the table may be changed, removed and added again, however many.
    apply_change(&mut core, START, &full, &half, 3, &mut peers);
    apply_change(&mut core, START, &half, &full, 4, &mut peers);
    let other = with_methods(&mut (1..max_methods + 1));
    let error = core.check_capacity_for(&full.changes_to(&other), &[]).unwrap_err();
    assert!(error.contains("more than 20000 methods since the start"), "{error}");
}
