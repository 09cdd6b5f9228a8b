//! Global settings: the settings of a version that are neither methods nor tenants.

use crate::entry::Name;
use crate::error::ConfigError;
use crate::limits::{MAX_GAUGES, MAX_RESOURCE_LIMIT, MAX_SETTING_VALUE, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY};
use crate::validation::{check_at_most, check_duration};
use asterrill::{FeedbackMode, StopMode, Upstream, Us};

/// The upstream that this server calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamKind {
    /// No upstream.
    #[default]
    None,
    /// One dependency that all servers share. It requires a quota of calls and the window of that quota.
    Shared,
    /// A tier of servers that run the same decision module.
    Tier,
}

/// The settings that are neither methods nor tenants. Durations are in microseconds. Settings that the platform omits
/// have their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct GlobalSettings {
    /// `FamilyInfo.NCores`: 0 to [`MAX_SETTING_VALUE`] cores.
    pub cores: u64,
    /// `FamilyInfo.RamKb`: memory in kB.
    pub ram_kb: f64,
    /// `FamilyInfo.RunFactor`: memory of a running RPC as a multiple of the memory of a queued one.
    pub run_factor: f64,
    /// `FamilyInfo.KbPerKey`: memory of a stored idempotency key, in kB.
    pub kb_per_key: f64,
    /// `FamilyInfo.Below`: the kind of upstream.
    pub upstream: UpstreamKind,
    /// `FamilyInfo.CallShare`: this server's quota of upstream calls in flight, as a mean over the window. Required
    /// if the upstream is shared.
    pub upstream_call_quota: Option<f64>,
    /// `FamilyInfo.DepWindowMs`: the window of that mean. Required if the upstream is shared.
    pub upstream_call_window: Option<Us>,
    /// `FamilyInfo.LingerMs`: the longest time for which an abandoned call still occupies the upstream.
    pub abandoned_call_linger: Us,
    /// `FamilyInfo.Say`: how callers use the feedback published to them.
    pub feedback_mode: FeedbackMode,
    /// `FamilyInfo.StopMode`: what a stop does to running RPCs.
    pub stop_mode: StopMode,
    /// `FamilyInfo.FreshMs`: how long the response of a read may serve other requests; 0 disables such reuse.
    pub response_ttl: Us,
    /// `FamilyInfo.IdleMs`: the time after which callers close idle connections themselves; 0 for never.
    pub idle_timeout: Us,
    /// `FamilyInfo.Callers`: the number of callers at the start.
    pub callers: u64,
    /// `FamilyInfo.Cold`: whether the server has only just been started.
    pub cold_start: bool,
    /// `FamilyInfo.Gauges`: the names of the gauges, in order; at most [`MAX_GAUGES`].
    pub gauges: Vec<Name>,
    /// `Safety.TipMultiple`: the number of running RPCs per core that a warm server withstands.
    pub max_running_per_core: f64,
    /// `Safety.ColdFrom`: the fraction of its full speed at which a cold server starts. Required for a cold start.
    pub slow_start_from: Option<f64>,
    /// `Safety.RampTimeMs`: how long a cold server takes to reach its full speed.
    pub slow_start_duration: Us,
    /// `Safety.StopSendingWithinMs`: how long callers take to react to a change of health.
    pub health_propagation_delay: Us,
    /// `Limits.RetryAfter`: whether rejections may carry a time after which to retry.
    pub retry_after: bool,
    /// `Limits.MaxRetryAfterMs`: the longest such time.
    pub max_retry_after: Us,
    /// `StepMs`: the minimum time between two inputs of the decision module.
    pub min_event_interval: Us,
    /// `ReplicasOfMe`: the number of servers of this kind in the whole fleet.
    pub replicas: u64,
    /// `OverShareWorth`: the value of an RPC beyond its tenant's quota, as a fraction of its method's value.
    pub over_quota_weight: f64,
    /// `limits.memory_mb`: megabytes, 1 to 1,048,576; 0 if it was never set.
    pub memory_mb: u64,
    /// `limits.sockets`: file descriptors, 1 to 1,048,576; 0 if it was never set.
    pub sockets: u64,
}

