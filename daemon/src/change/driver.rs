//! Driver of the rollout transaction on the worker: stages, applies, monitors, confirms and rolls back changes.

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
    hash_with_entries, Baseline, Loss, PersistedState, Phase, ProbationMonitor, Proposal, RolledBack,
    Rollout, SimpleCommand, StageOptions, Verdict, Version, VersionHash,
};
use asterrill_settings::{Deployment, SettingsError};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

/// Interval between samples of the service statistics, in microseconds.
const SAMPLE_INTERVAL_US: Us = 100_000;

/// Reason recorded for a confirmation or a rollback that an operator requested. The same reason is recorded for staged
/// and dropped versions.
const REQUESTED: &str = "requested";

/// Version that the process starts with.
pub struct StartVersion {
    /// Content of the version.
    pub content: VersionContent,
    /// Number of the version.
    pub number: u64,
    /// Versions that were rolled back, oldest first.
    pub rolled_back: Vec<RolledBack>,
    /// Reason for starting with this version.
    pub reason: &'static str,
    /// Hash of the files that the process has read.
    pub files: VersionHash,
}

/// Applies configuration changes to the dispatcher.
pub struct ChangeDriver {
    pub(super) rollout: Rollout<VersionContent>,
    /// Changes from the previous version, by the number of each version that is staged, queued or on probation.
    steps: BTreeMap<u64, Arc<Vec<Change>>>,
    running: Arc<RunningContent>,
    baseline: Baseline,
    /// Baseline measured since the change on probation. It replaces `baseline` when that change is confirmed.
    next_baseline: Baseline,
    monitor: Option<ProbationMonitor>,
    next_sample: Us,
    policy: RolloutPolicy,
    seed: u64,
    /// Hash of the files that were read last and taken into account.
    files: VersionHash,
    pub(super) store: Option<Store>,
}

impl ChangeDriver {
    /// Creates a driver with its first version, logs that, and persists it if there is a store.
    ///
    /// Log lines of the previous process may have been lost when it was killed, but the version that was kept and the
    /// reason for it are logged here.
    pub fn new(
        start: StartVersion, policy: RolloutPolicy, seed: u64, store: Option<Store>, log: &Logger,
    ) -> ChangeDriver {
        let StartVersion { content, number, rolled_back, reason, files } = start;
        let hash = content.hash();
        let running = Arc::new(RunningContent::new(&content));
        let mut driver = ChangeDriver {
            rollout: Rollout::resume(content, hash, number, rolled_back, reason, now()),
            steps: BTreeMap::new(),
            running,
            baseline: Baseline::default(),
            next_baseline: Baseline::default(),
            monitor: None,
            next_sample: now(),
            policy,
            seed,
            files,
            store,
        };
        driver.persist();
        driver.log_events(log);
        driver
    }

    /// Returns the handle to the running content for other threads.
    pub fn running(&self) -> Arc<RunningContent> {
        self.running.clone()
    }

    /// Returns the time at which [`ChangeDriver::tick`] is due next during a probation.
    ///
    /// Without a probation, calls need not be on time, and the result is `Us::MAX`.
    pub fn next_deadline(&self) -> Us {
        if self.monitor.is_some() {
            self.next_sample
        } else {
            Us::MAX
        }
    }

    /// Ends the monitoring at the start of a graceful shutdown. From then on no change is applied or rolled back.
    pub fn begin_shutdown(&mut self) {
        self.rollout.begin_shutdown();
        self.monitor = None;
    }

    /// Returns the running version and the observed load that a change is validated against.
    pub fn validation_context(&self, dispatcher: &Dispatcher) -> ValidationContext {
        let running = self.rollout.running();
        let observed = dispatcher.with(|core, _, _| core.recent_load());
        ValidationContext { version: running.number, running: running.content.clone(), observed }
    }

