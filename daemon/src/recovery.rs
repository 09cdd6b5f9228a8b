//! How this server comes back: what `asterrill-recovery` decides, joined to the engine's figures. No I/O: what was
//! kept comes in, what is to be kept goes out, moments are passed in.

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

const LOOK: Us = 100_000; // between looks at what was served and called

/// What a start knows of itself.
pub struct RecoveryConfig {
    pub name: String,
    /// The hash of the settings in force.
    pub settings: u64,
    pub cores: f64,
    pub memory_mb: u64,
    pub moment: ClockReading,
    pub terms: RecoverySettings,
    pub snapshot: Option<Snapshot>,
    pub seed: u64,
    /// There is a place where snapshots are kept.
    pub persistent: bool,
}

/// Who knows the names of what the module numbers, as far as it is in force.
pub trait ActiveTerms {
    fn targets(&self) -> &dyn LatencyTargets;
    /// The name of a method, and its latency target.
    fn named(&self, method: MethodId) -> Option<(&Name, Us)>;
    fn place(&self, method: &str) -> Option<MethodId>;
    fn tenant(&self, name: &str) -> Option<usize>;
    /// All tenants with their places, in any order.
    fn tenants(&self) -> Vec<(&Name, usize)>;
}

pub struct RecoveryTracker {
    config: RecoveryConfig,
    stages: StageTracker,
    slow_start: Option<SlowStart>,
    assessed: bool,
    next: Us,
    snapshot: JitteredInterval,
    /// What the engine had counted at the last look.
    before: EngineStats,
}

impl RecoveryTracker {
    pub fn new(now: Us, config: RecoveryConfig) -> RecoveryTracker {
        let snapshot = JitteredInterval::new(now, config.terms.snapshot_interval, config.seed, "snapshot");
        let (stages, before) = (StageTracker::new(now), EngineStats::default());
        RecoveryTracker {
            config,
            stages,
            slow_start: None,
            assessed: false,
            next: now + LOOK,
            snapshot,
            before,
        }
    }
    pub fn next(&self) -> Us {
        self.next
    }
    /// Other settings are in force.
    pub fn change(&mut self, settings: u64) {
        self.config.settings = settings;
    }
    pub fn stages(&self) -> &StageTracker {
        &self.stages
    }

    /// How carefully the module is to go about it now.
    pub fn care(&self) -> RecoveryLimits {
        let RecoverySettings { retry_percent: repeats, jitter_percent: spread, .. } = self.config.terms;
        let calls = self.slow_start.as_ref().map_or(f64::INFINITY, SlowStart::limit);
        RecoveryLimits {
            calls_in_flight: calls,
            retry_ratio: repeats as f64 / 100.0,
            retry_after_jitter: spread as f64 / 100.0,
        }
    }

    /// The agent has greeted for the first time: what was kept is assessed. Hands back what the module is to restored,
    /// and what became of each value, in words.
    pub fn greeted(
        &mut self, now: Us, empty: bool, standing: Status, known: &dyn ActiveTerms,
    ) -> Option<(LearnedState, String)> {
        if std::mem::replace(&mut self.assessed, true) {
            return None;
        }
        if standing.call_limit.is_finite() {
            let first = self.config.terms.initial_calls as f64;
            let config = SlowStartConfig {
                max_calls: standing.call_limit.max(1.0),
                initial_calls: first,
                update_interval: LOOK,
            };
            self.slow_start = Some(SlowStart::new(now, config));
        }
        let kept = self.config.snapshot.take()?;
        let RecoveryConfig { name, settings, cores, memory_mb, moment, terms, .. } = &self.config;
        let (settings, cores, memory_mb, moment) = (*settings, *cores, *memory_mb, *moment);
        let (trust, targets) = (terms.max_snapshot_age, known.targets());
        let present = CurrentServer {
            name,
            settings_hash: settings,
            cores,
            memory_mb,
            now: moment,
            agent_empty: empty,
            max_snapshot_age: trust,
            targets,
        };
        let restored = assess(&kept, &present);
        let told = format!("{} (age {} ms)", restored.summary(), restored.age / 1000);
        let cost = |cost: &RestoredCost| {
            Some(LearnedCost { method: known.place(&cost.method)?, mean: cost.mean, runs: cost.runs })
        };
        let balance = |account: &AccountBalance| LearnedBalance {
            caller: CallerId(account.caller),
            ratio: account.fraction,
        };
        let allowance = |tenant: &TenantAllowance| {
            Some(LearnedAllowance { tenant: known.tenant(&tenant.name)?, rpcs: tenant.rpcs })
        };
        let experience = LearnedState {
            costs: restored.costs.iter().filter_map(cost).collect(),
            concurrency_target: restored.concurrency_target,
            slowdown: restored.slowdown,
            call_failures: if restored.careful { u32::MAX } else { 0 },
            accounts: restored.accounts.iter().map(balance).collect(),
            tenants: restored.tenants.iter().filter_map(allowance).collect(),
            age: restored.age,
        };
        Some((experience, told))
    }

