//! Construction of the decision module and its parts from a configuration.

use crate::error::SettingsError;
use crate::platform_settings::PlatformSettings;
use asterrill::{
    CallerAccounts, CallerFeedback, ConcurrencyLimit, Control, ControlParts, Drain, FeedbackMode,
    Idempotency, IdempotencyKeys, MemoryBudget, TenantQuotas, UpstreamCalls, Us,
};
use asterrill_entries::{Configuration, EntryKind, GlobalSettings, Method, Name};
use serde_json::Value;

/// The decision module of one server, with the names of its methods and tenants and the settings that its host needs.
pub struct ServerParts {
    /// The decision module.
    pub control: Control,
    /// The names of the methods, by `MethodId`.
    pub methods: Vec<Name>,
    /// The names of the tenants, by the index that the decision module uses.
    pub tenants: Vec<Name>,
    /// The idempotency of the methods, by `MethodId`.
    pub idempotency: Vec<Idempotency>,
    /// The latency targets in microseconds, by `MethodId`.
    pub latency_targets: Vec<Us>,
    /// The longest deadline of any method, in microseconds.
    pub longest_deadline: Us,
    /// The number of cores of the server.
    pub cores: f64,
    /// Whether the published feedback is a credit: the number of RPCs that each caller may have outstanding.
    pub publishes_credit: bool,
    /// The names of the gauges, in list order.
    pub gauges: Vec<String>,
    /// Whether an RPC may be answered with the response of another one, by `MethodId`.
    pub coalescable: Vec<bool>,
    /// The time for which the response of a read may be reused for other RPCs, in microseconds; 0 disables reuse.
    pub response_ttl: Us,
    /// The minimum interval between two inputs of the decision module, in microseconds.
    pub min_event_interval: Us,
}

/// The parts of a server that depend on its global settings, without methods and tenants. A change of the global settings
/// replaces them.
pub struct GlobalParts {
    /// The decision module, without methods and tenants.
    pub control: Control,
    /// The longest deadline of any method, in microseconds.
    pub longest_deadline: Us,
    /// The number of cores of the server.
    pub cores: f64,
    /// Whether the published feedback is a credit, as in [`ServerParts::publishes_credit`].
    pub publishes_credit: bool,
    /// The names of the gauges, in list order.
    pub gauges: Vec<String>,
    /// The time for which the response of a read may be reused, as in [`ServerParts::response_ttl`].
    pub response_ttl: Us,
    /// The minimum interval between two inputs of the decision module, in microseconds.
    pub min_event_interval: Us,
}

/// Builds the server of a version, with methods and tenants ordered by name. `cold_start` overrides the setting.
///
/// # Errors
/// Returns a [`SettingsError`] if the server is to start cold and the version has no settings for it, or if there is no method.
pub fn server_parts(
    now: Us, seed: u64, configuration: &Configuration, cold_start: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let methods = configuration.methods().map(|(name, method)| (name.clone(), method.clone())).collect();
    let tenants = configuration.tenants().map(|(name, quota)| (name.clone(), quota)).collect();
    build_server(now, seed, configuration.globals(), methods, tenants, cold_start)
}

/// Builds the server of the platform's settings, with methods and tenants in list order. `cold_start` overrides the setting.
///
/// # Errors
/// Returns a [`SettingsError`] that names the invalid key.
pub fn server_parts_from_json(
    now: Us, seed: u64, settings: &Value, cold_start: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let PlatformSettings { globals, methods, tenants } = PlatformSettings::from_value(settings)?;
    // The server is built from the lists in their own order. The configuration is discarded; building it checks the entries and
    // rejects duplicate names.
    Configuration::from_entries(None, globals.clone(), methods.clone(), tenants.clone())?;
    build_server(now, seed, &globals, methods, tenants, cold_start)
}

/// Builds the configuration of the platform's settings, with the limits that the deployment grants.
///
/// # Errors
/// Returns a [`SettingsError`] that names the invalid key.
pub fn configuration_from_json(
    settings: &Value, memory_mb: u64, sockets: u64,
) -> Result<Configuration, SettingsError> {
    let PlatformSettings { globals, methods, tenants } = PlatformSettings::from_value(settings)?;
    let globals = GlobalSettings { memory_mb, sockets, ..globals };
    Ok(Configuration::from_entries(None, globals, methods, tenants)?)
}

