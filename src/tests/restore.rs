//! Tests of the export and restoration of learned values.

use super::fixtures::{control_with, read_rpc};
use super::server_config::MS;
use crate::*;

#[test]
fn learned_state_is_restored_with_the_breaker_closed() {
    let mut control = control_with(0, &[1.0, 2.0], 2, 1e6);
    for n in 0..60 {
        let now = n * 20 * MS;
        read_rpc(&mut control, now, n, 0);
        control.run_ended(now + 8 * MS, RpcId::from_number(n), RunEnd::Ok);
    }
    let mut learned = control.learned_state();
    assert!((learned.costs[0].mean - 8_000.0).abs() < 3_500.0 && learned.costs[0].runs > 30.0, "{learned:?}");
    assert_eq!((learned.costs[1].runs, learned.accounts.len()), (0.0, 2), "the second method was never run");
    learned.call_failures = 9;
    learned.accounts = vec![LearnedBalance { caller: CallerId(5), ratio: 0.25 }];
    learned.tenants = vec![LearnedAllowance { tenant: 0, rpcs: 2.0 }];
    let mut fresh = control_with(0, &[1.0, 2.0], 2, 1e6);
    fresh.restore(0, learned.clone());
    let restored = fresh.learned_state();
    assert_eq!(restored.costs[0], learned.costs[0]);
    assert_eq!((restored.accounts.len(), restored.accounts[0].caller), (1, CallerId(5)));
    assert!(
        (restored.accounts[0].ratio - 0.25).abs() < 0.01 && restored.tenants[0].rpcs == 2.0,
        "{restored:?}"
    );
    assert!(!fresh.status().breaker_open);
    read_rpc(&mut fresh, MS, 1, 0);
    assert_eq!(
        fresh.call_needed(2 * MS, RpcId::from_number(1)).calls.len(),
        1,
        "a call must be made at once after a restart"
    );
    fresh.call_ended(3 * MS, RpcId::from_number(1), CallEnd::TimedOut);
    assert!(fresh.status().breaker_open, "one failure must open the breaker again");
}
