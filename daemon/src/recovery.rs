//! Recovery of this server after a start or an upstream outage: what `asterrill-recovery` decides, joined to the figures of
//! the engine. No I/O: the stored snapshot comes in, the one to store goes out, clock readings are passed in.

use asterrill::{
    CallerId, LearnedAllowance, LearnedBalance, LearnedCost, LearnedState, MethodId, RecoveryLimits, Status,
    Us,
};
use asterrill_engine::EngineStats;
use asterrill_entries::Name;
use asterrill_operator_config::RecoverySettings;
use asterrill_recovery::{
    assess, AccountBalance, CallSample, ClockReading, CurrentServer, JitteredInterval, LatencyTargets,
    MethodCost, RestoredCost, SlowStart, SlowStartConfig, Snapshot, Stage, StageEvidence, StageTracker,
    TenantAllowance, MAX_METHODS, MAX_TENANTS,
};

/// Microseconds between two updates of slow start and stage.
const UPDATE_INTERVAL_US: Us = 100_000;

/// What a start knows of itself.
pub struct RecoveryConfig {
    /// This server's name.
    pub name: String,
    /// The hash of the settings in force.
    pub settings_hash: u64,
    /// Cores of this server.
    pub cores: f64,
    /// Its memory limit in MB.
    pub memory_mb: u64,
    /// The clocks at the start.
    pub clocks: ClockReading,
    /// The operator's settings.
    pub settings: RecoverySettings,
    /// The stored snapshot of a process before, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Seed of the jitter.
    pub seed: u64,
    /// There is a directory where snapshots are stored.
    pub persistent: bool,
}

/// The names of methods and tenants in force.
pub trait ActiveCatalog {
    /// The latency targets of the methods, by name.
    fn latency_targets(&self) -> &dyn LatencyTargets;
    /// A method's name and its latency target in microseconds.
    fn method_name(&self, id: MethodId) -> Option<(&Name, Us)>;
    /// A method's index.
    fn method_id(&self, name: &str) -> Option<MethodId>;
    /// A tenant's index.
    fn tenant_index(&self, name: &str) -> Option<usize>;
    /// All tenants with their indices, in any order.
    fn tenants(&self) -> Vec<(&Name, usize)>;
}

/// What is restored of a snapshot.
pub struct Restored {
    /// For the decision module.
    pub learned: LearnedState,
    /// What became of each value, for the log.
    pub summary: String,
}

/// What an update has brought.
#[derive(Default)]
pub struct RecoveryUpdate {
    /// New limits for the decision module, if they have changed.
    pub limits: Option<RecoveryLimits>,
    /// The stage that was entered, if one was.
    pub entered_stage: Option<Stage>,
}

/// Tracks how far this server has recovered.
pub struct RecoveryTracker {
    config: RecoveryConfig,
    stages: StageTracker,
    slow_start: Option<SlowStart>,
    /// The stored snapshot was assessed, or there was none.
    assessed: bool,
    next_update: Us,
    snapshot_interval: JitteredInterval,
    /// The engine's counters at the last update.
    previous: EngineStats,
}

impl RecoveryTracker {
    /// Begins at a start.
    pub fn new(now: Us, config: RecoveryConfig) -> RecoveryTracker {
        let interval = config.settings.snapshot_interval;
        let snapshot_interval = JitteredInterval::new(now, interval, config.seed, "snapshot");
        RecoveryTracker {
            config,
            stages: StageTracker::new(now),
            slow_start: None,
            assessed: false,
            next_update: now + UPDATE_INTERVAL_US,
            snapshot_interval,
            previous: EngineStats::default(),
        }
    }

    /// When [`RecoveryTracker::update`] is due next.
    pub fn next_update(&self) -> Us {
        self.next_update
    }

    /// Sets the hash of the settings that have come into force.
    pub fn set_settings_hash(&mut self, hash: u64) {
        self.config.settings_hash = hash;
    }

