//! Reading a change and checking it against what runs, beside the worker.

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

/// The figures by which changes are judged, from the operator's file.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPolicy {
    /// Length of a probation, in microseconds.
    pub probation: Us,
    /// By how much a figure may differ from the running one without being risky.
    pub max_change_factor: f64,
}

/// What a change is read and checked against.
pub struct ValidationContext {
    /// The number of the running version.
    pub version: u64,
    /// What that version says.
    pub running: VersionContent,
    /// The load of the last minute, and memory in use.
    pub observed: ObservedLoad,
}

/// A change that was read and checked against a version. Cheap to clone.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// The number of that version.
    pub validated_against: u64,
    /// What the new version says.
    pub content: VersionContent,
    /// The hash of `content`.
    pub hash: VersionHash,
    /// What leads there from that version.
    pub entries: Arc<Vec<Change>>,
    /// The version that it was made from, where that was given.
    pub base: Option<u64>,
    /// What else was asked for.
    pub options: StageOptions,
    /// What it means, a line each.
    pub differences: Vec<String>,
    /// What is risky about it.
    pub problems: Vec<String>,
}

impl PreparedChange {
    /// What it would mean.
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

/// Reads a change and checks it against what runs. Costs what the change takes to read, and what differs; nothing of it
/// is done on the worker.
///
/// # Errors
/// What is wrong with the change; nothing has changed then.
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

/// A change as it was read.
struct SourceContent {
    content: VersionContent,
    /// The entries that differ, where they were computed already.
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
    let step = read_step(&text, running).map_err(|fault| Rejection::new(fault.to_string()))?;
    check_base(context, step.base)?;
    let digest = running.digest();
    if let Some(given) = step.hash.filter(|given| *given != digest) {
        return Err(Rejection::new(format!("it was made from hash {given}, but {digest} runs")));
    }
    drop(text);
    let applied = running.apply(&step.changes);
    let configuration = applied.map_err(|fault| Rejection::new(fault.to_string()))?;
    // The step as it was read, without what runs already: a list of its own for that would cost as much memory again.
    let mut entries = step.changes;
    entries.retain(|entry| differs(entry, running));
    entries.shrink_to_fit();
    Ok(SourceContent { content: context.running.with_configuration(configuration), entries: Some(entries) })
}

/// Whether an entry says something else than what runs.
fn differs(entry: &Change, running: &Configuration) -> bool {
    match entry {
        Change::SetGlobals(globals) => globals != running.globals(),
        Change::PutMethod(name, method) => running.method(name) != Some(method),
        Change::PutTenant(name, quota) => running.tenant(name) != Some(*quota),
        Change::RemoveMethod(_) | Change::RemoveTenant(_) => true,
    }
}

/// The problems of a change that may be taken up, in words.
fn find_problems(
    context: &ValidationContext, content: &VersionContent, entries: &[Change], policy: RolloutPolicy,
    options: StageOptions,
) -> Result<Vec<String>, Rejection> {
    let running = &context.running.configuration;
    let staged = &content.configuration;
    let free_kb = free_memory_kb();
    let added_kb = staged.globals().memory_mb.saturating_sub(running.globals().memory_mb) as f64 * 1024.0;
    if free_kb.is_some_and(|free| added_kb > free) {
        let why = format!("it wants {added_kb:.0} kB more for itself than there are free");
        return Err(Rejection::new(why));
    }
    // What is booked now is a part of what there is.
    let available_kb = free_kb.map_or(0.0, |free| free + running.globals().ram_kb);
    let observed = ObservedLoad { available_kb, ..context.observed.clone() };
    let problems = check(running, staged, entries, &observed, policy.max_change_factor);
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let stops = |problem: &Problem| matches!(problem, Problem::Invalid(_)) || !options.force;
    if problems.iter().any(stops) {
        let error = "it does not pass the checks".into();
        return Err(Rejection { error, problems: Some(texts), crossed: false });
    }
    Ok(texts)
}

/// Whether all that a version says could come into force.
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
            "[broker], [changes], [recovery], [members], [fleet] and [log] are taken up at the next start only";
        return Err(SettingsError::new(why.into()));
    }
    Ok(())
}

/// The parts of the decision module that are no entries, if a change touches them: methods do, by the shortest and
/// longest of their times.
pub fn changed_global_parts(
    content: &VersionContent, entries: &[Change], seed: u64,
) -> Result<Option<GlobalParts>, SettingsError> {
    let is_tenant = |entry: &Change| matches!(entry, Change::PutTenant(..) | Change::RemoveTenant(_));
    if entries.iter().all(is_tenant) {
        return Ok(None);
    }
    asterrill_settings::global_parts(now(), seed, &content.configuration).map(Some)
}

/// Memory of the machine that is free, in kB; `None` where the system does not say.
fn free_memory_kb() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse().ok()
}
