//! The driver of the transaction, on the worker: stages, applies, watches, confirms and rolls back.

use super::command::OperatorCommand;
use super::content::{RunningContent, VersionContent};
use super::install::{install, inverse, SlicePause};
use super::prepare::{prepare, PreparedChange, RolloutPolicy, ValidationContext};
use super::reply::{
    AppliedReply, ConfirmedReply, DroppedReply, Rejection, Reply, RolledBackReply, StagedReply,
};
use super::request::{ChangeRequest, ChangeSource};
use crate::dispatcher::Dispatcher;
use crate::store::Store;
use asterrill::Us;
use asterrill_entries::Change;
use asterrill_net::now;
use asterrill_rollout::{
    Baseline, Loss, PersistedState, Phase, ProbationMonitor, Proposal, RolledBack, Rollout, SimpleCommand,
    StageOptions, Verdict, Version,
};
use asterrill_settings::{Deployment, SettingsError};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Microseconds between looks at what was served.
const SAMPLE_INTERVAL_US: Us = 100_000;

/// The version that a process starts with.
pub struct StartVersion {
    /// What it says.
    pub content: VersionContent,
    /// Its number.
    pub number: u64,
    /// Versions that were rolled back, the oldest first.
    pub rolled_back: Vec<RolledBack>,
}

/// Carries changes out at the dispatcher.
pub struct ChangeDriver {
    pub(super) rollout: Rollout<VersionContent>,
    /// Of versions that are staged, queued or on probation: what leads there from the one before.
    steps: BTreeMap<u64, Arc<Vec<Change>>>,
    running: Arc<RunningContent>,
    baseline: Baseline,
    /// The same since the change that is watched: the baseline of the next one, if this one stays.
    next_baseline: Baseline,
    monitor: Option<ProbationMonitor>,
    next_sample: Us,
    policy: RolloutPolicy,
    seed: u64,
    pub(super) store: Option<Store>,
}

impl ChangeDriver {
    /// Begins with a version, and writes it down if there is a store.
    pub fn new(start: StartVersion, policy: RolloutPolicy, seed: u64, store: Option<Store>) -> ChangeDriver {
        let StartVersion { content, number, rolled_back } = start;
        let hash = content.hash();
        let running = Arc::new(RunningContent::new(&content));
        let driver = ChangeDriver {
            rollout: Rollout::resume(content, hash, number, rolled_back, now()),
            steps: BTreeMap::new(),
            running,
            baseline: Baseline::default(),
            next_baseline: Baseline::default(),
            monitor: None,
            next_sample: now(),
            policy,
            seed,
            store,
        };
        driver.persist();
        driver
    }

    /// What runs, for other threads.
    pub fn running(&self) -> Arc<RunningContent> {
        self.running.clone()
    }

    /// When `tick` is due next; only while something is on probation must it be in time.
    pub fn next_deadline(&self) -> Us {
        if self.monitor.is_some() {
            self.next_sample
        } else {
            Us::MAX
        }
    }

    /// Graceful shutdown began: nothing is applied any more, and nothing rolled back.
    pub fn begin_shutdown(&mut self) {
        self.rollout.begin_shutdown();
        self.monitor = None;
    }

    /// What a change is to be read and checked against.
    pub fn validation_context(&self, dispatcher: &Dispatcher) -> ValidationContext {
        let running = self.rollout.running();
        let observed = dispatcher.with(|core, _, _| core.recent_load());
        ValidationContext { version: running.number, running: running.content.clone(), observed }
    }

    /// Time has passed: what was served is looked at.
    pub fn tick(&mut self, dispatcher: &Dispatcher, pause: &mut SlicePause<'_>) {
        let at = now();
        if at < self.next_sample {
            return;
        }
        self.next_sample = at + SAMPLE_INTERVAL_US;
        let sample = dispatcher.with(|core, _, _| core.take_service_sample());
        let verdict = match &mut self.monitor {
            Some(monitor) => {
                self.next_baseline.record(at, &sample);
                monitor.observe(at, &sample)
            }
            None => {
                self.baseline.record(at, &sample);
                Verdict::Wait
            }
        };
        match verdict {
            Verdict::Wait => {}
            Verdict::RollBack { expected, observed } => {
                let why = describe_loss(expected, observed);
                if let Err(rejection) = self.roll_back(dispatcher, &why, pause) {
                    warn!(dispatcher.log, "rolling the change back failed"; "why" => rejection.error);
                }
            }
            Verdict::Confirm { expected, observed } => {
                drop(self.confirm(dispatcher, &describe_loss(expected, observed)));
            }
        }
    }

