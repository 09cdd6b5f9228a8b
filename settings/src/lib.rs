//! The operators' settings, read out of the platform's JSON and made into the parts of the decision module. No decision is
//! taken here.

mod deployment;
mod error;
pub mod json;
mod lists;

pub use deployment::{read, read_from, Deployment, MAX_FILE_BYTES};
pub use error::SettingsError;

use asterrill::{
    CallerAccounts, CallerFeedback, ConcurrencyLimit, Control, Drain, FeedbackMode, Idempotency,
    IdempotencyKeys, MemoryBudget, TenantQuotas, UpstreamCalls, Us,
};
use asterrill_entries::fields::Any;
use asterrill_entries::{Configuration, GlobalSettings, Method, Name};
use lists::{Lists, Told};
use serde::de::DeserializeSeed;
use serde_json::Value;

/// The module of one server, with the names for what it numbers and what its surroundings need to know.
pub struct ServerParts {
    pub control: Control,
    /// By `MethodId`.
    pub methods: Vec<Name>,
    /// By place.
    pub tenants: Vec<Name>,
    /// Of each method, in order.
    pub effects: Vec<Idempotency>,
    /// Of each method, in order, in microseconds.
    pub latency_targets: Vec<Us>,
    /// The longest deadline of any method.
    pub longest_deadline: Us,
    pub cores: f64,
    /// The number published is what each caller may have outstanding.
    pub publishes_credit: bool,
    /// The names of the gauges, in their order.
    pub gauges: Vec<String>,
    /// Of each method, in order: an idempotent RPC may share the answer of another.
    pub coalescable: Vec<bool>,
    /// How long a read's answer may serve others, 0 for never.
    pub response_ttl: Us,
    /// The least time between two inputs of the module.
    pub min_event_interval: Us,
}

/// The parts of a server that its frame makes, without methods and tenants: what a change of the frame puts in place.
pub struct GlobalParts {
    pub control: Control,
    /// The longest deadline of any method.
    pub longest_deadline: Us,
    pub cores: f64,
    pub publishes_credit: bool,
    pub gauges: Vec<String>,
    pub response_ttl: Us,
    pub min_event_interval: Us,
}

/// A server of a whole version, methods and tenants in the order of their names. `cold` is whether it has only just been
/// started; left out, the settings tell.
///
/// # Errors
/// It is to be cold and the version does not tell how, or has no method.
pub fn server_parts(
    now: Us, seed: u64, content: &Configuration, cold: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let methods = content.methods().map(|(name, method)| (name.clone(), method.clone())).collect();
    let tenants = content.tenants().map(|(name, rate)| (name.clone(), rate)).collect();
    make(now, seed, content.globals(), methods, tenants, cold)
}

/// The same of the platform's settings, methods and tenants in the order of their lists.
///
/// # Errors
/// The message names the key at fault.
pub fn server_parts_from_json(
    now: Us, seed: u64, params: &Value, cold: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let Told { frame, methods, tenants } = told(params)?;
    // Two of one name are found where they are put in order.
    Configuration::from_entries(None, frame.clone(), methods.clone(), tenants.clone())?;
    make(now, seed, &frame, methods, tenants, cold)
}

/// The version that the platform's settings make, with what the deployment grants.
///
/// # Errors
/// The message names the key at fault.
pub fn configuration_from_json(
    params: &Value, memory_mb: u64, sockets: u64,
) -> Result<Configuration, SettingsError> {
    let Told { frame, methods, tenants } = told(params)?;
    Ok(Configuration::from_entries(None, GlobalSettings { memory_mb, sockets, ..frame }, methods, tenants)?)
}

fn told(params: &Value) -> Result<Told, SettingsError> {
    let mut lists = Lists::new(None);
    Any(&mut lists).deserialize(params)?;
    lists.told()
}

/// What the frame of a version makes, for a change of it; the module's shortest target and longest deadline are those of
/// the version's methods.
///
/// # Errors
/// The frame is cold and does not tell how.
pub fn global_parts(now: Us, seed: u64, content: &Configuration) -> Result<GlobalParts, SettingsError> {
    let (frame, methods) = (content.globals(), || content.methods().map(|(_, method)| method));
    let shortest = methods().map(|m| m.latency_target).min().unwrap_or(1);
    let longest = methods().map(|m| m.deadline).max().unwrap_or(0);
    Ok(GlobalParts {
        control: control(now, seed, frame, shortest, Vec::new(), &[], None)?,
        longest_deadline: longest,
        cores: frame.cores as f64,
        publishes_credit: frame.load_report == FeedbackMode::Credit,
        gauges: gauges(frame),
        response_ttl: frame.response_ttl,
        min_event_interval: frame.min_event_interval,
    })
}

fn gauges(frame: &GlobalSettings) -> Vec<String> {
    frame.gauges.iter().map(|name| name.to_string()).collect()
}

/// Each part of the module gets its own few figures.
fn control(
    now: Us, seed: u64, frame: &GlobalSettings, shortest: Us, methods: Vec<Method>, rates: &[f64],
    cold: Option<bool>,
) -> Result<Control, SettingsError> {
    let cores = frame.cores as usize;
    let cold = frame.initial_speed(cold.unwrap_or(frame.cold_start))?;
    let relayed = if frame.retry_after { frame.max_retry_after } else { 0 };
    Ok(Control::new(
        now,
        seed,
        frame.min_event_interval,
        frame.stop_mode,
        methods,
        CallerAccounts::new(shortest, frame.callers as usize),
        ConcurrencyLimit::new(now, cores, frame.max_running_per_core, cold, frame.slow_start_duration),
        UpstreamCalls::new(frame.upstream_limits()?, cores, frame.abandoned_call_linger, shortest),
        IdempotencyKeys::new(frame.kb_per_key, frame.response_ttl),
        MemoryBudget::new(frame.ram_kb, frame.run_factor),
        Drain::new(frame.health_propagation_delay),
        CallerFeedback::new(frame.load_report, relayed, shortest, frame.idle_timeout),
        TenantQuotas::new(rates, frame.replicas as usize, frame.over_quota_weight),
    ))
}

fn make(
    now: Us, seed: u64, frame: &GlobalSettings, methods: Vec<(Name, Method)>, tenants: Vec<(Name, f64)>,
    cold: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let (names, methods): (Vec<Name>, Vec<Method>) = methods.into_iter().unzip();
    let (tenants, rates): (Vec<Name>, Vec<f64>) = tenants.into_iter().unzip();
    let shortest = methods
        .iter()
        .map(|m| m.latency_target)
        .min()
        .ok_or_else(|| SettingsError::invalid_field("Categories"))?;
    let effects: Vec<Idempotency> = methods.iter().map(|m| m.idempotency).collect();
    let targets = methods.iter().map(|m| m.latency_target).collect();
    let longest = methods.iter().map(|m| m.deadline).max().unwrap_or(0);
    let shares = effects.iter().map(|effect| *effect == Idempotency::Idempotent).collect();
    Ok(ServerParts {
        control: control(now, seed, frame, shortest, methods, &rates, cold)?,
        methods: names,
        tenants,
        effects,
        latency_targets: targets,
        longest_deadline: longest,
        cores: frame.cores as f64,
        publishes_credit: frame.load_report == FeedbackMode::Credit,
        gauges: gauges(frame),
        coalescable: shares,
        response_ttl: frame.response_ttl,
        min_event_interval: frame.min_event_interval,
    })
}