    /// The stages of recovery.
    pub fn stages(&self) -> &StageTracker {
        &self.stages
    }

    /// The limits that the decision module is to observe now.
    pub fn limits(&self) -> RecoveryLimits {
        let RecoverySettings { retry_percent, jitter_percent, .. } = self.config.settings;
        RecoveryLimits {
            calls_in_flight: self.slow_start.as_ref().map_or(f64::INFINITY, SlowStart::limit),
            retry_ratio: retry_percent as f64 / 100.0,
            retry_after_jitter: jitter_percent as f64 / 100.0,
        }
    }

    /// The agent has greeted. At the first greeting slow start begins and the stored snapshot is assessed; returns what
    /// of it is restored. `empty`: the agent started cold.
    pub fn agent_greeted(
        &mut self, now: Us, empty: bool, status: Status, active: &dyn ActiveCatalog,
    ) -> Option<Restored> {
        if std::mem::replace(&mut self.assessed, true) {
            return None;
        }
        if status.call_limit.is_finite() {
            let config = SlowStartConfig {
                max_calls: status.call_limit.max(1.0),
                initial_calls: self.config.settings.initial_calls as f64,
                update_interval: UPDATE_INTERVAL_US,
            };
            self.slow_start = Some(SlowStart::new(now, config));
        }
        let snapshot = self.config.snapshot.take()?;
        Some(self.restore(&snapshot, empty, active))
    }

    fn restore(&self, snapshot: &Snapshot, agent_cold: bool, active: &dyn ActiveCatalog) -> Restored {
        let current = CurrentServer {
            name: &self.config.name,
            settings_hash: self.config.settings_hash,
            cores: self.config.cores,
            memory_mb: self.config.memory_mb,
            now: self.config.clocks,
            agent_cold,
            max_snapshot_age: self.config.settings.max_snapshot_age,
            targets: active.latency_targets(),
        };
        let restored = assess(snapshot, &current);
        let summary = format!("{} (age {} ms)", restored.summary(), restored.age / 1000);
        let cost = |cost: &RestoredCost| {
            Some(LearnedCost { method: active.method_id(&cost.method)?, mean: cost.mean, runs: cost.runs })
        };
        let balance = |account: &AccountBalance| LearnedBalance {
            caller: CallerId(account.caller),
            ratio: account.fraction,
        };
        let allowance = |tenant: &TenantAllowance| {
            Some(LearnedAllowance { tenant: active.tenant_index(&tenant.name)?, rpcs: tenant.rpcs })
        };
        let learned = LearnedState {
            costs: restored.costs.iter().filter_map(cost).collect(),
            concurrency_target: restored.concurrency_target,
            slowdown: restored.slowdown,
            call_failures: if restored.trip_breaker_on_first_failure { u32::MAX } else { 0 },
            accounts: restored.accounts.iter().map(balance).collect(),
            tenants: restored.tenants.iter().filter_map(allowance).collect(),
            age: restored.age,
        };
        Restored { learned, summary }
    }

    /// Time has passed. `stats` are the engine's counters, `status` the decision module's state.
    pub fn update(&mut self, now: Us, stats: &EngineStats, status: Status) -> RecoveryUpdate {
        if now < self.next_update {
            return RecoveryUpdate::default();
        }
        self.next_update = now + UPDATE_INTERVAL_US;
        let previous = std::mem::replace(&mut self.previous, stats.clone());
        let sample = CallSample {
            ok: stats.calls_ok - previous.calls_ok,
            failed: failed_calls(stats) - failed_calls(&previous),
            in_flight: status.calls_in_flight,
            waiting: status.waiting_to_call,
        };
        let limits_changed =
            self.slow_start.as_mut().is_some_and(|slow_start| slow_start.update(now, sample));
        let calls_unrestricted = self
            .slow_start
            .as_ref()
            .is_none_or(|slow_start| slow_start.is_complete() || status.waiting_to_call == 0);
        let evidence = StageEvidence {
            snapshot_assessed: self.assessed,
            runs_ok: stats.runs_ok - previous.runs_ok,
            received: stats.requests - previous.requests,
            rejected: stats.rejected - previous.rejected,
            slowdown: status.slowdown,
            ramp_complete: status.warm,
            calls_unrestricted,
            unhealthy: status.breaker_open || status.stalled,
        };
        RecoveryUpdate {
            limits: limits_changed.then(|| self.limits()),
            entered_stage: self.stages.update(now, evidence),
        }
    }

