//! How this server comes back: what `asterrill-recovery` decides, joined to the engine's figures. No I/O: what was
//! kept comes in, what is to be kept goes out, moments are passed in.

use asterrill::{CallerId, Care, Experience, MethodId, Standing, Us};
use asterrill_engine::EngineStats;
use asterrill_entries::Name;
use asterrill_operator_config::RecoverySettings;
use asterrill_recovery::{
    weigh, Beat, Evidence, Kept, Learned, Moment, Opening, Present, Seen, Stage, Stages, Targets, Terms,
    METHODS, TENANTS,
};

const LOOK: Us = 100_000; // between looks at what was served and called

/// What a start knows of itself.
pub struct RecoveryConfig {
    pub name: String,
    /// The hash of the settings in force.
    pub settings: u64,
    pub cores: f64,
    pub memory_mb: u64,
    pub moment: Moment,
    pub terms: RecoverySettings,
    pub snapshot: Option<Learned>,
    pub seed: u64,
    /// There is a place where snapshots are kept.
    pub persistent: bool,
}

/// Who knows the names of what the module numbers, as far as it is in force.
pub trait ActiveTerms {
    fn targets(&self) -> &dyn Targets;
    /// The name of a method, and its latency target.
    fn named(&self, method: MethodId) -> Option<(&Name, Us)>;
    fn place(&self, method: &str) -> Option<MethodId>;
    fn tenant(&self, name: &str) -> Option<usize>;
    /// All tenants with their places, in any order.
    fn tenants(&self) -> Vec<(&Name, usize)>;
}

pub struct RecoveryTracker {
    config: RecoveryConfig,
    stages: Stages,
    opening: Option<Opening>,
    weighed: bool,
    next: Us,
    snapshot: Beat,
    /// What the engine had counted at the last look.
    before: EngineStats,
}

impl RecoveryTracker {
    pub fn new(now: Us, config: RecoveryConfig) -> RecoveryTracker {
        let snapshot = Beat::new(now, config.terms.snapshot_interval, config.seed, "snapshot");
        let (stages, before) = (Stages::new(now), EngineStats::default());
        RecoveryTracker { config, stages, opening: None, weighed: false, next: now + LOOK, snapshot, before }
    }
    pub fn next(&self) -> Us {
        self.next
    }
    /// Other settings are in force.
    pub fn change(&mut self, settings: u64) {
        self.config.settings = settings;
    }
    pub fn stages(&self) -> &Stages {
        &self.stages
    }

    /// How carefully the module is to go about it now.
    pub fn care(&self) -> Care {
        let RecoverySettings { retry_percent: repeats, jitter_percent: spread, .. } = self.config.terms;
        let calls = self.opening.as_ref().map_or(f64::INFINITY, Opening::bound);
        Care { calls, repeats: repeats as f64 / 100.0, spread: spread as f64 / 100.0 }
    }

    /// The agent has greeted for the first time: what was kept is weighed. Hands back what the module is to recall,
    /// and what became of each value, in words.
    pub fn greeted(
        &mut self, now: Us, empty: bool, standing: Standing, known: &dyn ActiveTerms,
    ) -> Option<(Experience, String)> {
        if std::mem::replace(&mut self.weighed, true) {
            return None;
        }
        if standing.most_calls.is_finite() {
            let first = self.config.terms.initial_calls as f64;
            let terms = Terms { most: standing.most_calls.max(1.0), first, step: LOOK };
            self.opening = Some(Opening::new(now, terms));
        }
        let kept = self.config.snapshot.take()?;
        let RecoveryConfig { name, settings, cores, memory_mb, moment, terms, .. } = &self.config;
        let (settings, cores, memory_mb, moment) = (*settings, *cores, *memory_mb, *moment);
        let (trust, targets) = (terms.max_snapshot_age, known.targets());
        let present = Present { name, settings, cores, memory_mb, moment, empty, trust, targets };
        let recall = weigh(&kept, &present);
        let told = format!("{} (age {} ms)", recall.told(), recall.age / 1000);
        let cost = |(name, mean, runs): &(String, f64, f64)| Some((known.place(name)?, *mean, *runs));
        let tenant = |(name, room): &(String, f64)| Some((known.tenant(name)?, *room));
        let experience = Experience {
            costs: recall.costs.iter().filter_map(cost).collect(),
            target: recall.target,
            pace: recall.pace,
            failures: if recall.careful { u32::MAX } else { 0 },
            accounts: recall.accounts.iter().map(|(caller, share)| (CallerId(*caller), *share)).collect(),
            tenants: recall.tenants.iter().filter_map(tenant).collect(),
            age: recall.age,
        };
        Some((experience, told))
    }

