//! Typed access to the fields of a [`serde_json::Value`], for messages that are parsed into a tree.
//!
//! # Errors
//! Each function that returns a result fails with [`SettingsError::InvalidField`], which names the field, if the field is
//! missing, has the wrong type or is negative.

use crate::error::SettingsError;
use asterrill::Us;
pub use asterrill_entries::micros_from_millis;
use serde_json::Value;

/// Returns a string field.
pub fn text<'a>(object: &'a Value, name: &str) -> Result<&'a str, SettingsError> {
    object.get(name).and_then(Value::as_str).ok_or_else(|| SettingsError::invalid_field(name))
}

/// Returns a field that is a non-negative whole number.
pub fn integer(object: &Value, name: &str) -> Result<u64, SettingsError> {
    object.get(name).and_then(whole_number).ok_or_else(|| SettingsError::invalid_field(name))
}

/// Returns the value as a non-negative whole number. A fraction of zero is accepted, as in `3.0`.
pub fn whole_number(value: &Value) -> Option<u64> {
    let from_float = |number: f64| (number >= 0.0 && number.fract() == 0.0).then_some(number as u64);
    value.as_u64().or_else(|| value.as_f64().and_then(from_float))
}

/// Returns a field that is a non-negative number.
pub fn number(object: &Value, name: &str) -> Result<f64, SettingsError> {
    let number = object.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
    number.ok_or_else(|| SettingsError::invalid_field(name))
}

/// Returns a non-negative number, or `None` if the field is missing or null.
pub fn optional_number(object: &Value, name: &str) -> Result<Option<f64>, SettingsError> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => number(object, name).map(Some),
    }
}

/// Returns a duration or point in time in whole microseconds, from a field in milliseconds.
pub fn time(object: &Value, name: &str) -> Result<Us, SettingsError> {
    number(object, name).map(micros_from_millis)
}

/// Returns a value like [`time`], or 0 if the field is missing or null.
pub fn optional_time(object: &Value, name: &str) -> Result<Us, SettingsError> {
    Ok(micros_from_millis(optional_number(object, name)?.unwrap_or(0.0)))
}

/// Returns a field that is an object.
pub fn object<'a>(parent: &'a Value, name: &str) -> Result<&'a Value, SettingsError> {
    parent.get(name).filter(|value| value.is_object()).ok_or_else(|| SettingsError::invalid_field(name))
}