    /// Takes a sample of the service statistics if it is due, and acts on the verdict of the probation monitor.
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
                    warn!(dispatcher.log, "rolling back the change failed"; "why" => rejection.error);
                }
            }
            Verdict::Confirm { expected, observed } => {
                drop(self.confirm(dispatcher, &describe_loss(expected, observed)));
            }
        }
    }

    /// Applies a configuration file that was reloaded on a signal, by the same transaction as any other change.
    ///
    /// The caller updates the addresses. `prepared` is the result of the validation off the worker thread; `None` if
    /// the file had no changes then or was not validated.
    pub fn reload(
        &mut self, dispatcher: &Dispatcher, deployment: Deployment,
        prepared: Option<Result<PreparedChange, Rejection>>, pause: &mut SlicePause<'_>,
    ) {
        let running = &self.rollout.running().content.configuration;
        let entries = deployment.configuration.digest();
        if entries == running.digest() {
            return self.record_file(&entries.to_string());
        }
        if let Err(rejection) = self.reload_changed(dispatcher, deployment, prepared, pause) {
            dispatcher.with(|core, _, _| core.stats_mut().changes_refused += 1);
            warn!(dispatcher.log, "settings unchanged";
                "why" => rejection.error, "problems" => %serde_json::json!(rejection.problems));
            return;
        }
        self.record_file(&entries.to_string());
    }

    /// Records that a configuration file with these entries was read and taken into account.
    fn record_file(&mut self, entries: &str) {
        self.files = hash_with_entries(&self.files, entries);
        self.persist();
    }

    fn reload_changed(
        &mut self, dispatcher: &Dispatcher, deployment: Deployment,
        prepared: Option<Result<PreparedChange, Rejection>>, pause: &mut SlicePause<'_>,
    ) -> Result<(), Rejection> {
        if !dispatcher.changes_allowed.load(Ordering::Acquire) {
            return Err(Rejection::new("this backend sees half of the members or fewer"));
        }
        let running = self.rollout.running().number;
        let prepared = match prepared {
            Some(Ok(prepared)) if prepared.validated_against == running => prepared,
            Some(Err(rejection)) => return Err(rejection),
            // Another version has been applied since the validation, or the file was not validated.
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

    /// Executes a command of an operator.
    pub fn execute(
        &mut self, dispatcher: &Dispatcher, command: OperatorCommand, pause: &mut SlicePause<'_>,
    ) -> Reply {
        // A backend that is cut off from the majority accepts no new version, because it would diverge from the
        // others. It may still return to the previous version.
        let isolated = !dispatcher.changes_allowed.load(Ordering::Acquire);
        if isolated && matches!(command, OperatorCommand::Stage(_) | OperatorCommand::Apply { .. }) {
            let why = "this backend sees half of the members or fewer: stage and apply are rejected";
            return Reply::Rejected(Rejection::new(why));
        }
        let result = match command {
            OperatorCommand::Stage(prepared) => self.stage(dispatcher, *prepared).map(Reply::Staged),
            OperatorCommand::Apply { if_base, probation } => {
                self.apply(dispatcher, if_base, probation, pause).map(Reply::Applied)
            }
            OperatorCommand::Simple(command) => self.execute_simple(dispatcher, command, pause),
            OperatorCommand::AgreedList(_) | OperatorCommand::ProposeAgreed(_) => missing_fleet_section(),
        };
        result.into()
    }

    fn execute_simple(
        &mut self, dispatcher: &Dispatcher, command: SimpleCommand, pause: &mut SlicePause<'_>,
    ) -> Result<Reply, Rejection> {
        match command {
            SimpleCommand::Status => Ok(Reply::Status(Box::new(self.status(dispatcher)))),
            SimpleCommand::Confirm => self.confirm(dispatcher, REQUESTED).map(Reply::Confirmed),
            SimpleCommand::RollBack => self.roll_back(dispatcher, REQUESTED, pause).map(Reply::RolledBack),
            SimpleCommand::Drop => self.drop_staged(&dispatcher.log).map(Reply::Dropped),
            SimpleCommand::History => Ok(Reply::History(self.history())),
            SimpleCommand::Members => Err(Rejection::new("the operator's file has no section [members]")),
            SimpleCommand::Fleet => missing_fleet_section(),
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
            let error = format!(
                "version {running} was applied while the change was validated: submit the change again"
            );
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
        let previous = self.rollout.running().content.clone();
        let version = match self.rollout.apply(at, if_base, probation) {
            Ok(version) => version,
            Err(error) => {
                self.log_events(&dispatcher.log);
                return Err(error.into());
            }
        };
        // Persisted before it is installed, so that after a crash the process starts on the last good version.
        self.persist();
        let start = Instant::now();
        let step = self.step_to(&version, &previous);
        if let Err(error) = install(dispatcher, &version, &step, self.seed, Change::clone, pause) {
            // The change has passed validation, so this is a defect, or the core has no capacity for its entries.
            // Nothing of it was applied.
            drop(self.rollout.roll_back(at, &error.to_string()));
            self.persist();
            self.log_events(&dispatcher.log);
            return Err(error.into());
        }
        let took_us = start.elapsed().as_micros() as u64;
        self.monitor = Some(ProbationMonitor::new(now(), &self.baseline, previous.configuration, probation));
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

    /// Returns the changes that lead from `previous` to `version`.
    fn step_to(&self, version: &Version<VersionContent>, previous: &VersionContent) -> Arc<Vec<Change>> {
        match self.steps.get(&version.number) {
            Some(step) => step.clone(),
            None => Arc::new(previous.configuration.changes_to(&version.content.configuration)),
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
        let replaced = self.rollout.running().clone();
        let version = self.rollout.roll_back(now(), why)?;
        self.monitor = None;
        self.next_baseline = Baseline::default();
        let step = self.step_to(&replaced, &version.content);
        let installed = self.install_inverse(dispatcher, &version, &step, pause);
        dispatcher.with(|core, _, _| core.commit_change());
        self.running.set(&version.content);
        self.persist();
        self.log_events(&dispatcher.log);
        installed?;
        let (number, hash) = (version.number, version.hash.to_string());
        Ok(RolledBackReply { version: number, hash, entries: step.len() })
    }

    /// Installs `version` again by the inverse of the step that led away from it.
    fn install_inverse(
        &self, dispatcher: &Dispatcher, version: &Version<VersionContent>, step: &[Change],
        pause: &mut SlicePause<'_>,
    ) -> Result<(), SettingsError> {
        let restored = &version.content.configuration;
        install(dispatcher, version, step, self.seed, |entry| inverse(entry, restored), pause)
    }

    /// Persists the versions that a restart needs, if there is a store.
    fn persist(&self) {
        let Some(store) = &self.store else { return };
        let good = self.rollout.last_good();
        let running = self.rollout.running();
        let on_probation = running.number != good.number;
        let state = PersistedState {
            good: good.content.to_persisted(good.number),
            probation: on_probation.then(|| running.content.to_persisted(running.number)),
            rolled_back: self.rollout.rolled_back().cloned().collect(),
        };
        store.save_versions(state, self.files.clone());
    }

    /// Logs each new event with the reason for it, and removes the steps of versions that are no longer pending.
    fn log_events(&mut self, log: &Logger) {
        for event in self.rollout.take_events() {
            let entries = self.steps.get(&event.version).map_or(0, |step| step.len());
            info!(log, "configuration"; "what" => event.kind.as_str(), "version" => event.version,
                "hash" => &*event.hash, "base" => event.base, "entries" => entries, "why" => &event.reason);
        }
        let on_probation = self.rollout.phase() != Phase::Confirmed;
        let running = Some(self.rollout.running()).filter(|_| on_probation);
        let pending = [running, self.rollout.staged(), self.rollout.queued()];
        let pending = pending.map(|version| version.map(|version| version.number));
        self.steps.retain(|number, _| pending.contains(&Some(*number)));
    }
}

fn describe_loss(expected: Loss, observed: Loss) -> String {
    format!(
        "observed loss {:.3}, expected {:.3}, effective sample of {:.0} RPCs",
        observed.fraction, expected.fraction, observed.effective_samples
    )
}

fn missing_fleet_section() -> Result<Reply, Rejection> {
    Err(Rejection::new("the operator's file has no section [fleet]"))
}
