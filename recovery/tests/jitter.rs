//! Processes that start together.

use asterrill::Us;
use asterrill_recovery::{phase, seed, JitteredInterval};

const S: Us = 1_000_000;

#[test]
fn processes_started_together_act_at_different_times() {
    let seeds: Vec<u64> = (0..40).map(|n| seed(167, &format!("n{n}"), 5, 100)).collect();
    let mut phases: Vec<Us> = seeds.iter().map(|seed| phase(*seed, "snapshot", 5 * S)).collect();
    phases.sort_unstable();
    let widest = phases.windows(2).map(|two| two[1] - two[0]).max().unwrap();
    assert!(phases[0] < S && phases[39] > 4 * S && widest < S, "{phases:?}");
    assert_ne!(seed(167, "n1", 5, 100), seed(167, "n1", 6, 100), "each start has its own");
    // Over an hour no two of forty fall into step: they vary by a quarter each time.
    let mut intervals: Vec<JitteredInterval> =
        seeds.iter().map(|seed| JitteredInterval::new(0, 5 * S, *seed, "snapshot")).collect();
    let mut most = 0;
    for ms in 0..600_000_u64 {
        most = most.max(intervals.iter_mut().filter_map(|i| i.expired(ms * 1_000).then_some(())).count());
    }
    assert!((1..=4).contains(&most), "{most} of 40 within a millisecond");
    let mut interval = JitteredInterval::new(0, S, 3, "x");
    assert!(
        interval.expired(100 * S) && !interval.expired(100 * S + 1),
        "deadlines that were missed are not made up for"
    );
}

/// As the build before drew them: the phases of a fleet's reports don't move with an update.
#[test]
fn seeds_and_phases_are_those_of_the_build_before() {
    assert_eq!(seed(167, "n1", 5, 100), 0xef3e_c8cc_f628_8769);
    assert_eq!(phase(9, "what", 77_777), 24_705);
}