    /// A configuration file was read again, on a signal: its addresses are taken up by the caller, the rest goes
    /// through the same transaction as any change. `prepared`: how that was read, if it differs from what ran then.
    pub fn reload(
        &mut self, dispatcher: &Dispatcher, deployment: Deployment,
        prepared: Option<Result<PreparedChange, Rejection>>, pause: &mut SlicePause<'_>,
    ) {
        let running = &self.rollout.running().content.configuration;
        if deployment.configuration.digest() == running.digest() {
            return;
        }
        if let Err(rejection) = self.reload_changed(dispatcher, deployment, prepared, pause) {
            dispatcher.with(|core, _, _| core.stats_mut().changes_refused += 1);
            warn!(dispatcher.log, "settings unchanged";
                "why" => rejection.error, "problems" => %serde_json::json!(rejection.problems));
        }
    }

    fn reload_changed(
        &mut self, dispatcher: &Dispatcher, deployment: Deployment,
        prepared: Option<Result<PreparedChange, Rejection>>, pause: &mut SlicePause<'_>,
    ) -> Result<(), Rejection> {
        if !dispatcher.changes_allowed.load(Ordering::Acquire) {
            return Err(Rejection::new("half of the members or fewer are seen"));
        }
        let running = self.rollout.running().number;
        let prepared = match prepared {
            Some(Ok(prepared)) if prepared.validated_against == running => prepared,
            Some(Err(rejection)) => return Err(rejection),
            // Another version runs by now, or it was not read at all.
            _ => {
                let source = ChangeSource::Configuration(deployment.configuration);
                let request = ChangeRequest { source, base: None, options: StageOptions::default() };
                prepare(&self.validation_context(dispatcher), request, self.policy, self.seed)?
            }
        };
        self.stage(dispatcher, prepared)?;
        self.apply(dispatcher, None, None, pause)?;
        Ok(())
    }

    /// Carries out what an operator asks for.
    pub fn execute(
        &mut self, dispatcher: &Dispatcher, command: OperatorCommand, pause: &mut SlicePause<'_>,
    ) -> Reply {
        // Cut off from the others, it goes back at the most: what is changed here would be changed here alone.
        let isolated = !dispatcher.changes_allowed.load(Ordering::Acquire);
        if isolated && matches!(command, OperatorCommand::Stage(_) | OperatorCommand::Apply { .. }) {
            let why = "this backend sees half of its members or fewer: only undo and settle are taken";
            return Reply::Rejected(Rejection::new(why));
        }
        let result = match command {
            OperatorCommand::Stage(prepared) => self.stage(dispatcher, *prepared).map(Reply::Staged),
            OperatorCommand::Apply { if_base, probation } => {
                self.apply(dispatcher, if_base, probation, pause).map(Reply::Applied)
            }
            OperatorCommand::Simple(command) => self.execute_simple(dispatcher, command, pause),
            OperatorCommand::AgreedList(_) | OperatorCommand::ProposeAgreed(_) => no_fleet(),
        };
        result.into()
    }

    fn execute_simple(
        &mut self, dispatcher: &Dispatcher, command: SimpleCommand, pause: &mut SlicePause<'_>,
    ) -> Result<Reply, Rejection> {
        match command {
            SimpleCommand::Status => Ok(Reply::Status(Box::new(self.status(dispatcher)))),
            SimpleCommand::Confirm => self.confirm(dispatcher, "asked for").map(Reply::Confirmed),
            SimpleCommand::RollBack => self.roll_back(dispatcher, "asked for", pause).map(Reply::RolledBack),
            SimpleCommand::Drop => self.drop_staged(&dispatcher.log).map(Reply::Dropped),
            SimpleCommand::History => Ok(Reply::History(self.history())),
            SimpleCommand::Members => Err(Rejection::new("there is no section [members]")),
            SimpleCommand::Fleet => no_fleet(),
        }
    }

    fn stage(&mut self, dispatcher: &Dispatcher, prepared: PreparedChange) -> Result<StagedReply, Rejection> {
        let PreparedChange {
            validated_against,
            content,
            hash,
            entries,
            base,
            options,
            differences,
            problems,
        } = prepared;
        let running = self.rollout.running().number;
        if validated_against != running {
            let error = format!("version {running} came into force while it was read: hand it in again");
            return Err(Rejection { error, problems: None, crossed: true });
        }
        let proposal = Proposal { content, hash: hash.clone(), base, options };
        let version = self.rollout.stage(now(), proposal)?;
        let count = entries.len();
        self.steps.insert(version, entries);
        self.log_events(&dispatcher.log);
        Ok(StagedReply { version, hash: hash.to_string(), entries: count, changes: differences, problems })
    }

    fn drop_staged(&mut self, log: &Logger) -> Result<DroppedReply, Rejection> {
        let version = self.rollout.drop_staged(now())?;
        self.log_events(log);
        Ok(DroppedReply { version })
    }

