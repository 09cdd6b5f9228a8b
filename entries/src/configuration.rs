//! A version of the configuration: global settings, methods and tenants in persistent maps.

use crate::digest::Digest;
use crate::encode::globals_text;
use crate::entry::{EntryKind, Name};
use crate::error::ConfigError;
use crate::globals::GlobalSettings;
use asterrill::Method;
use imbl::ordmap::OrdMap;
use std::sync::Arc;

/// A complete version of the configuration. Cloning is cheap, as versions share their common entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub(crate) globals: Arc<GlobalSettings>,
    pub(crate) methods: OrdMap<Name, Method>,
    /// Quotas by tenant, in RPCs per second.
    pub(crate) tenants: OrdMap<Name, f64>,
    digest: Digest,
}

impl Configuration {
    /// Creates a version without methods and tenants, as a starting point for readers. The settings are not checked.
    pub fn new(globals: GlobalSettings) -> Configuration {
        let digest = digest_of_globals(&globals);
        Configuration { globals: Arc::new(globals), methods: OrdMap::new(), tenants: OrdMap::new(), digest }
    }

    /// Returns the settings that are neither methods nor tenants.
    pub fn globals(&self) -> &Arc<GlobalSettings> {
        &self.globals
    }

    /// Returns the method of this name.
    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.get(name)
    }

    /// Returns the quota of the tenant of this name, in RPCs per second across the whole fleet.
    pub fn tenant(&self, name: &str) -> Option<f64> {
        self.tenants.get(name).copied()
    }

    /// Returns all methods, ordered by name.
    pub fn methods(&self) -> impl Iterator<Item = (&Name, &Method)> {
        self.methods.iter()
    }

    /// Returns all tenants with their quotas, ordered by name.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.tenants.iter().map(|(name, quota)| (name, *quota))
    }

    /// Returns the number of entries of a kind.
    pub fn count(&self, kind: EntryKind) -> usize {
        match kind {
            EntryKind::Method => self.methods.len(),
            EntryKind::Tenant => self.tenants.len(),
        }
    }

    /// Returns this version's instance of the name, if it contains the entry.
    pub fn stored_name(&self, kind: EntryKind, name: &str) -> Option<&Name> {
        match kind {
            EntryKind::Method => self.methods.get_key_value(name).map(|(name, _)| name),
            EntryKind::Tenant => self.tenants.get_key_value(name).map(|(name, _)| name),
        }
    }

    /// Returns [`Configuration::stored_name`], or a new instance if this version does not contain the entry.
    pub fn shared_name(&self, kind: EntryKind, name: &str) -> Name {
        self.stored_name(kind, name).cloned().unwrap_or_else(|| name.into())
    }

    /// Returns the digest of the whole version.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Replaces the global settings without checking them.
    pub(crate) fn set_globals(&mut self, globals: &Arc<GlobalSettings>) {
        if self.globals == *globals {
            return;
        }
        let before = digest_of_globals(&self.globals);
        self.digest = self.digest.without(before).with(digest_of_globals(globals));
        self.globals = globals.clone();
    }

    /// Adds or replaces a method without checking it.
    pub(crate) fn put_method(&mut self, name: &Name, method: Method) {
        let name = self.stored_name(EntryKind::Method, name).unwrap_or(name).clone();
        let method = without_negative_zeros(method);
        self.digest = self.digest.with(Digest::of_method(&name, &method));
        if let Some(before) = self.methods.insert(name.clone(), method) {
            self.digest = self.digest.without(Digest::of_method(&name, &before));
        }
    }

    /// Adds or replaces a tenant without checking it.
    pub(crate) fn put_tenant(&mut self, name: &Name, quota: f64) {
        let name = self.stored_name(EntryKind::Tenant, name).unwrap_or(name).clone();
        let quota = without_negative_zero(quota);
        self.digest = self.digest.with(Digest::of_tenant(&name, quota));
        if let Some(before) = self.tenants.insert(name.clone(), quota) {
            self.digest = self.digest.without(Digest::of_tenant(&name, before));
        }
    }

    /// Removes an entry.
    ///
    /// # Errors
    /// Returns [`ConfigError::UnknownEntry`] if there is no entry of this name.
    pub(crate) fn remove(&mut self, kind: EntryKind, name: &Name) -> Result<(), ConfigError> {
        let removed = match kind {
            EntryKind::Method => self.methods.remove(&**name).map(|method| Digest::of_method(name, &method)),
            EntryKind::Tenant => self.tenants.remove(&**name).map(|quota| Digest::of_tenant(name, quota)),
        };
        let removed = removed.ok_or_else(|| ConfigError::UnknownEntry { kind, name: name.clone() })?;
        self.digest = self.digest.without(removed);
        Ok(())
    }
}

fn digest_of_globals(globals: &GlobalSettings) -> Digest {
    Digest::of_globals(&globals_text(globals))
}

/// Returns 0 for -0, and any other number unchanged, so that equal versions have equal digests.
fn without_negative_zero(number: f64) -> f64 {
    number + 0.0
}

fn without_negative_zeros(mut method: Method) -> Method {
    method.criticality = without_negative_zero(method.criticality);
    method.late_value_ratio = without_negative_zero(method.late_value_ratio);
    method.skip_value_ratio = without_negative_zero(method.skip_value_ratio);
    method
}
