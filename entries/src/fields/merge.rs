//! Conversion of fields to global settings. Given fields replace those of a base; without a base, all fields are read.

use crate::error::ConfigError;
use crate::fields::global::GlobalFields;
use crate::fields::object::ObjectFields;
use crate::fields::value::Strictness;
use crate::globals::{GlobalSettings, UpstreamKind};
use crate::keywords::{FEEDBACK_MODES, STOP_MODES, UPSTREAM_KINDS};
use crate::limits::{MAX_RESOURCE_LIMIT, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY};
use crate::time::micros_from_millis;
use asterrill::{FeedbackMode, StopMode, Us};

impl GlobalFields {
    /// Returns the global settings. Settings that are not given are those of `base`, or the defaults if there is no
    /// base.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] that names the field that is required and absent, of the wrong type or out of bounds.
    pub fn settings(&self, base: Option<&GlobalSettings>) -> Result<GlobalSettings, ConfigError> {
        if base.is_none() {
            self.check_required_objects()?;
        }
        let merge = Merge { fields: self, complete: base.is_none() };
        let mut settings = base.cloned().unwrap_or_default();
        // The settings that decide whether others are used come first.
        merge.switches(&mut settings)?;
        merge.resources(&mut settings)?;
        merge.family_info(&mut settings)?;
        merge.safety(&mut settings)?;
        merge.limits(&mut settings)?;
        merge.top_level(&mut settings)?;
        settings.check()?;
        Ok(settings)
    }

    fn check_required_objects(&self) -> Result<(), ConfigError> {
        let required = [
            ("FamilyInfo", self.present.family_info),
            ("Safety", self.present.safety),
            ("Limits", self.present.limits),
        ];
        match required.into_iter().find(|(_, present)| !present) {
            Some((key, _)) => Err(ConfigError::InvalidField(key)),
            None => Ok(()),
        }
    }
}

/// A merge of fields into settings.
struct Merge<'f> {
    fields: &'f GlobalFields,
    /// Whether there is no base, so that all fields are read, absent ones included.
    complete: bool,
}

