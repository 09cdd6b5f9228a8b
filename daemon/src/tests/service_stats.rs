//! The counters for the watch over a change.

use super::*;

#[test]
fn samples_and_load_cover_only_methods_in_use() {
    let names: Vec<asterrill_entries::Name> = (0..5_000).map(|n| format!("m{n}").into()).collect();
    let mut service = crate::service_stats::ServiceStats::new(0, vec![400 * MS; names.len()]);
    let asked = std::cell::Cell::new(0);
    let name = |method: asterrill::MethodId| {
        asked.set(asked.get() + 1);
        names.get(method.0).cloned()
    };
    let of = asterrill::MethodId;
    for _ in 0..3 {
        service.record_received(of(7));
        service.record_received(of(4_000));
        service.record_answered(
            asterrill_engine::AnsweredRpc { method: of(7), latency: 1, upstream_failed: false },
            true,
        );
    }
    let sample = service.take_sample(name, |_| 2.0);
    assert_eq!(asked.get(), 2, "names that are looked at");
    let counted = |n: &str| sample.methods[n];
    assert_eq!((counted("m7").answered, counted("m7").in_time, counted("m7").work_us), (3.0, 3.0, 6.0));
    assert_eq!((counted("m4000").answered, counted("m4000").work_us), (0.0, 6.0));
    assert!(service.take_sample(name, |_| 2.0).methods.is_empty() && asked.get() == 2);
    service.record_answered(
        asterrill_engine::AnsweredRpc { method: of(4_000), latency: 1, upstream_failed: true },
        false,
    );
    assert_eq!(service.take_sample(name, |_| 2.0).methods["m4000"].upstream_failed, 1.0);
    asked.set(0);
    service.advance_to(30_000 * MS);
    service.record_received(of(9));
    let seen = service.observed_load(31_000 * MS, name, |_| 2.0);
    let load = |requests| asterrill_rollout::MethodLoad { requests, mean_work_us: 2.0 };
    assert_eq!((asked.get(), seen.methods["m7"], seen.methods["m9"]), (3, load(3.0), load(1.0)));
    service.advance_to(60_000 * MS);
    let seen = service.observed_load(61_000 * MS, name, |_| 2.0);
    assert_eq!(
        seen.methods.keys().map(|name| &**name).collect::<Vec<_>>(),
        ["m9"],
        "the rest is over a minute ago"
    );
}
