//! Tests of the jitter of processes that are started together.

use asterrill::Us;
use asterrill_recovery::{phase, seed, JitteredInterval};

const S: Us = 1_000_000;

#[test]
fn processes_started_together_act_at_different_times() {
    let seeds: Vec<u64> = (0..40).map(|n| seed(167, &format!("n{n}"), 5, 100)).collect();
    let mut phases: Vec<Us> = seeds.iter().map(|seed| phase(*seed, "snapshot", 5 * S)).collect();
    phases.sort_unstable();
    let max_gap = phases.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(phases[0] < S && phases[39] > 4 * S && max_gap < S, "{phases:?}");
    assert_ne!(seed(167, "n1", 5, 100), seed(167, "n1", 6, 100), "each start must have a different seed");
    // Over ten minutes the forty intervals do not synchronize, because each varies by up to a quarter of its period.
    let mut intervals: Vec<JitteredInterval> =
        seeds.iter().map(|seed| JitteredInterval::new(0, 5 * S, *seed, "snapshot")).collect();
    let mut max_simultaneous = 0;
    for ms in 0..600_000_u64 {
        max_simultaneous = max_simultaneous
            .max(intervals.iter_mut().filter_map(|i| i.expired(ms * 1_000).then_some(())).count());
    }
    assert!((1..=4).contains(&max_simultaneous), "{max_simultaneous} of 40 within a millisecond");
    let mut interval = JitteredInterval::new(0, S, 3, "x");
    assert!(
        interval.expired(100 * S) && !interval.expired(100 * S + 1),
        "missed deadlines must be reported only once"
    );
}

/// Guards the seeds and phases of the previous build, so that an update does not shift the reports of a fleet.
#[test]
fn seeds_and_phases_match_the_previous_build() {
    assert_eq!(seed(167, "n1", 5, 100), 0xef3e_c8cc_f628_8769);
    assert_eq!(phase(9, "what", 77_777), 24_705);
}
