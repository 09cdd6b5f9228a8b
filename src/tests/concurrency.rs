//! Tests of the adaptive concurrency target.

use super::server_config::MS;
use crate::*;

#[test]
fn target_rises_while_cores_idle_and_never_falls_below_cores() {
    let mut limit = ConcurrencyLimit::new(0, 4, 8.0, 1.0, MS);
    let idle = Gauges { runnable: Some(2.0), ..Gauges::default() };
    limit.adjust(MS, idle, 4.0, 1.0);
    assert!(limit.target > 4.0);
    (0..50).for_each(|_| limit.adjust(MS, idle, 99.0, 1.0));
    assert!(limit.max_parallel_reqs(MS) <= limit.sustainable_rpcs(MS) + 1e-9);
    (0..500).for_each(|_| limit.adjust(MS, idle, 99.0, 9.0));
    assert_eq!(limit.target, 4.0);
    let cold = ConcurrencyLimit::new(0, 4, 8.0, 0.2, 1_000 * MS);
    assert!(
        cold.sustainable_rpcs(0) < cold.sustainable_rpcs(500 * MS)
            && cold.sustainable_rpcs(500 * MS) < cold.sustainable_rpcs(MS * MS)
    );
}
