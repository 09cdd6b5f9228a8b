//! Tests of the service statistics.

use super::*;

#[test]
fn samples_and_load_cover_only_methods_in_use() {
    let names: Vec<asterrill_entries::Name> = (0..5_000).map(|n| format!("m{n}").into()).collect();
    let mut service = crate::service_stats::ServiceStats::new(0, vec![400 * MS; names.len()]);
    let lookups = std::cell::Cell::new(0);
    let name = |method: asterrill::MethodId| {
        lookups.set(lookups.get() + 1);
        names.get(method.0).cloned()
    };
    let method = asterrill::MethodId;
    for _ in 0..3 {
        service.record_received(method(7));
        service.record_received(method(4_000));
        service.record_answered(
            asterrill_engine::AnsweredRpc { method: method(7), latency: 1, upstream_failed: false },
            true,
        );
    }
    let sample = service.take_sample(name, |_| 2.0);
    assert_eq!(lookups.get(), 2, "looked up names of unused methods");
    let counts = |name: &str| sample.methods[name];
    assert_eq!((counts("m7").answered, counts("m7").in_time, counts("m7").work_us), (3.0, 3.0, 6.0));
    assert_eq!((counts("m4000").answered, counts("m4000").work_us), (0.0, 6.0));
    assert!(service.take_sample(name, |_| 2.0).methods.is_empty() && lookups.get() == 2);
    service.record_answered(
        asterrill_engine::AnsweredRpc { method: method(4_000), latency: 1, upstream_failed: true },
        false,
    );
    assert_eq!(service.take_sample(name, |_| 2.0).methods["m4000"].upstream_failed, 1.0);
    lookups.set(0);
    service.advance_to(30_000 * MS);
    service.record_received(method(9));
    let observed = service.observed_load(31_000 * MS, name, |_| 2.0);
    let load = |requests| asterrill_rollout::MethodLoad { requests, mean_work_us: 2.0 };
    assert_eq!((lookups.get(), observed.methods["m7"], observed.methods["m9"]), (3, load(3.0), load(1.0)));
    service.advance_to(60_000 * MS);
    let observed = service.observed_load(61_000 * MS, name, |_| 2.0);
    assert_eq!(
        observed.methods.keys().map(|name| &**name).collect::<Vec<_>>(),
        ["m9"],
        "the other RPCs were received before the window"
    );
}
