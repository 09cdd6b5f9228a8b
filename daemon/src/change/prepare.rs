//! Parsing and validation of a change against the running version, off the worker thread.

use super::content::VersionContent;
use super::reply::{DiffReply, Rejection};
use super::request::{ChangeRequest, ChangeSource};
use crate::operator;
use asterrill::Us;
use asterrill_entries::{read_step, Change, Configuration};
use asterrill_net::now;
use asterrill_operator_config::{BrokerConfig, OperatorConfig};
use asterrill_rollout::{check, difference, ObservedLoad, Problem, RolloutError, StageOptions, VersionHash};
use asterrill_settings::{GlobalParts, SettingsError};
use std::sync::Arc;

/// Rollout settings of the operator's file.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPolicy {
    /// Duration of a probation, in microseconds.
    pub probation: Us,
    /// Factor by which a value may differ from the running one before the change counts as risky.
    pub max_change_factor: f64,
}

/// State of the backend that a change is validated against.
pub struct ValidationContext {
    /// Number of the running version.
    pub version: u64,
    /// Content of the running version.
    pub running: VersionContent,
    /// Load of the last minute, and memory in use.
    pub observed: ObservedLoad,
}

/// Change that was parsed and validated against a version. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// Number of the version that it was validated against.
    pub validated_against: u64,
    /// Content of the new version.
    pub content: VersionContent,
    /// Hash of `content`.
    pub hash: VersionHash,
    /// Entries that differ from the version that it was validated against.
    pub entries: Arc<Vec<Change>>,
    /// Version that the change was made from, if the request named it.
    pub base: Option<u64>,
    /// Options of the request.
    pub options: StageOptions,
    /// Readable differences, one per line.
    pub differences: Vec<String>,
    /// Risks that the checks found.
    pub problems: Vec<String>,
}

impl PreparedChange {
    /// Returns the reply to a diff request.
    pub fn to_diff(&self) -> DiffReply {
        DiffReply {
            base: self.validated_against,
            hash: self.hash.to_string(),
            entries: self.entries.len(),
            changes: self.differences.clone(),
            problems: self.problems.clone(),
        }
    }
}

/// Parses a change and validates it against the running version.
///
/// The cost grows with the size of the change and the number of entries that differ. None of it is spent on the
/// worker.
///
/// # Errors
/// The change is invalid, or risky and not forced. Nothing has changed then.
pub fn prepare(
    context: &ValidationContext, request: ChangeRequest, policy: RolloutPolicy, seed: u64,
) -> Result<PreparedChange, Rejection> {
    let ChangeRequest { source, base, options } = request;
    check_base(context, base)?;
    let SourceContent { content, entries } = read_source(context, source)?;
    let entries = entries.unwrap_or_else(|| context.running.configuration.changes_to(&content.configuration));
    let problems = find_problems(context, &content, &entries, policy, options)?;
    check_applicable(&context.running, &content, &entries, seed)?;
    Ok(PreparedChange {
        validated_against: context.version,
        hash: content.hash(),
        differences: difference(&context.running.configuration, &entries),
        entries: Arc::new(entries),
        content,
        base,
        options,
        problems,
    })
}

fn check_base(context: &ValidationContext, base: Option<u64>) -> Result<(), RolloutError> {
    let running = context.version;
    match base.filter(|given| *given != running) {
        Some(given) => Err(RolloutError::BaseMismatch { given, running }),
        None => Ok(()),
    }
}

/// Content parsed from the source of a change.
struct SourceContent {
    content: VersionContent,
    /// Entries that differ from the running version, if they are known already.
    entries: Option<Vec<Change>>,
}

fn read_source(context: &ValidationContext, source: ChangeSource) -> Result<SourceContent, Rejection> {
    let running = &context.running;
    let content = match source {
        ChangeSource::Step(text) => return apply_step(context, text),
        ChangeSource::Configuration(configuration) => running.with_configuration(configuration),
        ChangeSource::Text(text) if text.trim_start().starts_with('{') => {
            let deployment =
                asterrill_settings::Deployment::from_reader(text.as_bytes(), Some(&running.configuration))?;
            running.with_configuration(deployment.configuration)
        }
        ChangeSource::Text(text) => running.with_operator_file(&text)?,
    };
    Ok(SourceContent { content, entries: None })
}

