//! The fields of the global settings, as they are read from JSON.

use crate::error::ConfigError;
use crate::fields::family_info::FamilyInfoFields;
use crate::fields::object::{FieldKey, ObjectFields};
use crate::fields::value::{JsonSeed, Strictness};
use serde::de::{Error, MapAccess};

/// The keys that are read from the platform's settings. `Categories` lists the methods and `Tenants` the tenants; the
/// others are global settings.
pub const SETTINGS_KEYS: &[&str] =
    &["FamilyInfo", "Safety", "Limits", "StepMs", "ReplicasOfMe", "OverShareWorth", "Categories", "Tenants"];

const SAFETY_KEYS: &[&str] = &["TipMultiple", "ColdFrom", "RampTimeMs", "StopSendingWithinMs"];
const LIMITS_KEYS: &[&str] = &["RetryAfter", "MaxRetryAfterMs"];
const TOP_LEVEL_KEYS: &[&str] = &["StepMs", "ReplicasOfMe", "OverShareWorth"];
const RESOURCE_LIMIT_KEYS: &[&str] = &["memory_mb", "sockets"];

/// The presence of each required object.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PresentObjects {
    pub(crate) family_info: bool,
    pub(crate) safety: bool,
    pub(crate) limits: bool,
}

/// The fields of global settings that were read, complete or partial.
#[derive(Clone, Debug)]
pub struct GlobalFields {
    pub(crate) strictness: Strictness,
    pub(crate) family_info: FamilyInfoFields,
    pub(crate) safety: ObjectFields,
    pub(crate) limits: ObjectFields,
    pub(crate) top_level: ObjectFields,
    pub(crate) resource_limits: ObjectFields,
    pub(crate) present: PresentObjects,
}

impl GlobalFields {
    /// Creates storage without any fields.
    pub fn new(strictness: Strictness) -> GlobalFields {
        GlobalFields {
            strictness,
            family_info: FamilyInfoFields::new(strictness),
            safety: ObjectFields::new(SAFETY_KEYS, strictness),
            limits: ObjectFields::new(LIMITS_KEYS, strictness),
            top_level: ObjectFields::new(TOP_LEVEL_KEYS, strictness),
            resource_limits: ObjectFields::new(RESOURCE_LIMIT_KEYS, strictness),
            present: PresentObjects::default(),
        }
    }

    /// Returns for each method, in the order of the list of methods, the fraction of its value, 0 to 1, that a response
    /// without the upstream call is worth (`FamilyInfo.ClassSkipWorth`).
    pub fn skip_value_ratios(&self) -> &[f64] {
        &self.family_info.skip_value_ratios
    }

    /// Reads the value of one of [`SETTINGS_KEYS`].
    ///
    /// # Errors
    /// Returns the errors of the deserializer.
    pub fn read<'d, A: MapAccess<'d>>(&mut self, key: FieldKey, object: &mut A) -> Result<(), A::Error> {
        match key.name {
            "FamilyInfo" => {
                let is_object = object.next_value_seed(JsonSeed(&mut self.family_info))?;
                self.present.family_info = self.check_object(key.name, is_object)?;
            }
            "Safety" => {
                let is_object = object.next_value_seed(JsonSeed(&mut self.safety))?;
                self.present.safety = self.check_object(key.name, is_object)?;
            }
            "Limits" => {
                let is_object = object.next_value_seed(JsonSeed(&mut self.limits))?;
                self.present.limits = self.check_object(key.name, is_object)?;
            }
            name => {
                let index = TOP_LEVEL_KEYS.iter().position(|candidate| *candidate == name);
                self.top_level.read_value(index.unwrap_or(usize::MAX), object)?;
            }
        }
        Ok(())
    }

    /// Reads the resource limits of the deployment, `memory_mb` and `sockets`, and reports whether they were an object.
    ///
    /// # Errors
    /// Returns the errors of the deserializer.
    pub fn read_resource_limits<'d, A: MapAccess<'d>>(&mut self, object: &mut A) -> Result<bool, A::Error> {
        let is_object = object.next_value_seed(JsonSeed(&mut self.resource_limits))?;
        self.check_object("limits", is_object)
    }

    /// Returns `is_object`, or in strict reading an error if it is false.
    fn check_object<E: Error>(&self, key: &'static str, is_object: bool) -> Result<bool, E> {
        if !is_object && self.strictness == Strictness::Strict {
            return Err(E::custom(ConfigError::InvalidField(key)));
        }
        Ok(is_object)
    }
}
