//! What a version switch and the service statistics cost.

use super::*;

/// `cargo test --release -p asterrill-daemon cost -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn cost_of_a_version_switch_and_of_the_service_stats() {
    let mut settings = sample_settings();
    (settings["FamilyInfo"]["RamKb"], settings["FamilyInfo"]["NCores"]) = (json!(1_000_000), json!(1_500));
    let first = server_parts(START, 1, &settings, None);
    let (mut core, mut out) = (Core::new(START, first, BufferPool::new(4_000), 4), FakePeers::default());
    core.start(START, &mut out);
    core.agent_connected(START);
    core.agent_up(START, None, &mut out);
    for n in 0..1_000_u64 {
        let stream_ref = SidecarStream { conn: ConnectionId(n), stream: StreamId(1) };
        let (id, caller) = (RpcId::from_number(n + 1), CallerId(n));
        let (method, tenant, deadline) = ("look".to_string(), "acme".to_string(), Some(START + 900_000 * MS));
        out.bodies.insert(id, Vec::new());
        let request =
            RpcRequest { id, method, tenant, caller, arrived_at: START, deadline, size_kb: 1.0, key: None };
        core.rpc_received(START, stream_ref, request, b"", &mut out);
    }
    let in_flight = core.open_rpcs();
    let mut running = configuration(&settings);
    let mut spans: Vec<u128> = (0..101)
        .map(|n| {
            settings["FamilyInfo"]["NCores"] = json!(1_500 + (n + 1) % 2);
            let to = configuration(&settings);
            let start = std::time::Instant::now();
            apply_change(&mut core, START + n * MS, &running, &to, n + 2, &mut out);
            running = to;
            start.elapsed().as_nanos()
        })
        .collect();
    spans.sort_unstable();
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
        if n % 20 == 0 {
            // 200 a second, ten looks
            std::hint::black_box(service.take_sample(|method| names.get(method.0).cloned(), |_| 5.0));
        }
    }
    let each = start.elapsed().as_nanos() / 1_000_000;
    println!(
        "in flight {in_flight}; a change {} ns (median of 101), {} ns at most; the statistics {each} ns an RPC",
        spans[50], spans[100]
    );
    assert!(in_flight >= 500 && each < 1_000);
}