fn apply_step(context: &ValidationContext, text: String) -> Result<SourceContent, Rejection> {
    let running = &context.running.configuration;
    let step = read_step(&text, running).map_err(|error| Rejection::new(error.to_string()))?;
    check_base(context, step.base)?;
    let digest = running.digest();
    if let Some(given) = step.hash.filter(|given| *given != digest) {
        return Err(Rejection::new(format!(
            "the change was made from hash {given}, but hash {digest} is running"
        )));
    }
    drop(text);
    let applied = running.apply(&step.changes);
    let configuration = applied.map_err(|error| Rejection::new(error.to_string()))?;
    // Entries equal to the running ones are removed in place, because a second list would need as much memory again.
    let mut entries = step.changes;
    entries.retain(|entry| differs(entry, running));
    entries.shrink_to_fit();
    Ok(SourceContent { content: context.running.with_configuration(configuration), entries: Some(entries) })
}

/// Reports whether an entry differs from the running configuration.
fn differs(entry: &Change, running: &Configuration) -> bool {
    match entry {
        Change::SetGlobals(globals) => globals != running.globals(),
        Change::PutMethod(name, method) => running.method(name) != Some(method),
        Change::PutTenant(name, quota) => running.tenant(name) != Some(*quota),
        Change::RemoveMethod(_) | Change::RemoveTenant(_) => true,
    }
}

/// Returns the texts of the problems of an acceptable change.
///
/// # Errors
/// The change is invalid, has risks and is not forced, or needs more memory than is free.
fn find_problems(
    context: &ValidationContext, content: &VersionContent, entries: &[Change], policy: RolloutPolicy,
    options: StageOptions,
) -> Result<Vec<String>, Rejection> {
    let running = &context.running.configuration;
    let staged = &content.configuration;
    let free_kb = free_memory_kb();
    let added_kb = staged.globals().memory_mb.saturating_sub(running.globals().memory_mb) as f64 * 1024.0;
    if let Some(free) = free_kb.filter(|free| added_kb > *free) {
        let why = format!("memory_mb needs {added_kb:.0} kB more, but only {free:.0} kB are free");
        return Err(Rejection::new(why));
    }
    // Memory that the running version has reserved is available to the new one.
    let available_kb = free_kb.map_or(0.0, |free| free + running.globals().ram_kb);
    let observed = ObservedLoad { available_kb, ..context.observed.clone() };
    let problems = check(running, staged, entries, &observed, policy.max_change_factor);
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let is_blocking = |problem: &Problem| matches!(problem, Problem::Invalid(_)) || !options.force;
    if problems.iter().any(is_blocking) {
        let error = "the change did not pass the checks".into();
        return Err(Rejection { error, problems: Some(texts), crossed: false });
    }
    Ok(texts)
}

/// Checks that all sections of a version can be applied without a restart.
fn check_applicable(
    running: &VersionContent, content: &VersionContent, entries: &[Change], seed: u64,
) -> Result<(), SettingsError> {
    changed_global_parts(content, entries, seed)?;
    let (old, new) = (&running.operator_config, &content.operator_config);
    operator::consumer_configs(new.broker.as_ref(), &content.configuration)?;
    let without_queues = |config: &OperatorConfig| config.broker.clone().map(BrokerConfig::without_queues);
    if without_queues(new) != without_queues(old)
        || new.changes != old.changes
        || new.recovery != old.recovery
        || new.members != old.members
        || new.fleet != old.fleet
    {
        let why =
            "changes of [broker], [changes], [recovery], [members], [fleet] and [log] take effect only at the next start";
        return Err(SettingsError::new(why.into()));
    }
    Ok(())
}

/// Returns the global parts of the decision module if a change affects them.
///
/// Changes of methods affect them, because they depend on the shortest latency target and the longest deadline of all
/// methods.
///
/// # Errors
/// The configuration is invalid.
pub fn changed_global_parts(
    content: &VersionContent, entries: &[Change], seed: u64,
) -> Result<Option<GlobalParts>, SettingsError> {
    let is_tenant = |entry: &Change| matches!(entry, Change::PutTenant(..) | Change::RemoveTenant(_));
    if entries.iter().all(is_tenant) {
        return Ok(None);
    }
    asterrill_settings::global_parts(now(), seed, &content.configuration).map(Some)
}

/// Returns the available memory of the machine in kB, or `None` if the system does not report it.
fn free_memory_kb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse().ok()
}
