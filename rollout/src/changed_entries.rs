//! Entries that a change sets or removes, and the global values that the checks and the difference compare.

use asterrill::Method;
use asterrill_entries::{Change, GlobalSettings, Name, UpstreamKind};
use std::collections::BTreeMap;

/// Entries set or removed by a list of changes, each key once and sorted by name.
pub(crate) struct ChangedEntries<'a> {
    /// New global settings; `None` if they are not set.
    pub(crate) globals: Option<&'a GlobalSettings>,
    /// New terms of each method; `None` for a removed method.
    pub(crate) methods: BTreeMap<&'a Name, Option<&'a Method>>,
    /// New quota of each tenant, in RPCs per second; `None` for a removed tenant.
    pub(crate) tenants: BTreeMap<&'a Name, Option<f64>>,
}

impl<'a> ChangedEntries<'a> {
    /// Collects the entries. If several changes set the same key, the last one wins, as it does when they are applied.
    pub(crate) fn from_changes(changes: &'a [Change]) -> ChangedEntries<'a> {
        let mut changed =
            ChangedEntries { globals: None, methods: BTreeMap::new(), tenants: BTreeMap::new() };
        for change in changes {
            match change {
                Change::SetGlobals(globals) => changed.globals = Some(globals),
                Change::PutMethod(name, method) => drop(changed.methods.insert(name, Some(method))),
                Change::RemoveMethod(name) => drop(changed.methods.insert(name, None)),
                Change::PutTenant(name, quota) => drop(changed.tenants.insert(name, Some(*quota))),
                Change::RemoveTenant(name) => drop(changed.tenants.insert(name, None)),
            }
        }
        changed
    }
}

/// Global values that are compared between versions.
pub(crate) struct GlobalValues {
    /// CPU cores of one server.
    pub(crate) cores: f64,
    /// Maximum number of running RPCs per core that the server can sustain.
    pub(crate) max_running_per_core: f64,
    /// Memory for queued and running RPCs, in kB.
    pub(crate) memory_kb: f64,
    /// This server's share of the calls that the upstream can sustain; `None` if no quota applies.
    pub(crate) call_quota: Option<f64>,
}

impl GlobalValues {
    pub(crate) fn of(globals: &GlobalSettings) -> GlobalValues {
        GlobalValues {
            cores: globals.cores as f64,
            max_running_per_core: globals.max_running_per_core,
            memory_kb: globals.ram_kb,
            call_quota: globals.upstream_call_quota.filter(|_| globals.upstream == UpstreamKind::Shared),
        }
    }
}
