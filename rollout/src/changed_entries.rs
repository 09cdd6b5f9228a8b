//! What a change touches, and the global figures that checks and differences compare.

use asterrill::Method;
use asterrill_entries::{Change, GlobalSettings, Name, UpstreamKind};
use std::collections::BTreeMap;

/// What changes touch, each key once and in the order of names.
pub(crate) struct ChangedEntries<'a> {
    /// The new global settings, where they change.
    pub(crate) globals: Option<&'a GlobalSettings>,
    /// Methods with their new terms; `None` where they are removed.
    pub(crate) methods: BTreeMap<&'a Name, Option<&'a Method>>,
    /// Tenants with their new quota, in RPCs a second; `None` where they are removed.
    pub(crate) tenants: BTreeMap<&'a Name, Option<f64>>,
}

impl<'a> ChangedEntries<'a> {
    /// Of several changes of one key the last counts, as when they are applied.
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

/// The global figures that are compared.
pub(crate) struct GlobalValues {
    /// CPU cores of one server.
    pub(crate) cores: f64,
    /// Running RPCs a core that the server survives.
    pub(crate) max_running_per_core: f64,
    /// Memory for RPCs, in kB.
    pub(crate) memory_kb: f64,
    /// This server's part of the calls that the upstream survives; `None` where it has none.
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