    fn apply(
        &mut self, dispatcher: &Dispatcher, if_base: Option<u64>, probation: Option<Us>,
        pause: &mut SlicePause<'_>,
    ) -> Result<AppliedReply, Rejection> {
        let at = now();
        let probation = probation.unwrap_or(self.policy.probation);
        let before = self.rollout.running().content.clone();
        let version = match self.rollout.apply(at, if_base, probation) {
            Ok(version) => version,
            Err(error) => {
                self.log_events(&dispatcher.log);
                return Err(error.into());
            }
        };
        // Written first: after a crash from here on the last good version is what starts.
        self.persist();
        let start = Instant::now();
        let step = self.step_to(&version, &before);
        if let Err(error) = install(dispatcher, &version, &step, self.seed, Change::clone, pause) {
            // It passed all checks, so this is a defect, or places ran out; nothing of it was applied.
            drop(self.rollout.roll_back(at, &error.to_string()));
            self.persist();
            self.log_events(&dispatcher.log);
            return Err(error.into());
        }
        let took_us = start.elapsed().as_micros() as u64;
        self.monitor = Some(ProbationMonitor::new(now(), &self.baseline, before.configuration, probation));
        self.next_sample = now();
        self.running.set(&version.content);
        self.log_events(&dispatcher.log);
        Ok(AppliedReply {
            version: version.number,
            hash: version.hash.to_string(),
            entries: step.len(),
            took_us,
            probation_us: probation,
        })
    }

    /// What led to a version from the one before.
    fn step_to(&self, version: &Version<VersionContent>, before: &VersionContent) -> Arc<Vec<Change>> {
        match self.steps.get(&version.number) {
            Some(step) => step.clone(),
            None => Arc::new(before.configuration.changes_to(&version.content.configuration)),
        }
    }

    fn confirm(&mut self, dispatcher: &Dispatcher, why: &str) -> Result<ConfirmedReply, Rejection> {
        let version = self.rollout.confirm(now(), why)?;
        self.monitor = None;
        self.baseline = std::mem::take(&mut self.next_baseline);
        dispatcher.with(|core, _, _| core.commit_change());
        self.persist();
        self.log_events(&dispatcher.log);
        Ok(ConfirmedReply { version, hash: self.rollout.running().hash.to_string() })
    }

    fn roll_back(
        &mut self, dispatcher: &Dispatcher, why: &str, pause: &mut SlicePause<'_>,
    ) -> Result<RolledBackReply, Rejection> {
        let bad = self.rollout.running().clone();
        let version = self.rollout.roll_back(now(), why)?;
        self.monitor = None;
        self.next_baseline = Baseline::default();
        let step = self.step_to(&bad, &version.content);
        let installed = self.install_inverse(dispatcher, &version, &step, pause);
        dispatcher.with(|core, _, _| core.commit_change());
        self.running.set(&version.content);
        self.persist();
        self.log_events(&dispatcher.log);
        installed?;
        let (number, hash) = (version.number, version.hash.to_string());
        Ok(RolledBackReply { version: number, hash, entries: step.len() })
    }

    /// Puts a version in force again that a step led away from.
    fn install_inverse(
        &self, dispatcher: &Dispatcher, version: &Version<VersionContent>, step: &[Change],
        pause: &mut SlicePause<'_>,
    ) -> Result<(), SettingsError> {
        let before = &version.content.configuration;
        install(dispatcher, version, step, self.seed, |entry| inverse(entry, before), pause)
    }

    /// Writes down what a restart needs, if there is a place for it.
    fn persist(&self) {
        let Some(store) = &self.store else { return };
        let good = self.rollout.last_good();
        let running = self.rollout.running();
        let on_probation = running.number != good.number;
        store.save_versions(PersistedState {
            good: good.content.to_persisted(good.number),
            probation: on_probation.then(|| running.content.to_persisted(running.number)),
            rolled_back: self.rollout.rolled_back().cloned().collect(),
        });
    }

    /// Logs each event once, with all that decided it, and forgets what led to versions that are over.
    fn log_events(&mut self, log: &Logger) {
        for event in self.rollout.take_events() {
            let entries = self.steps.get(&event.version).map_or(0, |step| step.len());
            info!(log, "configuration"; "what" => event.kind.as_str(), "version" => event.version,
                "hash" => &*event.hash, "base" => event.base, "entries" => entries, "why" => &event.reason);
        }
        let on_probation = self.rollout.phase() != Phase::Confirmed;
        let running = Some(self.rollout.running()).filter(|_| on_probation);
        let open = [running, self.rollout.staged(), self.rollout.queued()];
        let open = open.map(|version| version.map(|version| version.number));
        self.steps.retain(|number, _| open.contains(&Some(*number)));
    }
}

fn describe_loss(expected: Loss, observed: Loss) -> String {
    format!(
        "loss of {:.3} where {:.3} was to be expected, on {:.0} RPCs' worth",
        observed.fraction, expected.fraction, observed.effective_samples
    )
}

fn no_fleet() -> Result<Reply, Rejection> {
    Err(Rejection::new("there is no section [fleet]"))
}
