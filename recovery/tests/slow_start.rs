//! Tests of the limit on upstream calls after a start and after an outage.

use asterrill_recovery::{CallSample, SlowStart, SlowStartConfig};
use quickcheck::QuickCheck;

fn slow_start() -> SlowStart {
    SlowStart::new(0, SlowStartConfig { max_calls: 6.0, initial_calls: 1.0, update_interval: 50_000 })
}

fn update(slow_start: &mut SlowStart, ok: u64, failed: u64) -> f64 {
    let now = slow_start.next_update();
    let in_flight = slow_start.limit().min(9.0) as usize;
    slow_start.update(now, CallSample { ok, failed, in_flight, waiting: 2 });
    slow_start.limit()
}

fn repeat_update(slow_start: &mut SlowStart, times: std::ops::Range<u32>, ok: u64, failed: u64) {
    for _ in times {
        update(slow_start, ok, failed);
    }
}

#[test]
fn limit_grows_with_answered_calls_and_not_with_time() {
    let mut slow_start = slow_start();
    assert_eq!(update(&mut slow_start, 0, 0), 1.0, "no call was answered");
    let limits: Vec<f64> = (0..5).map(|_| update(&mut slow_start, 3, 0)).collect();
    assert_eq!(limits, [1.5, 2.25, 3.375, 5.0625, 6.0]);
    assert!(slow_start.is_complete() && slow_start.limit().is_finite());
    repeat_update(&mut slow_start, 0..60, 3, 0);
    assert!(slow_start.limit().is_infinite(), "the limit is lifted");
    assert_eq!(update(&mut slow_start, 20, 1), f64::INFINITY, "one failure in twenty changes nothing");
}

#[test]
fn failures_halve_the_limit_and_an_outage_starts_over_with_a_lower_threshold() {
    let mut slow_start = slow_start();
    repeat_update(&mut slow_start, 0..4, 3, 0);
    assert_eq!(update(&mut slow_start, 2, 2), 5.0625 / 2.0);
    let limit = update(&mut slow_start, 5, 0);
    assert!((limit - 2.63125).abs() < 1e-9, "growth above the threshold must be additive: {limit}");
    repeat_update(&mut slow_start, 0..3, 0, 2);
    assert_eq!((slow_start.limit(), slow_start.outages), (1.0, 1));
    repeat_update(&mut slow_start, 0..50, 0, 1);
    assert_eq!((slow_start.limit(), slow_start.outages), (1.0, 1), "a long outage counts once");
    assert!(update(&mut slow_start, 1, 0) >= 1.0);
}

#[test]
fn limit_never_leaves_its_bounds() {
    fn holds(samples: Vec<(u8, u8, u8)>) -> bool {
        let mut slow_start = slow_start();
        samples.into_iter().all(|(ok, failed, waiting)| {
            let sample = CallSample {
                ok: u64::from(ok % 5),
                failed: u64::from(failed % 5),
                in_flight: usize::from(waiting % 8),
                waiting: usize::from(waiting % 3),
            };
            let now = slow_start.next_update();
            slow_start.update(now, sample);
            let limit = slow_start.limit();
            limit >= 1.0 && (limit <= 6.0 || limit.is_infinite())
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
