//! Changes applied to a version: all or none.

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
    /// The version that the changes lead to.
    ///
    /// # Errors
    /// [`ConfigError`] names the key at fault: one that is changed twice, an entry to be removed that does not exist, a
    /// name, a figure or a number of entries out of bounds. The last method can't be removed.
    pub fn apply(&self, changes: &[Change]) -> Result<Configuration, ConfigError> {
        check_distinct_keys(changes)?;
        let mut next = self.clone();
        next.apply_all(changes)?;
        if next.methods.is_empty() && !self.methods.is_empty() {
            return Err(ConfigError::LastMethod);
        }
        Ok(next)
    }

    /// Applies changes in place, removals first: they make room for what is put.
    pub(crate) fn apply_all(&mut self, changes: &[Change]) -> Result<(), ConfigError> {
        for change in changes.iter().filter(|change| change.is_removal()) {
            self.apply_one(change)?;
        }
        for change in changes.iter().filter(|change| !change.is_removal()) {
            self.apply_one(change)?;
        }
        Ok(())
    }

    /// Checks a change and applies it in place. Where it is refused, nothing is changed.
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
            // A limit that was set once is never unset again.
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

/// Checks that no key is changed twice.
fn check_distinct_keys(changes: &[Change]) -> Result<(), ConfigError> {
    // Changes in order, as from `changes_to`, need no set.
    let mut neighbours = changes.iter().zip(changes.iter().skip(1));
    if neighbours.all(|(a, b)| a.key() < b.key()) {
        return Ok(());
    }
    let mut seen = HashSet::with_capacity(changes.len());
    match changes.iter().find(|change| !seen.insert(change.key())) {
        Some(duplicate) => Err(duplicate_key(duplicate.key())),
        None => Ok(()),
    }
}

/// The error for a key that is given twice.
pub(crate) fn duplicate_key(key: Option<(EntryKind, &Name)>) -> ConfigError {
    match key {
        None => ConfigError::DuplicateField("frame".into()),
        Some((kind, name)) => ConfigError::DuplicateName { kind, name: name.clone() },
    }
}
