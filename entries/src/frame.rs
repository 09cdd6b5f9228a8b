//! The few scalars of a version.

use crate::fault::ConfigError;
use crate::{
    Name, MAX_DURATION, MAX_FIGURE, MAX_GAUGES, MAX_MACHINE_LIMIT, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY,
};
use asterrill::{FeedbackMode, StopMode, Upstream, Us};

/// What lies below the server, as told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamKind {
    #[default]
    None,
    /// One dependency of all servers; `call_share` and `call_window` are told.
    Shared,
    /// A tier of servers that run the same decisions.
    Tier,
}

/// What a version says besides its methods and tenants. Times in microseconds; what the platform leaves out
/// stands as its default.
#[derive(Clone, Debug, PartialEq)]
pub struct GlobalSettings {
    /// `FamilyInfo.NCores`: whole, up to a thousand million.
    pub cores: u64,
    /// `FamilyInfo.RamKb`.
    pub ram_kb: f64,
    /// `FamilyInfo.RunFactor`: memory of a running RPC over that of a held one.
    pub run_factor: f64,
    /// `FamilyInfo.KbPerKey`.
    pub kb_per_key: f64,
    /// `FamilyInfo.Below`.
    pub upstream: UpstreamKind,
    /// `FamilyInfo.CallShare`: calls below in hand, a mean over the window; needed where the tier is shared.
    pub upstream_call_quota: Option<f64>,
    /// `FamilyInfo.DepWindowMs`; needed where the tier is shared.
    pub upstream_call_window: Option<Us>,
    /// `FamilyInfo.LingerMs`: how long an abandoned call may stay below.
    pub abandoned_call_linger: Us,
    /// `FamilyInfo.Say`: what callers make of the number published to them.
    pub load_report: FeedbackMode,
    /// `FamilyInfo.StopMode`.
    pub stop_mode: StopMode,
    /// `FamilyInfo.FreshMs`: how long a read's answer may serve others, 0 for never.
    pub response_ttl: Us,
    /// `FamilyInfo.IdleMs`: after which callers close idle connections by themselves, 0 for never.
    pub idle_timeout: Us,
    /// `FamilyInfo.Callers` known at the start.
    pub callers: u64,
    /// `FamilyInfo.Cold`: the server has only just been started.
    pub cold_start: bool,
    /// `FamilyInfo.Gauges`, in their order.
    pub gauges: Vec<Name>,
    /// `Safety.TipMultiple`: running RPCs a core that a warm server survives.
    pub max_running_per_core: f64,
    /// `Safety.ColdFrom`: the share of its speed that a cold server opens at; needed where it is cold.
    pub slow_start_from: Option<f64>,
    /// `Safety.RampTimeMs`: until a cold server is warm.
    pub slow_start_duration: Us,
    /// `Safety.StopSendingWithinMs`: until callers heed a change of health.
    pub health_propagation_delay: Us,
    /// `Limits.RetryAfter`: callers may be told when to come back.
    pub retry_after: bool,
    /// `Limits.MaxRetryAfterMs`.
    pub max_retry_after: Us,
    /// `StepMs`: the least time between two inputs of the module.
    pub min_event_interval: Us,
    /// `ReplicasOfMe`: servers of this kind in the whole fleet.
    pub replicas: u64,
    /// `OverShareWorth`: of an RPC that exceeds its tenant's share.
    pub over_quota_weight: f64,
    /// `limits.memory_mb`, 1 to 1,048,576; 0 where nobody told.
    pub memory_mb: u64,
    /// `limits.sockets`, 1 to 1,048,576; 0 where nobody told.
    pub sockets: u64,
}

/// What stands where nothing is told: no cores and no memory, which only a test or a reader starts from.
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
            load_report: FeedbackMode::Off,
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

/// Within 0 and `most`, ends included.
pub(crate) fn within(key: &'static str, value: f64, most: f64) -> Result<(), ConfigError> {
    if (0.0..=most).contains(&value) {
        Ok(())
    } else {
        Err(ConfigError::OutOfBounds { key, value })
    }
}

pub(crate) fn time_within(key: &'static str, value: Us) -> Result<(), ConfigError> {
    // A time is told in milliseconds.
    if value <= MAX_DURATION {
        Ok(())
    } else {
        Err(ConfigError::OutOfBounds { key, value: value as f64 / 1e3 })
    }
}

impl GlobalSettings {
    /// What lies below, for the module.
    ///
    /// # Errors
    /// [`ConfigError::Field`] where the tier is shared and its share or window was not told.
    pub fn upstream_limits(&self) -> Result<Upstream, ConfigError> {
        Ok(match self.upstream {
            UpstreamKind::None => Upstream::Absent,
            UpstreamKind::Tier => Upstream::Tier,
            UpstreamKind::Shared => Upstream::Shared {
                share: self.upstream_call_quota.ok_or(ConfigError::InvalidField("CallShare"))?,
                window: self.upstream_call_window.ok_or(ConfigError::InvalidField("DepWindowMs"))?,
            },
        })
    }

    /// The share of its speed that a cold server opens at; 1 for one that starts warm.
    ///
    /// # Errors
    /// [`ConfigError::Field`] where it is cold and that was not told.
    pub fn initial_speed(&self, cold: bool) -> Result<f64, ConfigError> {
        if !cold {
            return Ok(1.0);
        }
        Ok(self.slow_start_from.ok_or(ConfigError::InvalidField("ColdFrom"))?.min(1.0))
    }

    /// What a version's frame must hold.
    ///
    /// # Errors
    /// [`ConfigError`] names the field that is out of bounds, or needed and not told.
    pub fn check(&self) -> Result<(), ConfigError> {
        let rates = [
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
        rates.into_iter().try_for_each(|(key, value)| within(key, value, MAX_FIGURE))?;
        within("RamKb", self.ram_kb, f64::MAX)?;
        let machine = [(MEMORY_LIMIT_KEY, self.memory_mb), (SOCKET_LIMIT_KEY, self.sockets)];
        machine.into_iter().try_for_each(|(key, value)| within(key, value as f64, MAX_MACHINE_LIMIT))?;
        let times = [
            ("DepWindowMs", self.upstream_call_window.unwrap_or(0)),
            ("LingerMs", self.abandoned_call_linger),
            ("FreshMs", self.response_ttl),
            ("IdleMs", self.idle_timeout),
            ("RampTimeMs", self.slow_start_duration),
            ("StopSendingWithinMs", self.health_propagation_delay),
            ("MaxRetryAfterMs", self.max_retry_after),
            ("StepMs", self.min_event_interval),
        ];
        times.into_iter().try_for_each(|(key, value)| time_within(key, value))?;
        if self.gauges.len() > MAX_GAUGES {
            return Err(ConfigError::TooManyEntries { list: "Gauges", bound: "GAUGES", most: MAX_GAUGES });
        }
        self.upstream_limits()?;
        self.initial_speed(self.cold_start).map(drop)
    }
}
