//! A `Control` with configurable methods, cores and memory, for tests that don't need the harness.

use super::server_config::MS;
use crate::*;
use std::ops::Range;

/// Creates a warm server with methods of these criticalities and one tenant.
pub(super) fn control_with(now: Us, criticality: &[f64], cores: usize, memory_kb: f64) -> Control {
    control_with_factor(now, criticality, cores, memory_kb, 2.0)
}

pub(super) fn control_with_factor(
    now: Us, criticality: &[f64], cores: usize, memory_kb: f64, run_factor: f64,
) -> Control {
    Control::new(now, 3, control_parts(now, criticality, cores, memory_kb, run_factor))
}

pub(super) fn control_parts(
    now: Us, criticality: &[f64], cores: usize, memory_kb: f64, run_factor: f64,
) -> ControlParts {
    ControlParts {
        step: 4 * MS,
        stop_mode: StopMode::Abort,
        methods: criticality.iter().copied().map(method).collect(),
        accounts: CallerAccounts::new(400 * MS, 1),
        concurrency: ConcurrencyLimit::new(now, cores, 8.0, 1.0, 1),
        calls: UpstreamCalls::new(Upstream::Tier, cores, 0, 400 * MS),
        keys: IdempotencyKeys::new(0.0, 0),
        memory: MemoryBudget::new(memory_kb, run_factor),
        drain: Drain::new(400 * MS),
        feedback: CallerFeedback::new(FeedbackMode::Credit, 0, 400 * MS, 0),
        quotas: TenantQuotas::new(&[1.0], 1, 0.5),
    }
}

pub(super) fn method(criticality: f64) -> Method {
    Method {
        latency_target: 400 * MS,
        deadline: 900 * MS,
        idempotency: Idempotency::Idempotent,
        criticality,
        late_value_ratio: 0.0,
        idempotency_window: 0,
        skip_value_ratio: 0.5,
    }
}

/// Reads the RPC with the number `n`.
pub(super) fn read_rpc(control: &mut Control, now: Us, n: u64, method: usize) -> Outcome {
    let arrival = Arrival {
        id: RpcId::from_number(n),
        method: MethodId(method),
        caller: CallerId(n % 2).into(),
        deadline: Some(now + 900 * MS),
        size_kb: 10.0,
        unread_for: 0,
        original: None,
        cache_key: None,
    };
    control.rpc_read(now, arrival, Some(0))
}

/// Reads RPCs that need an upstream call, and returns the number of calls that are made at once.
pub(super) fn calls_placed(control: &mut Control, now: Us, rpcs: Range<u64>) -> usize {
    for n in rpcs.clone() {
        read_rpc(control, now, n, 0);
    }
    rpcs.map(|n| control.call_needed(now, RpcId::from_number(n)).calls.len()).sum()
}