/// Builds the parts that depend on the global settings of a version. The shortest latency target and the longest deadline are
/// taken from its methods.
///
/// # Errors
/// Returns a [`SettingsError`] if the server is to start cold and the version has no settings for it.
pub fn global_parts(now: Us, seed: u64, configuration: &Configuration) -> Result<GlobalParts, SettingsError> {
    let globals = configuration.globals();
    let targets = configuration.methods().map(|(_, method)| method.latency_target);
    let deadlines = configuration.methods().map(|(_, method)| method.deadline);
    let shortest_target = targets.min().unwrap_or(1);
    Ok(GlobalParts {
        control: build_control(now, seed, globals, shortest_target, Vec::new(), &[], None)?,
        longest_deadline: deadlines.max().unwrap_or(0),
        cores: globals.cores as f64,
        publishes_credit: globals.feedback_mode == FeedbackMode::Credit,
        gauges: gauge_names(globals),
        response_ttl: globals.response_ttl,
        min_event_interval: globals.min_event_interval,
    })
}

fn gauge_names(globals: &GlobalSettings) -> Vec<String> {
    globals.gauges.iter().map(|name| name.to_string()).collect()
}

/// Builds the decision module. Each of its parts gets only the settings that it needs.
fn build_control(
    now: Us, seed: u64, globals: &GlobalSettings, shortest_target: Us, methods: Vec<Method>, quotas: &[f64],
    cold_start: Option<bool>,
) -> Result<Control, SettingsError> {
    let cores = globals.cores as usize;
    let initial_speed = globals.initial_speed(cold_start.unwrap_or(globals.cold_start))?;
    let max_retry_after = if globals.retry_after { globals.max_retry_after } else { 0 };
    Ok(Control::new(
        now,
        seed,
        ControlParts {
            step: globals.min_event_interval,
            stop_mode: globals.stop_mode,
            methods,
            accounts: CallerAccounts::new(shortest_target, globals.callers as usize),
            concurrency: ConcurrencyLimit::new(
                now,
                cores,
                globals.max_running_per_core,
                initial_speed,
                globals.slow_start_duration,
            ),
            calls: UpstreamCalls::new(
                globals.upstream_limits()?,
                cores,
                globals.abandoned_call_linger,
                shortest_target,
            ),
            keys: IdempotencyKeys::new(globals.kb_per_key, globals.response_ttl),
            memory: MemoryBudget::new(globals.ram_kb, globals.run_factor),
            drain: Drain::new(globals.health_propagation_delay),
            feedback: CallerFeedback::new(
                globals.feedback_mode,
                max_retry_after,
                shortest_target,
                globals.idle_timeout,
            ),
            quotas: TenantQuotas::new(quotas, globals.replicas as usize, globals.over_quota_weight),
        },
    ))
}

fn build_server(
    now: Us, seed: u64, globals: &GlobalSettings, methods: Vec<(Name, Method)>, tenants: Vec<(Name, f64)>,
    cold_start: Option<bool>,
) -> Result<ServerParts, SettingsError> {
    let (method_names, methods): (Vec<Name>, Vec<Method>) = methods.into_iter().unzip();
    let (tenant_names, quotas): (Vec<Name>, Vec<f64>) = tenants.into_iter().unzip();
    let shortest_target = methods.iter().map(|method| method.latency_target).min();
    let shortest_target =
        shortest_target.ok_or_else(|| SettingsError::invalid_field(EntryKind::Method.list_key()))?;
    let idempotency: Vec<Idempotency> = methods.iter().map(|method| method.idempotency).collect();
    let latency_targets = methods.iter().map(|method| method.latency_target).collect();
    let longest_deadline = methods.iter().map(|method| method.deadline).max().unwrap_or(0);
    let coalescable = idempotency.iter().map(|idempotency| *idempotency == Idempotency::Idempotent).collect();
    Ok(ServerParts {
        control: build_control(now, seed, globals, shortest_target, methods, &quotas, cold_start)?,
        methods: method_names,
        tenants: tenant_names,
        idempotency,
        latency_targets,
        longest_deadline,
        cores: globals.cores as f64,
        publishes_credit: globals.feedback_mode == FeedbackMode::Credit,
        gauges: gauge_names(globals),
        coalescable,
        response_ttl: globals.response_ttl,
        min_event_interval: globals.min_event_interval,
    })
}