/// Defaults of optional settings and zeros for required ones, as a starting point for readers and tests.
impl Default for GlobalSettings {
    fn default() -> GlobalSettings {
        GlobalSettings {
            cores: 0,
            ram_kb: 0.0,
            run_factor: 1.0,
            kb_per_key: 0.0,
            upstream: UpstreamKind::None,
            upstream_call_quota: None,
            upstream_call_window: None,
            abandoned_call_linger: 0,
            feedback_mode: FeedbackMode::Off,
            stop_mode: StopMode::Off,
            response_ttl: 0,
            idle_timeout: 0,
            callers: 1,
            cold_start: false,
            gauges: Vec::new(),
            max_running_per_core: 0.0,
            slow_start_from: None,
            slow_start_duration: 0,
            health_propagation_delay: 0,
            retry_after: false,
            max_retry_after: 0,
            min_event_interval: 0,
            replicas: 1,
            over_quota_weight: 1.0,
            memory_mb: 0,
            sockets: 0,
        }
    }
}

impl GlobalSettings {
    /// Returns the upstream and its limits, for the decision module.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if the upstream is shared and its quota or window is missing.
    pub fn upstream_limits(&self) -> Result<Upstream, ConfigError> {
        Ok(match self.upstream {
            UpstreamKind::None => Upstream::Absent,
            UpstreamKind::Tier => Upstream::Tier,
            UpstreamKind::Shared => Upstream::Shared {
                quota: self.upstream_call_quota.ok_or(ConfigError::InvalidField("CallShare"))?,
                window: self.upstream_call_window.ok_or(ConfigError::InvalidField("DepWindowMs"))?,
            },
        })
    }

    /// Returns the fraction of its full speed, 0 to 1, at which the server starts: 1 unless it starts cold.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if the server starts cold and the fraction is missing.
    pub fn initial_speed(&self, cold_start: bool) -> Result<f64, ConfigError> {
        if !cold_start {
            return Ok(1.0);
        }
        let fraction = self.slow_start_from.ok_or(ConfigError::InvalidField("ColdFrom"))?;
        Ok(fraction.min(1.0))
    }

    /// Checks all settings.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] that names the field that is out of bounds, or required and missing.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_numbers()?;
        self.check_durations()?;
        if self.gauges.len() > MAX_GAUGES {
            return Err(ConfigError::too_many_gauges());
        }
        self.upstream_limits()?;
        self.initial_speed(self.cold_start)?;
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), ConfigError> {
        let numbers = [
            ("NCores", self.cores as f64),
            ("RunFactor", self.run_factor),
            ("KbPerKey", self.kb_per_key),
            ("CallShare", self.upstream_call_quota.unwrap_or(0.0)),
            ("Callers", self.callers as f64),
            ("TipMultiple", self.max_running_per_core),
            ("ColdFrom", self.slow_start_from.unwrap_or(0.0)),
            ("ReplicasOfMe", self.replicas as f64),
            ("OverShareWorth", self.over_quota_weight),
        ];
        for (key, value) in numbers {
            check_at_most(key, value, MAX_SETTING_VALUE)?;
        }
        check_at_most("RamKb", self.ram_kb, f64::MAX)?;
        check_at_most(MEMORY_LIMIT_KEY, self.memory_mb as f64, MAX_RESOURCE_LIMIT)?;
        check_at_most(SOCKET_LIMIT_KEY, self.sockets as f64, MAX_RESOURCE_LIMIT)
    }

    fn check_durations(&self) -> Result<(), ConfigError> {
        let durations = [
            ("DepWindowMs", self.upstream_call_window.unwrap_or(0)),
            ("LingerMs", self.abandoned_call_linger),
            ("FreshMs", self.response_ttl),
            ("IdleMs", self.idle_timeout),
            ("RampTimeMs", self.slow_start_duration),
            ("StopSendingWithinMs", self.health_propagation_delay),
            ("MaxRetryAfterMs", self.max_retry_after),
            ("StepMs", self.min_event_interval),
        ];
        for (key, value) in durations {
            check_duration(key, value)?;
        }
        Ok(())
    }
}
