//! Recovery of this server after a start or an upstream outage.
//!
//! Connects the decisions of `asterrill-recovery` to the figures of the engine. This module does no I/O: the stored
//! snapshot and clock readings are passed in, and the snapshot to store is returned.

use crate::account_slots::is_connection_account;
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

/// Interval between two updates of slow start and recovery stage, in microseconds.
const UPDATE_INTERVAL_US: Us = 100_000;

/// Configuration of recovery, as known at the start of the process.
pub struct RecoveryConfig {
    /// The name of this server.
    pub name: String,
    /// The hash of the active settings.
    pub settings_hash: u64,
    /// The number of cores of this server.
    pub cores: f64,
    /// The memory limit of this server in MB.
    pub memory_mb: u64,
    /// The clock readings at the start.
    pub clocks: ClockReading,
    /// The operator's settings.
    pub settings: RecoverySettings,
    /// The snapshot stored by a previous process, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The seed of the jitter.
    pub seed: u64,
    /// Whether there is a directory in which snapshots are stored.
    pub persistent: bool,
}

/// Lookup of the active methods and tenants.
pub trait ActiveCatalog {
    /// Returns the latency targets of the methods, by name.
    fn latency_targets(&self) -> &dyn LatencyTargets;
    /// Returns the name of a method and its latency target in microseconds.
    fn method_name(&self, id: MethodId) -> Option<(&Name, Us)>;
    /// Returns the index of a method.
    fn method_id(&self, name: &str) -> Option<MethodId>;
    /// Returns the index of a tenant.
    fn tenant_index(&self, name: &str) -> Option<usize>;
    /// Returns all tenants with their indices, in any order.
    fn tenants(&self) -> Vec<(&Name, usize)>;
}

/// Valid parts of a stored snapshot.
pub struct Restored {
    /// The learned state to restore in the decision module.
    pub learned: LearnedState,
    /// The outcome for each value, as written to the log.
    pub summary: String,
}

/// Result of an update of the recovery tracker.
#[derive(Default)]
pub struct RecoveryUpdate {
    /// The new limits for the decision module, if they have changed.
    pub limits: Option<RecoveryLimits>,
    /// The stage that was entered, if any.
    pub entered_stage: Option<Stage>,
}

/// Tracker of this server's recovery.
pub struct RecoveryTracker {
    config: RecoveryConfig,
    stages: StageTracker,
    slow_start: Option<SlowStart>,
    /// Whether the stored snapshot was assessed, or there was none.
    assessed: bool,
    next_update: Us,
    snapshot_interval: JitteredInterval,
    /// The counters of the engine at the last update.
    previous: EngineStats,
}

impl RecoveryTracker {
    /// Creates the tracker at the start of the process.
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

    /// Returns the time at which [`RecoveryTracker::update`] is due next.
    pub fn next_update(&self) -> Us {
        self.next_update
    }

    /// Sets the hash of the active settings.
    pub fn set_settings_hash(&mut self, hash: u64) {
        self.config.settings_hash = hash;
    }

    /// Returns the tracker of the recovery stages.
    pub fn stages(&self) -> &StageTracker {
        &self.stages
    }

    /// Returns the limits that currently apply to the decision module.
    pub fn limits(&self) -> RecoveryLimits {
        let RecoverySettings { retry_percent, jitter_percent, .. } = self.config.settings;
        RecoveryLimits {
            calls_in_flight: self.slow_start.as_ref().map_or(f64::INFINITY, SlowStart::limit),
            retry_ratio: retry_percent as f64 / 100.0,
            retry_after_jitter: jitter_percent as f64 / 100.0,
        }
    }

    /// Begins slow start and assesses the stored snapshot at the agent's first greeting, and returns its valid parts.
    ///
    /// `agent_cold` tells whether the agent started with empty caches.
    pub fn agent_greeted(
        &mut self, now: Us, agent_cold: bool, status: Status, active: &dyn ActiveCatalog,
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
        Some(self.restore(&snapshot, agent_cold, active))
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

    /// Updates slow start and stage if the interval has passed.
    ///
    /// `stats` are the counters of the engine, `status` is the state of the decision module.
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

    /// Reports whether a snapshot is to be stored now, at its interval or because the server is shutting down.
    pub fn is_snapshot_due(&mut self, now: Us, shutting_down: bool) -> bool {
        self.config.persistent && self.assessed && (self.snapshot_interval.expired(now) || shutting_down)
    }

    /// Returns the snapshot to store.
    ///
    /// Removed methods, and methods about which nothing was learned, are omitted. If there are more names than a
    /// snapshot can hold, it contains the first ones in the order of names.
    pub fn snapshot(
        &self, clocks: ClockReading, learned: LearnedState, active: &dyn ActiveCatalog,
    ) -> Snapshot {
        let balance =
            |account: &LearnedBalance| AccountBalance { caller: account.caller.0, fraction: account.ratio };
        let outlives_restart = |account: &&LearnedBalance| !is_connection_account(account.caller);
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
            accounts: learned.accounts.iter().filter(outlives_restart).map(balance).collect(),
            tenants: tenant_allowances(&learned, active),
        }
    }

    /// Returns the number of detected outages of the upstream tier.
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

/// Retains the first `limit` items by name, sorted. Selects them in linear time before sorting, so that the cost of
/// sorting depends on `limit` only.
fn retain_first<T>(all: &mut Vec<T>, limit: usize, name: impl Fn(&T) -> &Name) {
    let order = |a: &T, b: &T| name(a).cmp(name(b));
    if all.len() > limit {
        all.select_nth_unstable_by(limit, order);
        all.truncate(limit);
    }
    all.sort_unstable_by(order);
}
