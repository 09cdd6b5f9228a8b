//! The adaptive concurrency target.

use super::server_config::MS;
use crate::*;

#[test]
fn target_rises_while_cores_idle_and_never_falls_below_cores() {
    let mut target = ConcurrencyLimit::new(0, 4, 8.0, 1.0, MS);
    let idle = Gauges { runnable: Some(2.0), ..Gauges::default() };
    target.adjust(MS, idle, 4.0, 1.0);
    assert!(target.target > 4.0);
    (0..50).for_each(|_| target.adjust(MS, idle, 99.0, 1.0));
    assert!(target.max_parallel_reqs(MS) <= target.survivable(MS) + 1e-9);
    (0..500).for_each(|_| target.adjust(MS, idle, 99.0, 9.0));
    assert_eq!(target.target, 4.0);
    let cold = ConcurrencyLimit::new(0, 4, 8.0, 0.2, 1_000 * MS);
    assert!(
        cold.survivable(0) < cold.survivable(500 * MS)
            && cold.survivable(500 * MS) < cold.survivable(MS * MS)
    );
}
