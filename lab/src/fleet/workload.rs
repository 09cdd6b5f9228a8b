//! Methods and call rates of the fleet scenarios, and the work that they cause.

use super::callers::CallerProfile;
use crate::agent::ColdStart;
use crate::load::MethodLoad;
use crate::method::{Method, LOOK_UP, STOCK_UPDATE, TILL_PRICE};
use crate::time::ms;
use std::time::Duration;

/// Relative call frequencies of the methods of [`methods`].
pub const METHOD_WEIGHTS: [u32; 3] = [10, 30, 4];
/// Time that cores take to warm up.
pub const WARM_UP: Duration = ms(4_000);
/// Speed of the cores of a machine that has just restarted.
pub const COLD_START: ColdStart = ColdStart { initial_speed: 0.3, warm_up: WARM_UP };
const CALLERS: usize = 6;

/// Returns the methods of a fleet; one of them calls the upstream, and another must not run twice.
pub fn methods() -> [Method; 3] {
    [
        Method { work: ms(16), target_ms: 200, deadline_ms: 800, ..TILL_PRICE },
        Method { work: ms(24), target_ms: 400, deadline_ms: 1_600, calls_upstream: true, ..LOOK_UP },
        Method { work: ms(20), target_ms: 1_000, deadline_ms: 3_000, effect: "single_shot", ..STOCK_UPDATE },
    ]
}

/// Returns the profile of six callers that together send `rate` RPCs per second to three methods; one of the callers
/// ignores what backends advertise.
pub fn caller_profile(rate: f64, seed: u64) -> CallerProfile {
    let methods: Vec<MethodLoad> =
        methods().iter().zip(METHOD_WEIGHTS).map(|(method, weight)| method.load(weight)).collect();
    let unsafe_to_retry = vec![STOCK_UPDATE.name];
    CallerProfile { methods, unsafe_to_retry, callers: CALLERS, rate, ignoring_share: 1.0 / 6.0, seed }
}

/// Returns the mean work of one RPC, weighted by call frequency. A run that calls the upstream does its work once
/// before the call and once after it, as [`crate::agent::Agent`] implements it.
pub fn mean_work(methods: &[Method], weights: &[u32]) -> Duration {
    let total_weight: u32 = weights.iter().sum();
    let work = |m: &Method| m.work.as_secs_f64() * if m.calls_upstream { 2.0 } else { 1.0 };
    let weighted_work: f64 = methods.iter().zip(weights).map(|(m, w)| work(m) * f64::from(*w)).sum();
    Duration::from_secs_f64(weighted_work / f64::from(total_weight.max(1)))
}
