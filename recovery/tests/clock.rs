//! Tests of ages when clocks were set or machines were rebooted.

use asterrill::Us;
use asterrill_recovery::{age, ClockReading};

const S: Us = 1_000_000;

#[test]
fn age_comes_from_uptime_and_across_boots_from_a_plausible_wall_clock() {
    let then = ClockReading { wall: 5_000 * S, uptime: 100 * S, boot_id: 1 };
    let hour = 3_600 * S;
    for wall in [5_003 * S, 5_003 * S + hour, 5_003 * S - hour] {
        let now = ClockReading { wall, uptime: 103 * S, boot_id: 1 };
        assert_eq!(age(&now, &then), Some(3 * S), "{wall}");
    }
    let after = |wall, uptime| age(&ClockReading { wall, uptime, boot_id: 2 }, &then);
    assert_eq!(after(5_060 * S, 20 * S), Some(60 * S));
    assert_eq!(after(5_060 * S, 90 * S), None, "the uptime exceeds the difference of the Unix times");
    assert_eq!(after(4_000 * S, 20 * S), None, "the clock was set back");
    assert_eq!(age(&ClockReading { boot_id: 0, ..then }, &then), None);
    assert_eq!(age(&ClockReading { uptime: 99 * S, ..then }, &then), None);
}