    /// Whether a snapshot is to be stored now: at its interval, or because the server leaves.
    pub fn is_snapshot_due(&mut self, now: Us, leaving: bool) -> bool {
        self.config.persistent && self.assessed && (self.snapshot_interval.expired(now) || leaving)
    }

    /// The snapshot to store. Methods of which nothing was learned, and removed ones, are left out; of the others as many
    /// as a snapshot holds, in the order of their names.
    pub fn snapshot(
        &self, clocks: ClockReading, learned: LearnedState, active: &dyn ActiveCatalog,
    ) -> Snapshot {
        let balance =
            |account: &LearnedBalance| AccountBalance { caller: account.caller.0, fraction: account.ratio };
        Snapshot {
            name: self.config.name.clone(),
            settings_hash: self.config.settings_hash,
            cores: self.config.cores,
            memory_mb: self.config.memory_mb,
            taken_at: clocks,
            methods: method_costs(&learned, active),
            concurrency_target: learned.concurrency_target.unwrap_or(0.0),
            slowdown: learned.slowdown.unwrap_or(0.0),
            call_failures: learned.call_failures,
            accounts: learned.accounts.iter().map(balance).collect(),
            tenants: tenant_allowances(&learned, active),
        }
    }

    /// How many outages of the upstream tier were detected.
    pub fn outages(&self) -> u64 {
        self.slow_start.as_ref().map_or(0, |slow_start| slow_start.outages)
    }
}

fn failed_calls(stats: &EngineStats) -> u64 {
    stats.calls_aborted + stats.calls_timed_out + stats.calls_rejected
}

fn method_costs(learned: &LearnedState, active: &dyn ActiveCatalog) -> Vec<MethodCost> {
    let named = |cost: &LearnedCost| {
        let (name, target) = active.method_name(cost.method).filter(|_| cost.runs > 0.0)?;
        Some((name, target, cost.mean, cost.runs))
    };
    let mut methods: Vec<_> = learned.costs.iter().filter_map(named).collect();
    retain_first(&mut methods, MAX_METHODS, |(name, ..)| name);
    let cost = |(name, latency_target, mean, runs): (&Name, Us, f64, f64)| MethodCost {
        name: name.to_string(),
        latency_target,
        mean,
        runs,
    };
    methods.into_iter().map(cost).collect()
}

fn tenant_allowances(learned: &LearnedState, active: &dyn ActiveCatalog) -> Vec<TenantAllowance> {
    let mut tenants = active.tenants();
    retain_first(&mut tenants, MAX_TENANTS, |(name, _)| name);
    let allowance = |(name, index): (&Name, usize)| {
        let at = learned.tenants.binary_search_by_key(&index, |allowance| allowance.tenant).ok()?;
        Some(TenantAllowance { name: name.to_string(), rpcs: learned.tenants.get(at)?.rpcs })
    };
    tenants.into_iter().filter_map(allowance).collect()
}

/// Retains the first `limit` by name, sorted. Linear in all, so that a few of many cost no sorting of all.
fn retain_first<T>(all: &mut Vec<T>, limit: usize, name: impl Fn(&T) -> &Name) {
    let order = |a: &T, b: &T| name(a).cmp(name(b));
    if all.len() > limit {
        all.select_nth_unstable_by(limit, order);
        all.truncate(limit);
    }
    all.sort_unstable_by(order);
}
