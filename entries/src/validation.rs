//! Validation of single entries and numbers.

use crate::entry::EntryKind;
use crate::error::ConfigError;
use crate::limits::{MAX_DURATION_US, MAX_NAME_BYTES, MAX_SETTING_VALUE};
use crate::time::millis_from_micros;
use asterrill::{Method, Us};

/// Checks the name of an entry: 1 to [`MAX_NAME_BYTES`] bytes without control characters. The name of a method may not
/// contain whitespace either, as it is a field of the lines that are sent to the agent.
///
/// # Errors
/// Returns [`ConfigError::InvalidName`] with the start of the name.
pub(crate) fn check_name(kind: EntryKind, name: &str) -> Result<(), ConfigError> {
    let forbids_whitespace = kind == EntryKind::Method;
    let forbidden = |c: char| c.is_control() || forbids_whitespace && c.is_whitespace();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(forbidden) {
        return Err(ConfigError::InvalidName {
            name: name.chars().take(MAX_NAME_BYTES).collect(),
            forbids_whitespace,
        });
    }
    Ok(())
}

/// Checks the parameters of a method.
///
/// # Errors
/// Returns [`ConfigError::OutOfBounds`], which names the field.
pub(crate) fn check_method(method: &Method) -> Result<(), ConfigError> {
    check_duration("AimMs", method.latency_target)?;
    check_duration("DeadlineMs", method.deadline)?;
    check_duration("WindowMs", method.idempotency_window)?;
    check_at_most("Worth", method.criticality, MAX_SETTING_VALUE)?;
    check_at_most("LateWorth", method.late_value_ratio, MAX_SETTING_VALUE)?;
    check_at_most("SkipWorth", method.skip_value_ratio, MAX_SETTING_VALUE)
}

/// Checks the quota of a tenant, in RPCs per second.
///
/// # Errors
/// Returns [`ConfigError::OutOfBounds`] if the quota is out of bounds.
pub(crate) fn check_quota(quota: f64) -> Result<(), ConfigError> {
    check_at_most("QuotaRps", quota, MAX_SETTING_VALUE)
}

/// Checks that a number is between 0 and `max`, inclusive. NaN is rejected.
pub(crate) fn check_at_most(key: &'static str, value: f64, max: f64) -> Result<(), ConfigError> {
    if (0.0..=max).contains(&value) {
        Ok(())
    } else {
        Err(ConfigError::OutOfBounds { key, value })
    }
}

/// Checks that a duration is at most [`MAX_DURATION_US`]. The error states it in milliseconds, the unit of the field.
pub(crate) fn check_duration(key: &'static str, value: Us) -> Result<(), ConfigError> {
    if value <= MAX_DURATION_US {
        Ok(())
    } else {
        Err(ConfigError::OutOfBounds { key, value: millis_from_micros(value) })
    }
}
