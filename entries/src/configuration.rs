//! A version: its global settings, methods and tenants, in maps that versions share.

use crate::digest::Digest;
use crate::encode::globals_text;
use crate::entry::{EntryKind, Name};
use crate::error::ConfigError;
use crate::globals::GlobalSettings;
use asterrill::Method;
use imbl::ordmap::OrdMap;
use std::sync::Arc;

/// A complete version. Cheap to clone: versions share what they have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub(crate) globals: Arc<GlobalSettings>,
    pub(crate) methods: OrdMap<Name, Method>,
    /// Quotas in RPCs a second.
    pub(crate) tenants: OrdMap<Name, f64>,
    digest: Digest,
}

impl Configuration {
    /// A version without methods and tenants, as a starting point for readers. The settings are not checked.
    pub fn new(globals: GlobalSettings) -> Configuration {
        let digest = digest_of_globals(&globals);
        Configuration { globals: Arc::new(globals), methods: OrdMap::new(), tenants: OrdMap::new(), digest }
    }

    /// The settings that are neither methods nor tenants.
    pub fn globals(&self) -> &Arc<GlobalSettings> {
        &self.globals
    }

    /// The method of this name.
    pub fn method(&self, name: &str) -> Option<&Method> {
        self.methods.get(name)
    }

    /// The quota of the tenant of this name, in RPCs a second over the whole fleet.
    pub fn tenant(&self, name: &str) -> Option<f64> {
        self.tenants.get(name).copied()
    }

    /// All methods, ordered by name.
    pub fn methods(&self) -> impl Iterator<Item = (&Name, &Method)> {
        self.methods.iter()
    }

    /// All tenants with their quotas, ordered by name.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.tenants.iter().map(|(name, quota)| (name, *quota))
    }

    /// How many entries of a kind there are.
    pub fn count(&self, kind: EntryKind) -> usize {
        match kind {
            EntryKind::Method => self.methods.len(),
            EntryKind::Tenant => self.tenants.len(),
        }
    }

    /// This version's own instance of the name, if there is such an entry.
    pub fn stored_name(&self, kind: EntryKind, name: &str) -> Option<&Name> {
        match kind {
            EntryKind::Method => self.methods.get_key_value(name).map(|(name, _)| name),
            EntryKind::Tenant => self.tenants.get_key_value(name).map(|(name, _)| name),
        }
    }

    /// As [`Configuration::stored_name`], or a new instance.
    pub fn shared_name(&self, kind: EntryKind, name: &str) -> Name {
        self.stored_name(kind, name).cloned().unwrap_or_else(|| name.into())
    }

    /// The digest of all that this version says.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Replaces the global settings, unchecked.
    pub(crate) fn set_globals(&mut self, globals: &Arc<GlobalSettings>) {
        if self.globals == *globals {
            return;
        }
        let before = digest_of_globals(&self.globals);
        self.digest = self.digest.without(before).with(digest_of_globals(globals));
        self.globals = globals.clone();
    }

    /// Adds or replaces a method, unchecked.
    pub(crate) fn put_method(&mut self, name: &Name, method: Method) {
        let name = self.stored_name(EntryKind::Method, name).unwrap_or(name).clone();
        let method = without_negative_zeros(method);
        self.digest = self.digest.with(Digest::of_method(&name, &method));
        if let Some(before) = self.methods.insert(name.clone(), method) {
            self.digest = self.digest.without(Digest::of_method(&name, &before));
        }
    }

    /// Adds or replaces a tenant, unchecked.
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
    /// [`ConfigError::UnknownEntry`]: there is none of this name.
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

/// Equal meaning has one form: -0 is 0.
fn without_negative_zero(number: f64) -> f64 {
    number + 0.0
}

fn without_negative_zeros(mut method: Method) -> Method {
    method.criticality = without_negative_zero(method.criticality);
    method.late_value_ratio = without_negative_zero(method.late_value_ratio);
    method.skip_value_ratio = without_negative_zero(method.skip_value_ratio);
    method
}