impl Merge<'_> {
    /// Sets a setting to the result of `read`, if its field was given or there is no base.
    fn update<T>(
        &self, setting: &mut T, object: &ObjectFields, key: &'static str,
        read: impl FnOnce(&ObjectFields, &'static str) -> Result<T, ConfigError>,
    ) -> Result<(), ConfigError> {
        if self.complete || object.contains(key) {
            *setting = read(object, key)?;
        }
        Ok(())
    }

    /// Returns the value of a field. In lenient reading, an error in a field that is not used counts as an absent
    /// field.
    fn ignore_unused(
        &self, value: Result<Option<f64>, ConfigError>, used: bool,
    ) -> Result<Option<f64>, ConfigError> {
        if value.is_err() && !used && self.fields.strictness == Strictness::Lenient {
            return Ok(None);
        }
        value
    }

    /// Updates the settings that decide whether others are used.
    fn switches(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let (family_info, limits) = (&self.fields.family_info.scalars, &self.fields.limits);
        self.update(&mut settings.upstream, family_info, "Below", |object, key| {
            Ok(object.optional_keyword(key, UPSTREAM_KINDS)?.unwrap_or_default())
        })?;
        self.update(&mut settings.cold_start, family_info, "Cold", ObjectFields::boolean)?;
        self.update(&mut settings.retry_after, limits, "RetryAfter", ObjectFields::boolean)
    }

    fn resources(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        self.update(&mut settings.cores, &self.fields.family_info.scalars, "NCores", |object, key| {
            let cores = object.bounded_number(key)?;
            if cores.fract() != 0.0 {
                return Err(ConfigError::InvalidField(key));
            }
            Ok(cores as u64)
        })?;
        let memory_mb = self.resource_limit("memory_mb", MEMORY_LIMIT_KEY, settings.memory_mb)?;
        let sockets = self.resource_limit("sockets", SOCKET_LIMIT_KEY, settings.sockets)?;
        if sockets.fract() != 0.0 {
            return Err(ConfigError::InvalidField(SOCKET_LIMIT_KEY));
        }
        settings.memory_mb = memory_mb as u64;
        settings.sockets = sockets as u64;
        Ok(())
    }

    /// Returns a resource limit of the deployment, or `before` if it is not given. `key` is its name in messages.
    fn resource_limit(
        &self, field: &'static str, key: &'static str, before: u64,
    ) -> Result<f64, ConfigError> {
        let fields = &self.fields.resource_limits;
        match fields.optional_number(field) {
            Err(_) => Err(ConfigError::InvalidField(key)),
            Ok(Some(value)) if (1.0..=MAX_RESOURCE_LIMIT).contains(&value) => Ok(value),
            Ok(Some(value)) => Err(ConfigError::OutOfBounds { key, value }),
            // A limit that has been set cannot be unset.
            Ok(None) if before > 0 && fields.contains(field) => Err(ConfigError::InvalidField(key)),
            Ok(None) => Ok(before as f64),
        }
    }

    fn family_info(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let fields = &self.fields.family_info.scalars;
        self.update(&mut settings.ram_kb, fields, "RamKb", ObjectFields::number)?;
        self.update(&mut settings.run_factor, fields, "RunFactor", number_or_one)?;
        self.update(&mut settings.kb_per_key, fields, "KbPerKey", number_or_zero)?;
        self.upstream(settings)?;
        self.update(&mut settings.feedback_mode, fields, "Say", |object, key| {
            Ok(object.optional_keyword(key, FEEDBACK_MODES)?.unwrap_or(FeedbackMode::Off))
        })?;
        self.update(&mut settings.stop_mode, fields, "StopMode", |object, key| {
            Ok(object.optional_keyword(key, STOP_MODES)?.unwrap_or(StopMode::Off))
        })?;
        self.update(&mut settings.response_ttl, fields, "FreshMs", duration_or_zero)?;
        self.update(&mut settings.idle_timeout, fields, "IdleMs", duration_or_zero)?;
        self.update(&mut settings.callers, fields, "Callers", count_or_one)?;
        if let Some(gauges) = &self.fields.family_info.gauges {
            settings.gauges = gauges.clone();
        }
        Ok(())
    }

    fn upstream(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let fields = &self.fields.family_info.scalars;
        let shared = settings.upstream == UpstreamKind::Shared;
        self.update(&mut settings.upstream_call_quota, fields, "CallShare", |object, key| {
            self.ignore_unused(object.optional_bounded_number(key), shared)
        })?;
        self.update(&mut settings.upstream_call_window, fields, "DepWindowMs", |object, key| {
            let window = self.ignore_unused(object.optional_number(key), shared)?;
            Ok(window.map(micros_from_millis))
        })?;
        self.update(&mut settings.abandoned_call_linger, fields, "LingerMs", duration_or_zero)
    }

    fn safety(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let fields = &self.fields.safety;
        let cold_start = settings.cold_start;
        self.update(&mut settings.max_running_per_core, fields, "TipMultiple", ObjectFields::bounded_number)?;
        self.update(&mut settings.slow_start_from, fields, "ColdFrom", |object, key| {
            self.ignore_unused(object.optional_bounded_number(key), cold_start)
        })?;
        self.update(&mut settings.slow_start_duration, fields, "RampTimeMs", ObjectFields::duration)?;
        let delay = &mut settings.health_propagation_delay;
        self.update(delay, fields, "StopSendingWithinMs", ObjectFields::duration)
    }

    fn limits(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let retry_after = settings.retry_after;
        self.update(&mut settings.max_retry_after, &self.fields.limits, "MaxRetryAfterMs", |object, key| {
            let max_retry_after = self.ignore_unused(object.optional_number(key), retry_after)?;
            Ok(max_retry_after.map_or(0, micros_from_millis))
        })
    }

    fn top_level(&self, settings: &mut GlobalSettings) -> Result<(), ConfigError> {
        let fields = &self.fields.top_level;
        self.update(&mut settings.min_event_interval, fields, "StepMs", duration_or_zero)?;
        self.update(&mut settings.replicas, fields, "ReplicasOfMe", count_or_one)?;
        self.update(&mut settings.over_quota_weight, fields, "OverShareWorth", number_or_one)
    }
}

fn number_or_one(object: &ObjectFields, key: &'static str) -> Result<f64, ConfigError> {
    Ok(object.optional_bounded_number(key)?.unwrap_or(1.0))
}

fn number_or_zero(object: &ObjectFields, key: &'static str) -> Result<f64, ConfigError> {
    Ok(object.optional_bounded_number(key)?.unwrap_or(0.0))
}

/// Returns the integer part of a number, or 1 if it is absent.
fn count_or_one(object: &ObjectFields, key: &'static str) -> Result<u64, ConfigError> {
    Ok(number_or_one(object, key)? as u64)
}

fn duration_or_zero(object: &ObjectFields, key: &'static str) -> Result<Us, ConfigError> {
    Ok(object.optional_duration(key)?.unwrap_or(0))
}
