//! Application of changes to a version, all of them or none.

use crate::change::Change;
use crate::configuration::Configuration;
use crate::entry::{EntryKind, Name};
use crate::error::ConfigError;
use crate::globals::GlobalSettings;
use crate::limits::{MAX_METHODS, MAX_TENANTS, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY};
use crate::validation::{check_method, check_name, check_quota};
use asterrill::Method;
use std::collections::HashSet;
use std::sync::Arc;

impl Configuration {
    /// Returns the version that results from applying the changes.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] that names the invalid key: a key that is changed twice, an entry to remove that does
    /// not exist, or a name, a number or a count of entries that is out of bounds. The last method cannot be removed.
    pub fn apply(&self, changes: &[Change]) -> Result<Configuration, ConfigError> {
        check_distinct_keys(changes)?;
        let mut next = self.clone();
        next.apply_all(changes)?;
        if next.methods.is_empty() && !self.methods.is_empty() {
            return Err(ConfigError::LastMethod);
        }
        Ok(next)
    }

    /// Applies changes in place. Removals come first, as they make room below the limits for the entries that are put.
    pub(crate) fn apply_all(&mut self, changes: &[Change]) -> Result<(), ConfigError> {
        for change in changes.iter().filter(|change| change.is_removal()) {
            self.apply_one(change)?;
        }
        for change in changes.iter().filter(|change| !change.is_removal()) {
            self.apply_one(change)?;
        }
        Ok(())
    }

    /// Checks a change and applies it in place. Nothing is modified if the change is rejected.
    pub(crate) fn apply_one(&mut self, change: &Change) -> Result<(), ConfigError> {
        match change {
            Change::SetGlobals(globals) => self.check_and_set_globals(globals),
            Change::PutMethod(name, method) => self.check_and_put_method(name, method),
            Change::PutTenant(name, quota) => self.check_and_put_tenant(name, *quota),
            Change::RemoveMethod(name) => self.remove(EntryKind::Method, name),
            Change::RemoveTenant(name) => self.remove(EntryKind::Tenant, name),
        }
    }

    fn check_and_set_globals(&mut self, globals: &Arc<GlobalSettings>) -> Result<(), ConfigError> {
        globals.check()?;
        let limits = [
            (MEMORY_LIMIT_KEY, self.globals.memory_mb, globals.memory_mb),
            (SOCKET_LIMIT_KEY, self.globals.sockets, globals.sockets),
        ];
        for (key, before, after) in limits {
            // A limit that has been set cannot be unset.
            if before > 0 && after == 0 {
                return Err(ConfigError::InvalidField(key));
            }
        }
        self.set_globals(globals);
        Ok(())
    }

    fn check_and_put_method(&mut self, name: &Name, method: &Method) -> Result<(), ConfigError> {
        check_name(EntryKind::Method, name)?;
        check_method(method).map_err(|error| error.in_entry(EntryKind::Method, name))?;
        if self.methods.len() >= MAX_METHODS && !self.methods.contains_key(&**name) {
            return Err(ConfigError::too_many_entries(EntryKind::Method));
        }
        self.put_method(name, method.clone());
        Ok(())
    }

    fn check_and_put_tenant(&mut self, name: &Name, quota: f64) -> Result<(), ConfigError> {
        check_name(EntryKind::Tenant, name)?;
        check_quota(quota).map_err(|error| error.in_entry(EntryKind::Tenant, name))?;
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&**name) {
            return Err(ConfigError::too_many_entries(EntryKind::Tenant));
        }
        self.put_tenant(name, quota);
        Ok(())
    }
}

/// Checks that no key is changed more than once.
fn check_distinct_keys(changes: &[Change]) -> Result<(), ConfigError> {
    // Changes sorted by key, as `changes_to` returns them, are checked without a hash set.
    let mut adjacent_pairs = changes.iter().zip(changes.iter().skip(1));
    if adjacent_pairs.all(|(a, b)| a.key() < b.key()) {
        return Ok(());
    }
    let mut seen = HashSet::with_capacity(changes.len());
    match changes.iter().find(|change| !seen.insert(change.key())) {
        Some(duplicate) => Err(duplicate_key(duplicate.key())),
        None => Ok(()),
    }
}

/// Returns the error for a key that is given more than once.
pub(crate) fn duplicate_key(key: Option<(EntryKind, &Name)>) -> ConfigError {
    match key {
        None => ConfigError::DuplicateField("frame".into()),
        Some((kind, name)) => ConfigError::DuplicateName { kind, name: name.clone() },
    }
}
