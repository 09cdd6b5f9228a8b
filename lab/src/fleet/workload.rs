//! What callers ask of a fleet, and how much work that is.

use super::callers::CallerProfile;
use crate::agent::ColdStart;
use crate::load::MethodLoad;
use crate::method::{Method, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::time::ms;
use std::time::Duration;

/// How often the methods of [`methods`] are called in relation to each other.
pub const WEIGHTS: [u32; 3] = [10, 30, 4];
/// How long cores take to warm up.
pub const WARM_UP: Duration = ms(4_000);
/// How the cores of a machine that restarts are.
pub const COLD: ColdStart = ColdStart { initial_speed: 0.3, warm_up: WARM_UP };
const CALLERS: usize = 6;

/// The methods of a fleet: one that calls the upstream, and one that must not run twice.
pub fn methods() -> [Method; 3] {
    [
        Method { work: ms(16), target_ms: 200, deadline_ms: 800, ..TILL_PRICE },
        Method { work: ms(24), target_ms: 400, deadline_ms: 1_600, calls_upstream: true, ..LOOK_UP },
        Method { work: ms(20), target_ms: 1_000, deadline_ms: 3_000, effect: "single_shot", ..STOCK_UPDATE },
    ]
}

/// Six callers that call three methods so often a second; one of them ignores what backends advertise.
pub fn caller_profile(rate: f64, seed: u64) -> CallerProfile {
    let methods: Vec<MethodLoad> =
        methods().iter().zip(WEIGHTS).map(|(method, weight)| method.load(weight)).collect();
    let unsafe_to_retry = vec![STOCK_UPDATE.name];
    CallerProfile { methods, unsafe_to_retry, callers: CALLERS, rate, ignoring: 1.0 / 6.0, seed }
}

/// The mean work of one RPC, by the weights of what is called. A run that calls the upstream takes its work before the
/// call, and again after it, as [`crate::agent::Agent`] has it.
pub fn mean_work(methods: &[Method], weights: &[u32]) -> Duration {
    let total: u32 = weights.iter().sum();
    let work = |m: &Method| m.work.as_secs_f64() * if m.calls_upstream { 2.0 } else { 1.0 };
    let sum: f64 = methods.iter().zip(weights).map(|(m, w)| work(m) * f64::from(*w)).sum();
    Duration::from_secs_f64(sum / f64::from(total.max(1)))
}
