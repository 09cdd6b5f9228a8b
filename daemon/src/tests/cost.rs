//! Measurement of the CPU time of a version switch and of the service statistics.

use super::*;

/// Measures version switches with RPCs in flight, and the service statistics. Run with
/// `cargo test --release -p asterrill-daemon cost -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_version_switch_and_of_the_service_stats() {
    let mut settings = sample_settings();
    (settings["FamilyInfo"]["RamKb"], settings["FamilyInfo"]["NCores"]) = (json!(1_000_000), json!(1_500));
    let first = server_parts(START, 1, &settings, None);
    let (mut core, mut peers) = (Core::new(START, first, BufferPool::new(4_000), 4), FakePeers::default());
    core.start(START, &mut peers);
    core.agent_connected(START, &mut peers);
    core.agent_greeted(START, None, &mut peers);
    for n in 0..1_000_u64 {
        let stream = SidecarStream { conn: ConnectionId(n), stream: StreamId(1) };
        let (id, caller) = (RpcId::from_number(n + 1), CallerId(n));
        let (method, tenant, deadline) = ("look".to_string(), "acme".to_string(), Some(START + 900_000 * MS));
        peers.bodies.insert(id, Vec::new());
        let request =
            RpcRequest { id, method, tenant, caller, arrived_at: START, deadline, size_kb: 1.0, key: None };
        core.rpc_received(START, stream, request, b"", &mut peers).unwrap();
    }
    let in_flight = core.open_rpcs();
    let mut running = configuration(&settings);
    let mut switch_times_ns: Vec<u128> = (0..101)
        .map(|n| {
            settings["FamilyInfo"]["NCores"] = json!(1_500 + (n + 1) % 2);
            let to = configuration(&settings);
            let start = std::time::Instant::now();
            apply_change(&mut core, START + n * MS, &running, &to, n + 2, &mut peers);
            running = to;
            start.elapsed().as_nanos()
        })
        .collect();
    switch_times_ns.sort_unstable();
    let mut service = crate::service_stats::ServiceStats::new(0, vec![400 * MS, 400 * MS]);
    let names: [asterrill_entries::Name; 2] = ["look".into(), "book".into()];
    let start = std::time::Instant::now();
    for n in 0..1_000_000_u64 {
        let method = asterrill::MethodId(n as usize % 2);
        service.record_received(method);
        service.record_answered(
            asterrill_engine::AnsweredRpc { method, latency: n % 900_000, upstream_failed: n % 50 == 0 },
            n % 3 > 0,
        );
        // One sample per 20 RPCs: 200 RPCs and ten samples per second.
        if n % 20 == 0 {
            std::hint::black_box(service.take_sample(|method| names.get(method.0).cloned(), |_| 5.0));
        }
    }
    let ns_per_rpc = start.elapsed().as_nanos() / 1_000_000;
    println!(
        "in flight: {in_flight}; change: {} ns median of 101, {} ns maximum; statistics: {ns_per_rpc} ns per RPC",
        switch_times_ns[50], switch_times_ns[100]
    );
    assert!(in_flight >= 500 && ns_per_rpc < 1_000);
}
