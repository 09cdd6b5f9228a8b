//! Typed access to the fields of a [`serde_json::Value`], for messages that are read as a tree.
//!
//! # Errors
//! Each function returns [`SettingsError::InvalidField`] with the name of the field that is absent or has the wrong type.

use crate::error::SettingsError;
use asterrill::Us;
pub use asterrill_entries::micros_from_millis;
use serde_json::Value;

/// A string.
pub fn text<'a>(object: &'a Value, name: &str) -> Result<&'a str, SettingsError> {
    object.get(name).and_then(Value::as_str).ok_or_else(|| SettingsError::invalid_field(name))
}

/// A whole number from 0 up.
pub fn integer(object: &Value, name: &str) -> Result<u64, SettingsError> {
    object.get(name).and_then(whole_number).ok_or_else(|| SettingsError::invalid_field(name))
}

/// The value as a whole number from 0 up, also where it is written with a fraction of zero.
pub fn whole_number(value: &Value) -> Option<u64> {
    let from_float = |number: f64| (number >= 0.0 && number.fract() == 0.0).then_some(number as u64);
    value.as_u64().or_else(|| value.as_f64().and_then(from_float))
}

/// A number from 0 up.
pub fn number(object: &Value, name: &str) -> Result<f64, SettingsError> {
    let number = object.get(name).and_then(Value::as_f64).filter(|number| *number >= 0.0);
    number.ok_or_else(|| SettingsError::invalid_field(name))
}

/// A number from 0 up that may be absent or null.
pub fn optional_number(object: &Value, name: &str) -> Result<Option<f64>, SettingsError> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => number(object, name).map(Some),
    }
}

/// A duration or point in time: milliseconds in JSON, whole microseconds here.
pub fn time(object: &Value, name: &str) -> Result<Us, SettingsError> {
    number(object, name).map(micros_from_millis)
}

/// As [`time`]; 0 where it is absent or null.
pub fn optional_time(object: &Value, name: &str) -> Result<Us, SettingsError> {
    Ok(micros_from_millis(optional_number(object, name)?.unwrap_or(0.0)))
}

/// An object.
pub fn object<'a>(parent: &'a Value, name: &str) -> Result<&'a Value, SettingsError> {
    parent.get(name).filter(|value| value.is_object()).ok_or_else(|| SettingsError::invalid_field(name))
}
