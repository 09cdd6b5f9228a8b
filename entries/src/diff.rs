//! Differences between two versions, and construction of versions from complete lists.

use crate::change::Change;
use crate::configuration::Configuration;
use crate::entry::{EntryKind, Name};
use crate::error::ConfigError;
use crate::globals::GlobalSettings;
use crate::limits::{MAX_METHODS, MAX_TENANTS};
use asterrill::Method;
use imbl::ordmap::{DiffItem, OrdMap};
use std::cmp::Ordering;
use std::sync::Arc;

impl Configuration {
    /// Returns the changes that lead from this version to `other`: global settings, then methods, then tenants, each by
    /// name. The cost is proportional to the difference, as parts that the two versions share are not compared.
    pub fn changes_to(&self, other: &Configuration) -> Vec<Change> {
        let mut changes = Vec::new();
        if !Arc::ptr_eq(&self.globals, &other.globals) && self.globals != other.globals {
            changes.push(Change::SetGlobals(other.globals.clone()));
        }
        push_map_changes(
            &self.methods,
            &other.methods,
            Change::PutMethod,
            Change::RemoveMethod,
            &mut changes,
        );
        push_map_changes(
            &self.tenants,
            &other.tenants,
            Change::PutTenant,
            Change::RemoveTenant,
            &mut changes,
        );
        changes
    }

    /// Creates the version that consists of these entries, which may be in any order. Entries equal to those of
    /// `running` are shared with it.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] for the same reasons as [`Configuration::apply`], and if there is no method.
    pub fn from_entries(
        running: Option<&Configuration>, globals: GlobalSettings, mut methods: Vec<(Name, Method)>,
        mut tenants: Vec<(Name, f64)>,
    ) -> Result<Configuration, ConfigError> {
        if methods.is_empty() {
            return Err(ConfigError::InvalidField(EntryKind::Method.list_key()));
        }
        if methods.len() > MAX_METHODS {
            return Err(ConfigError::too_many_entries(EntryKind::Method));
        }
        if tenants.len() > MAX_TENANTS {
            return Err(ConfigError::too_many_entries(EntryKind::Tenant));
        }
        globals.check()?;
        sort_by_name(&mut methods);
        sort_by_name(&mut tenants);
        check_distinct_names(EntryKind::Method, &methods)?;
        check_distinct_names(EntryKind::Tenant, &tenants)?;
        match running {
            Some(running) => running.replaced_by(globals, methods, tenants),
            None => Configuration::from_sorted(globals, methods, tenants),
        }
    }

    fn from_sorted(
        globals: GlobalSettings, methods: Vec<(Name, Method)>, tenants: Vec<(Name, f64)>,
    ) -> Result<Configuration, ConfigError> {
        let mut next = Configuration::new(globals);
        let methods = methods.into_iter().map(|(name, method)| Change::PutMethod(name, method));
        let tenants = tenants.into_iter().map(|(name, quota)| Change::PutTenant(name, quota));
        for change in methods.chain(tenants) {
            next.apply_one(&change)?;
        }
        Ok(next)
    }

    /// Returns a version in which these entries, sorted by name, replace all entries of this one.
    fn replaced_by(
        &self, globals: GlobalSettings, methods: Vec<(Name, Method)>, tenants: Vec<(Name, f64)>,
    ) -> Result<Configuration, ConfigError> {
        let mut changes = Vec::new();
        let running = self.methods.iter();
        push_list_changes(running, methods, Change::PutMethod, Change::RemoveMethod, &mut changes);
        let running = self.tenants.iter();
        push_list_changes(running, tenants, Change::PutTenant, Change::RemoveTenant, &mut changes);
        let mut next = self.clone();
        next.set_globals(&Arc::new(globals));
        next.apply_all(&changes)?;
        Ok(next)
    }
}

/// Appends the changes that lead from one map to another.
fn push_map_changes<V: Clone + PartialEq>(
    from: &OrdMap<Name, V>, to: &OrdMap<Name, V>, put: fn(Name, V) -> Change, remove: fn(Name) -> Change,
    changes: &mut Vec<Change>,
) {
    changes.extend(from.diff(to).map(|item| match item {
        DiffItem::Add(name, value) | DiffItem::Update { new: (name, value), .. } => {
            put(name.clone(), value.clone())
        }
        DiffItem::Remove(name, _) => remove(name.clone()),
    }));
}

/// Appends the changes that lead from the running entries to a list, both sorted by name.
fn push_list_changes<'a, V: PartialEq + 'a>(
    running: impl Iterator<Item = (&'a Name, &'a V)>, list: Vec<(Name, V)>, put: fn(Name, V) -> Change,
    remove: fn(Name) -> Change, changes: &mut Vec<Change>,
) {
    let mut running = running.peekable();
    for (name, value) in list {
        while let Some((removed, _)) = running.next_if(|(other, _)| compare_names(other, &name).is_lt()) {
            changes.push(remove(removed.clone()));
        }
        match running.next_if(|(other, _)| compare_names(other, &name).is_eq()) {
            Some((_, before)) if *before == value => {}
            _ => changes.push(put(name, value)),
        }
    }
    changes.extend(running.map(|(removed, _)| remove(removed.clone())));
}

fn sort_by_name<V>(entries: &mut [(Name, V)]) {
    entries.sort_by(|(a, _), (b, _)| compare_names(a, b));
}

/// Compares two names, without comparing their bytes if both are the same instance.
fn compare_names(a: &Name, b: &Name) -> Ordering {
    if Arc::ptr_eq(a, b) {
        Ordering::Equal
    } else {
        a.cmp(b)
    }
}

/// Checks that no name occurs more than once in entries sorted by name.
fn check_distinct_names<V>(kind: EntryKind, entries: &[(Name, V)]) -> Result<(), ConfigError> {
    let mut adjacent_pairs = entries.iter().zip(entries.iter().skip(1));
    match adjacent_pairs.find(|((a, _), (b, _))| compare_names(a, b).is_eq()) {
        Some(((name, _), _)) => Err(ConfigError::DuplicateName { kind, name: name.clone() }),
        None => Ok(()),
    }
}