    /// Time has passed. Hands back the care that is to be taken, if that has changed, and the stage that was entered.
    pub fn look(
        &mut self, now: Us, counts: &EngineStats, standing: Standing,
    ) -> (Option<Care>, Option<Stage>) {
        if now < self.next {
            return (None, None);
        }
        self.next = now + LOOK;
        let before = std::mem::replace(&mut self.before, counts.clone());
        let failed = |c: &EngineStats| c.calls_aborted + c.calls_timed_out + c.calls_rejected;
        let seen = Seen {
            ok: counts.calls_ok - before.calls_ok,
            failed: failed(counts) - failed(&before),
            in_hand: standing.calls,
            waiting: standing.at_call,
        };
        let moved = self.opening.as_mut().is_some_and(|opening| opening.look(now, seen));
        let evidence = Evidence {
            weighed: self.weighed,
            runs: counts.runs_ok - before.runs_ok,
            read: counts.requests - before.requests,
            turned_away: counts.rejected - before.rejected,
            pace: standing.pace,
            ramped: standing.warm,
            calls_open: self.opening.as_ref().is_none_or(|o| o.is_open() || standing.at_call == 0),
            troubled: standing.shut || standing.still,
        };
        (moved.then(|| self.care()), self.stages.look(now, evidence))
    }

    /// A snapshot is wanted now: at its beat, or since the server leaves.
    pub fn snapshot_due(&mut self, now: Us, leaving: bool) -> bool {
        self.config.persistent && self.weighed && (self.snapshot.due(now) || leaving)
    }

    /// What is to be kept. Methods of which nothing was learned, and those that are gone, are left out. In the order of
    /// names, as many as a snapshot holds.
    pub fn snapshot(&self, moment: Moment, learned: Experience, known: &dyn ActiveTerms) -> Learned {
        let of_method = |(method, mean, runs): &(MethodId, f64, f64)| {
            let (name, target) = known.named(*method).filter(|_| *runs > 0.0)?;
            Some((name, target, *mean, *runs))
        };
        let mut methods: Vec<_> = learned.costs.iter().filter_map(of_method).collect();
        first(&mut methods, METHODS, |(name, ..)| name);
        let kept = |(name, target, mean, runs): (&Name, Us, f64, f64)| Kept {
            name: name.to_string(),
            target,
            mean,
            runs,
        };
        let mut tenants = known.tenants();
        first(&mut tenants, TENANTS, |(name, _)| name);
        let room = |(name, place): (&Name, usize)| {
            let at = learned.tenants.binary_search_by_key(&place, |(place, _)| *place).ok()?;
            Some((name.to_string(), learned.tenants.get(at)?.1))
        };
        Learned {
            name: self.config.name.clone(),
            settings: self.config.settings,
            cores: self.config.cores,
            memory_mb: self.config.memory_mb,
            moment,
            methods: methods.into_iter().map(kept).collect(),
            target: learned.target.unwrap_or(0.0),
            pace: learned.pace.unwrap_or(0.0),
            failures: learned.failures,
            accounts: learned.accounts.iter().map(|(caller, share)| (caller.0, *share)).collect(),
            tenants: tenants.into_iter().filter_map(room).collect(),
        }
    }

    /// Outages of the layer below that were noticed.
    pub fn outages(&self) -> u64 {
        self.opening.as_ref().map_or(0, |opening| opening.outages)
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
