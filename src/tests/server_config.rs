//! Configurations of the servers that the tests simulate, fixed or random.

use crate::*;
use quickcheck::Gen;

pub(super) const MS: Us = 1_000;
/// Time between two inputs.
pub(super) const STEP: Us = 2 * MS;
/// Time after a shutdown notice for which arrivals are served.
pub(super) const GRACE: Us = 400 * MS;
pub(super) const CORES: usize = 4;
/// The latency target of all methods.
pub(super) const TARGET: Us = 500 * MS;
/// Time for which an abandoned call may still run upstream.
pub(super) const LINGER: Us = 200 * MS;
/// Memory of a queued RPC.
pub(super) const RPC_KB: f64 = 10.0;
/// Factor on the memory of an RPC while it runs.
pub(super) const RUN_FACTOR: f64 = 4.0;
/// Memory of a retained key.
pub(super) const KEY_KB: f64 = 3.0;

/// Settings in which the servers differ.
#[derive(Clone, Debug)]
pub(super) struct ServerConfig {
    /// Idempotency of each method.
    pub(super) idempotency: Vec<Idempotency>,
    pub(super) skip_value: f64,
    pub(super) late_value: f64,
    pub(super) stop_mode: StopMode,
    pub(super) upstream: Upstream,
    pub(super) feedback: FeedbackMode,
    pub(super) cold_speed: f64,
    pub(super) sustainable_rpcs_per_core: f64,
    pub(super) memory_kb: f64,
    /// Whether callers send their deadline.
    pub(super) sends_deadline: bool,
}

impl Default for ServerConfig {
    fn default() -> ServerConfig {
        ServerConfig {
            idempotency: vec![Idempotency::Idempotent; 2],
            skip_value: 0.0,
            late_value: 0.0,
            stop_mode: StopMode::Abort,
            upstream: Upstream::Absent,
            feedback: FeedbackMode::Credit,
            cold_speed: 1.0,
            sustainable_rpcs_per_core: 8.0,
            memory_kb: 1e6,
            sends_deadline: true,
        }
    }
}

impl ServerConfig {
    pub(super) fn random(g: &mut Gen) -> ServerConfig {
        let idempotency = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
        let quota = *g.choose(&[0.7, 2.0, 5.5]).unwrap();
        let upstreams = [Upstream::Absent, Upstream::Tier, Upstream::Shared { quota, window: 5_000 * MS }];
        let modes = [
            FeedbackMode::Off,
            FeedbackMode::Credit,
            FeedbackMode::Threshold,
            FeedbackMode::AcceptProbability,
        ];
        ServerConfig {
            idempotency: vec![*g.choose(&idempotency).unwrap(), *g.choose(&idempotency).unwrap()],
            skip_value: *g.choose(&[0.0, 0.5]).unwrap(),
            late_value: *g.choose(&[0.0, 0.2]).unwrap(),
            stop_mode: *g.choose(&[StopMode::Off, StopMode::Abort, StopMode::Suspend]).unwrap(),
            upstream: *g.choose(&upstreams).unwrap(),
            feedback: *g.choose(&modes).unwrap(),
            cold_speed: *g.choose(&[0.2, 1.0]).unwrap(),
            sustainable_rpcs_per_core: *g.choose(&[3.0, 8.0]).unwrap(),
            memory_kb: *g.choose(&[150.0, 400.0, 1e6]).unwrap(),
            sends_deadline: *g.choose(&[true, true, false]).unwrap(),
        }
    }

    pub(super) fn control(&self, now: Us, seed: u64) -> Control {
        let method = |(i, idempotency): (usize, &Idempotency)| Method {
            latency_target: TARGET,
            deadline: 1_500 * MS,
            idempotency: *idempotency,
            criticality: 1.0 + 2.0 * i as f64,
            late_value_ratio: self.late_value,
            idempotency_window: 2_000 * MS,
            skip_value_ratio: self.skip_value,
        };
        let parts = ControlParts {
            step: STEP,
            stop_mode: self.stop_mode,
            methods: self.idempotency.iter().enumerate().map(method).collect(),
            accounts: CallerAccounts::new(TARGET, 3),
            concurrency: ConcurrencyLimit::new(
                now,
                CORES,
                self.sustainable_rpcs_per_core,
                self.cold_speed,
                3_000 * MS,
            ),
            calls: UpstreamCalls::new(self.upstream, CORES, LINGER, TARGET),
            keys: IdempotencyKeys::new(KEY_KB, 0),
            memory: MemoryBudget::new(self.memory_kb, RUN_FACTOR),
            drain: Drain::new(GRACE),
            feedback: CallerFeedback::new(self.feedback, 1_000 * MS, TARGET, 30_000 * MS),
            quotas: TenantQuotas::new(&[], 3, 1.0),
        };
        Control::new(now, seed, parts)
    }
}
