//! The fields of methods and tenants.

use crate::entry::EntryKind;
use crate::error::ConfigError;
use crate::fields::object::ObjectFields;
use crate::keywords::EFFECTS;
use crate::validation::{check_method, check_name};
use asterrill::Method;

/// The keys of a method. `SkipWorth` is a field of the method in steps only; the platform's files list its values in
/// `FamilyInfo`.
pub const METHOD_KEYS: &[&str] =
    &["Name", "AimMs", "DeadlineMs", "Effect", "Worth", "LateWorth", "WindowMs", "SkipWorth"];

/// The keys of a tenant.
pub const TENANT_KEYS: &[&str] = &["Name", "QuotaRps"];

impl ObjectFields {
    /// Returns the name of an entry.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if the name is absent or invalid.
    pub fn entry_name(&self, kind: EntryKind) -> Result<&str, ConfigError> {
        let name = self.text("Name")?;
        check_name(kind, name)?;
        Ok(name)
    }

    /// Returns the parameters of a method, without its name.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] that names the field that is absent, of the wrong type or out of bounds.
    pub fn method(&self) -> Result<Method, ConfigError> {
        // An `Effect` that is absent or no string is reported before errors of other fields; an unknown keyword in it
        // is reported in field order.
        self.text("Effect")?;
        let method = Method {
            latency_target: self.duration("AimMs")?,
            deadline: self.duration("DeadlineMs")?,
            idempotency: self.keyword("Effect", EFFECTS)?,
            criticality: self.bounded_number("Worth")?,
            late_value_ratio: self.optional_bounded_number("LateWorth")?.unwrap_or(0.0),
            idempotency_window: self.optional_duration("WindowMs")?.unwrap_or(0),
            skip_value_ratio: self.optional_bounded_number("SkipWorth")?.unwrap_or(0.0),
        };
        check_method(&method)?;
        Ok(method)
    }

    /// Returns the quota of a tenant, in RPCs per second across the whole fleet; 0 is valid.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] if the quota is absent, of the wrong type or out of bounds.
    pub fn quota(&self) -> Result<f64, ConfigError> {
        self.bounded_number("QuotaRps")
    }
}
