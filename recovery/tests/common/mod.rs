//! Snapshot and matching server for the tests.

use asterrill::Us;
use asterrill_recovery::{
    AccountBalance, ClockReading, CurrentServer, MethodCost, Snapshot, TenantAllowance,
};
use std::collections::BTreeMap;

/// One second in microseconds.
pub const S: Us = 1_000_000;

/// Returns a snapshot with a value of each kind.
pub fn snapshot() -> Snapshot {
    let method = |name: &str, latency_target: Us| MethodCost {
        name: name.into(),
        latency_target,
        mean: 20_000.0,
        runs: 40.0,
    };
    Snapshot {
        name: "n1".into(),
        settings_hash: 0xabc,
        cores: 2.0,
        memory_mb: 64,
        taken_at: ClockReading { wall: 1_700_000_000 * S, uptime: 1_000 * S, boot_id: 5 },
        methods: vec![method("till price", 200_000), method("look-up", 400_000)],
        concurrency_target: 4.2,
        slowdown: 1.1,
        call_failures: 7,
        accounts: vec![
            AccountBalance { caller: 4, fraction: 0.25 },
            AccountBalance { caller: 9, fraction: 1.0 },
        ],
        tenants: vec![TenantAllowance { name: "acme gmbh".into(), rpcs: 3.5 }],
    }
}

/// Returns the latency targets of the methods in [`snapshot`].
#[allow(dead_code, reason = "not each test file assesses snapshots")]
pub fn targets() -> BTreeMap<String, Us> {
    [("till price".to_string(), 200_000), ("look-up".to_string(), 400_000)].into()
}

/// Returns the server of [`snapshot`], `after` microseconds after the snapshot was taken.
#[allow(dead_code, reason = "not each test file assesses snapshots")]
pub fn server(targets: &BTreeMap<String, Us>, after: Us) -> CurrentServer<'_> {
    let then = snapshot().taken_at;
    CurrentServer {
        name: "n1",
        settings_hash: 0xabc,
        cores: 2.0,
        memory_mb: 64,
        now: ClockReading { wall: then.wall + after, uptime: then.uptime + after, boot_id: 5 },
        agent_cold: false,
        max_snapshot_age: 86_400 * S,
        targets,
    }
}