    /// Time has passed. Hands back the care that is to be taken, if that has changed, and the stage that was entered.
    pub fn look(
        &mut self, now: Us, counts: &EngineStats, standing: Status,
    ) -> (Option<RecoveryLimits>, Option<Stage>) {
        if now < self.next {
            return (None, None);
        }
        self.next = now + LOOK;
        let before = std::mem::replace(&mut self.before, counts.clone());
        let failed = |c: &EngineStats| c.calls_aborted + c.calls_timed_out + c.calls_rejected;
        let sample = CallSample {
            ok: counts.calls_ok - before.calls_ok,
            failed: failed(counts) - failed(&before),
            in_flight: standing.calls_in_flight,
            waiting: standing.waiting_to_call,
        };
        let moved = self.slow_start.as_mut().is_some_and(|slow_start| slow_start.update(now, sample));
        let evidence = StageEvidence {
            snapshot_assessed: self.assessed,
            runs_ok: counts.runs_ok - before.runs_ok,
            received: counts.requests - before.requests,
            rejected: counts.rejected - before.rejected,
            slowdown: standing.slowdown,
            ramp_complete: standing.warm,
            calls_open: self
                .slow_start
                .as_ref()
                .is_none_or(|o| o.is_fully_open() || standing.waiting_to_call == 0),
            unhealthy: standing.breaker_open || standing.stalled,
        };
        (moved.then(|| self.care()), self.stages.update(now, evidence))
    }

    /// A snapshot is wanted now: at its beat, or since the server leaves.
    pub fn snapshot_due(&mut self, now: Us, leaving: bool) -> bool {
        self.config.persistent && self.assessed && (self.snapshot.expired(now) || leaving)
    }

    /// What is to be kept. Methods of which nothing was learned, and those that are gone, are left out. In the order of
    /// names, as many as a snapshot holds.
    pub fn snapshot(&self, moment: ClockReading, learned: LearnedState, known: &dyn ActiveTerms) -> Snapshot {
        let of_method = |cost: &LearnedCost| {
            let (name, target) = known.named(cost.method).filter(|_| cost.runs > 0.0)?;
            Some((name, target, cost.mean, cost.runs))
        };
        let mut methods: Vec<_> = learned.costs.iter().filter_map(of_method).collect();
        first(&mut methods, MAX_METHODS, |(name, ..)| name);
        let cost = |(name, latency_target, mean, runs): (&Name, Us, f64, f64)| MethodCost {
            name: name.to_string(),
            latency_target,
            mean,
            runs,
        };
        let mut tenants = known.tenants();
        first(&mut tenants, MAX_TENANTS, |(name, _)| name);
        let allowance = |(name, place): (&Name, usize)| {
            let at = learned.tenants.binary_search_by_key(&place, |allowance| allowance.tenant).ok()?;
            Some(TenantAllowance { name: name.to_string(), rpcs: learned.tenants.get(at)?.rpcs })
        };
        Snapshot {
            name: self.config.name.clone(),
            settings_hash: self.config.settings,
            cores: self.config.cores,
            memory_mb: self.config.memory_mb,
            taken_at: moment,
            methods: methods.into_iter().map(cost).collect(),
            concurrency_target: learned.concurrency_target.unwrap_or(0.0),
            slowdown: learned.slowdown.unwrap_or(0.0),
            call_failures: learned.call_failures,
            accounts: learned
                .accounts
                .iter()
                .map(|account| AccountBalance { caller: account.caller.0, fraction: account.ratio })
                .collect(),
            tenants: tenants.into_iter().filter_map(allowance).collect(),
        }
    }

    /// Outages of the layer below that were noticed.
    pub fn outages(&self) -> u64 {
        self.slow_start.as_ref().map_or(0, |slow_start| slow_start.outages)
    }
}

/// Keeps the first by name, in their order; linear in all, so that a few of many cost no sorting of all.
fn first<T>(all: &mut Vec<T>, most: usize, name: impl Fn(&T) -> &Name) {
    let order = |a: &T, b: &T| name(a).cmp(name(b));
    if all.len() > most {
        all.select_nth_unstable_by(most, order);
        all.truncate(most);
    }
    all.sort_unstable_by(order);
}
