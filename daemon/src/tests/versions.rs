//! Configuration versions: staging, switching, and the indices of names.

use super::*;

#[test]
fn rpc_of_a_removed_method_is_answered_and_new_ones_are_aborted() {
    let mut harness = CoreHarness::new(31);
    let held: Vec<SidecarStream> = (0..6).map(|n| harness.send_rpc(n, "book", 900 * MS, None)).collect();
    let running = harness.peers.runs.len();
    assert!(running < 6);
    harness.advance_run(0, true); // one of them waits for a call
    harness.deliver_notices(1);
    harness.switch_version(2); // "book" is gone
    let late = harness.send_rpc(9, "book", 900 * MS, None);
    assert_eq!(harness.peers.answers[&late].0, "aborted");
    harness.end_call(0, CallEnd::Ok);
    while harness.peers.runs.values().any(|run| !run.ended) {
        harness.advance_run(1, false);
        harness.deliver_notices(usize::MAX);
    }
    harness.check_invariants();
    let ok = held
        .iter()
        .filter(|stream_ref| harness.peers.answers.get(stream_ref).is_some_and(|a| a.0 == "ok"))
        .count();
    assert!(ok >= running, "{ok} of {running}");
    harness.switch_version(0); // it is back, at its index, with what was learned of it
    let again = harness.send_rpc(10, "book", 900 * MS, None);
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&again].0, "ok");
    harness.run_to_completion();
}

#[test]
fn switches_versions_without_an_agent_link() {
    let first = server_parts(START, 1, &sample_settings(), None);
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(500), 4), FakePeers::default());
    core.start(START, &mut out);
    let mut settings = sample_settings();
    settings["Categories"].as_array_mut().unwrap().pop();
    apply_change(
        &mut core,
        START,
        &configuration(&sample_settings()),
        &configuration(&settings),
        2,
        &mut out,
    );
    // The agent's greeting brings a module made anew from the first settings: too late for those.
    let stale = server_parts(START, 1, &sample_settings(), Some(true));
    core.agent_connected(START);
    core.agent_up(START, Some(stale), &mut out);
    let stream_ref = SidecarStream { conn: ConnectionId(1), stream: StreamId(1) };
    let (id, caller) = (RpcId::new("00000000000000aa").unwrap(), CallerId(1));
    let (method, tenant, deadline) = ("book".to_string(), "acme".to_string(), Some(START + 900 * MS));
    let request =
        RpcRequest { id, method, tenant, caller, arrived_at: START, deadline, size_kb: 20.0, key: None };
    core.rpc_received(START, stream_ref, request, b"", &mut out);
    assert_eq!(out.answers[&stream_ref].0, "aborted", "the version that runs does not know it");
    let mut harness = CoreHarness::new(32);
    harness.peers.agent_unreachable = true;
    let stream_ref = harness.send_rpc(1, "look", 900 * MS, None);
    harness.switch_version(1);
    harness.reconnect_agent();
    harness.advance_run(1, false);
    harness.deliver_notices(usize::MAX);
    assert_eq!(harness.peers.answers[&stream_ref].0, "ok", "launched under the name that it was read with");
}

#[test]
fn staged_entries_are_invisible_until_the_switch() {
    let mut harness = CoreHarness::new(41);
    let asks = |harness: &mut CoreHarness, method: &str, tenant: &str| {
        harness.next_id += 1;
        let (id, stream_ref) = (
            RpcId::from_number(harness.next_id),
            SidecarStream { conn: ConnectionId(harness.next_id), stream: StreamId(1) },
        );
        let (method, tenant, caller) = (method.to_string(), tenant.to_string(), CallerId(1));
        let (arrived_at, deadline) = (harness.now, Some(harness.now + 800 * MS));
        harness.peers.bodies.insert(id, b"body".to_vec());
        let request =
            RpcRequest { id, method, tenant, caller, arrived_at, deadline, size_kb: 1.0, key: None };
        harness.core.rpc_received(harness.now, stream_ref, request, b"body", &mut harness.peers);
        // It runs, waits, or is rejected, where its names are in force.
        harness.peers.answers.get(&stream_ref).is_none_or(|(what, _)| *what != "aborted")
    };
    let under = |harness: &mut CoreHarness| {
        [("look", "acme"), ("book", "acme"), ("look", "nile"), ("sell", "acme")]
            .map(|(m, t)| asks(harness, m, t))
    };
    let before = [true, true, false, false];
    assert_eq!(under(&mut harness), before);
    let mut settings = sample_settings();
    settings["Categories"][1]["Name"] = json!("sell");
    settings["Tenants"] = json!([{"Name": "nile", "QuotaRps": 1_000_000}]);
    let to = configuration(&settings);
    let step = harness.entries.changes_to(&to);
    assert_eq!(step.len(), 4, "one put and one taken of each kind");
    for entry in &step {
        harness.core.stage(std::slice::from_ref(entry));
        assert_eq!(under(&mut harness), before, "after {entry:?}");
    }
    harness.core.switch_version(harness.now, version_switch(harness.now, 2, &to), &mut harness.peers);
    assert_eq!(under(&mut harness), [false, false, true, false], "acme is gone, and so is book");
    assert!(asks(&mut harness, "sell", "nile"));
    // And back, by the same entries turned round.
    let back = to.changes_to(&harness.entries);
    harness.core.stage(&back);
    harness.core.switch_version(
        harness.now,
        version_switch(harness.now, 3, &harness.entries),
        &mut harness.peers,
    );
    assert_eq!(under(&mut harness), before);
    assert_eq!(harness.core.stats().half_applied, 0);
}

#[test]
fn tenants_that_come_and_go_reuse_indices() {
    let mut harness = CoreHarness::new(42);
    let mut running = harness.entries.clone();
    for n in 0..300_u64 {
        // One comes and the one before goes; each third change is undone instead of settled.
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
            "{} places after {n} changes",
            harness.core.tenant_indices()
        );
    }
    let stream_ref = harness.send_rpc(1, "look", 900 * MS, None);
    assert!(
        harness.peers.answers.get(&stream_ref).is_none_or(|(what, _)| *what != "aborted"),
        "acme is where it was"
    );
}

#[test]
fn bounds_method_indices_before_staging() {
    let many = asterrill_entries::MAX_METHODS as u64;
    let of = |names: &mut dyn Iterator<Item = u64>| {
        let mut settings = sample_settings();
        let method = |n: u64| json!({"Name": format!("m{n}"), "AimMs": 400, "DeadlineMs": 900, "Effect": "free", "Worth": 1});
        settings["Categories"] = names.map(method).collect();
        configuration(&settings)
    };
    let (half, whole) = (of(&mut (0..many / 2)), of(&mut (0..many)));
    let first = asterrill_settings::server_parts(START, 1, &half, None).unwrap();
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(50), 4), FakePeers::default());
    apply_change(&mut core, START, &half, &whole, 2, &mut out);
    // Any figure of those in the table may change, however many.
    apply_change(&mut core, START, &whole, &half, 3, &mut out);
    apply_change(&mut core, START, &half, &whole, 4, &mut out);
    let other = of(&mut (1..many + 1));
    let error = core.check_capacity_for(&whole.changes_to(&other), &[]).unwrap_err();
    assert!(error.contains("more than 20000 methods since the start"), "{error}");
}
