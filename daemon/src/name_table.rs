//! Table of the indices of method and tenant names.
//!
//! The strings are shared with all other holders of a name, and an index never changes while its name is in the table.
//! The decision module determines which names are active: the table already contains names whose settings are staged,
//! and keeps removed names until the change that removed them is final.

use asterrill::{Idempotency, MethodId, SettingsUpdate, Us};
use asterrill_entries::{Change, Name, MAX_METHODS};
use asterrill_settings::ServerParts;
use rustc_hash::FxHashMap;

/// Settings of a method in the active version.
#[derive(Clone, Debug)]
struct MethodEntry {
    name: Name,
    idempotency: Idempotency,
    latency_target: Us,
}

/// Settings of a method that become active with the staged version.
struct StagedMethod {
    id: MethodId,
    idempotency: Idempotency,
    latency_target: Us,
}

/// Names of methods, tenants and gauges in the settings.
pub struct NameTable {
    /// The methods by index. Entries are never removed, because RPCs of a removed method may still be in flight.
    methods: Vec<MethodEntry>,
    method_ids: FxHashMap<Name, MethodId>,
    tenants: FxHashMap<Name, usize>,
    /// The number of tenant indices ever allocated.
    tenant_indices: usize,
    /// The allocated tenant indices that are free.
    free_tenant_indices: Vec<usize>,
    /// The tenants removed by a change that is not final yet.
    removed_tenants: Vec<Name>,
    staged: Vec<StagedMethod>,
    /// Whether each RPC must name a tenant in the active version.
    pub requires_tenant: bool,
    /// The names of the agent's gauges, in the order in which the agent sends them.
    pub gauges: Vec<String>,
}

impl NameTable {
    /// Creates a table of the names in `server`, and takes them out of it.
    pub fn new(server: &mut ServerParts) -> NameTable {
        let method_names = std::mem::take(&mut server.methods);
        let tenant_names = std::mem::take(&mut server.tenants);
        let method_ids = method_names.iter().cloned().zip((0..).map(MethodId)).collect();
        let settings = server.idempotency.iter().zip(&server.latency_targets);
        let entry = |(name, (idempotency, latency_target)): (Name, (&Idempotency, &Us))| MethodEntry {
            name,
            idempotency: *idempotency,
            latency_target: *latency_target,
        };
        NameTable {
            methods: method_names.into_iter().zip(settings).map(entry).collect(),
            method_ids,
            tenant_indices: tenant_names.len(),
            requires_tenant: !tenant_names.is_empty(),
            tenants: tenant_names.into_iter().zip(0..).collect(),
            free_tenant_indices: Vec::new(),
            removed_tenants: Vec::new(),
            staged: Vec::new(),
            gauges: std::mem::take(&mut server.gauges),
        }
    }

    /// Returns the index of a method, active or not.
    pub fn method_id(&self, name: &str) -> Option<MethodId> {
        self.method_ids.get(name).copied()
    }

    /// Returns the index of a tenant, active or not.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    /// Returns the name of a method.
    pub fn name(&self, method: MethodId) -> Option<&Name> {
        self.methods.get(method.0).map(|entry| &entry.name)
    }

    /// Returns whether and how a method may be run more than once.
    pub fn idempotency(&self, method: MethodId) -> Option<Idempotency> {
        self.methods.get(method.0).map(|entry| entry.idempotency)
    }

    /// Returns the latency target of a method in microseconds.
    pub fn latency_target(&self, method: MethodId) -> Option<Us> {
        self.methods.get(method.0).map(|entry| entry.latency_target)
    }

    /// Returns the indices of all methods, including removed ones.
    pub fn method_ids(&self) -> impl Iterator<Item = MethodId> {
        (0..self.methods.len()).map(MethodId)
    }

    /// Returns all tenants in the table, active or not.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, usize)> {
        self.tenants.iter().map(|(name, index)| (name, *index))
    }

    /// Returns the number of tenant indices ever allocated.
    #[cfg(test)]
    pub fn tenant_indices(&self) -> usize {
        self.tenant_indices
    }

    /// Checks that there are enough indices for all methods in a change.
    pub fn check_capacity_for(&self, changes: &[Change]) -> Result<(), String> {
        let put = |change: &&Change| matches!(change, Change::PutMethod(..));
        // Skips the lookups if there is capacity even in the worst case, in which all methods are new.
        if self.methods.len() + changes.iter().filter(put).count() <= MAX_METHODS {
            return Ok(());
        }
        let is_new =
            |change: &&Change| matches!(change, Change::PutMethod(name, _) if self.method_id(name).is_none());
        if self.methods.len() + changes.iter().filter(is_new).count() <= MAX_METHODS {
            return Ok(());
        }
        Err(format!("more than {MAX_METHODS} methods since the start of the process; restart it"))
    }

    /// Allocates indices for the names in a change, and returns the settings to stage there. None of them is active
    /// yet.
    pub fn stage(&mut self, changes: &[Change]) -> Vec<SettingsUpdate> {
        changes.iter().filter_map(|change| self.stage_change(change)).collect()
    }

    fn stage_change(&mut self, change: &Change) -> Option<SettingsUpdate> {
        match change {
            Change::SetGlobals(_) => None,
            Change::PutMethod(name, method) => {
                let (idempotency, latency_target) = (method.idempotency, method.latency_target);
                let entry = MethodEntry { name: name.clone(), idempotency, latency_target };
                let id = self.method_id(name).unwrap_or_else(|| self.add_method(entry));
                self.staged.push(StagedMethod { id, idempotency, latency_target });
                Some(SettingsUpdate::Method(id, Some(method.clone())))
            }
            Change::RemoveMethod(name) => Some(SettingsUpdate::Method(self.method_id(name)?, None)),
            Change::PutTenant(name, rate) => {
                let index = self.tenant_index(name).unwrap_or_else(|| self.add_tenant(name));
                Some(SettingsUpdate::Tenant(index, Some(*rate)))
            }
            Change::RemoveTenant(name) => {
                self.removed_tenants.push(name.clone());
                Some(SettingsUpdate::Tenant(self.tenant_index(name)?, None))
            }
        }
    }

    fn add_method(&mut self, entry: MethodEntry) -> MethodId {
        let id = MethodId(self.methods.len());
        self.method_ids.insert(entry.name.clone(), id);
        self.methods.push(entry);
        id
    }

    fn add_tenant(&mut self, name: &Name) -> usize {
        let index = self.free_tenant_indices.pop().unwrap_or_else(|| {
            self.tenant_indices += 1;
            self.tenant_indices - 1
        });
        self.tenants.insert(name.clone(), index);
        index
    }

    /// Activates the staged settings, and returns the latency targets of the methods among them.
    pub fn apply_staged(&mut self, requires_tenant: bool) -> Vec<(MethodId, Us)> {
        self.requires_tenant = requires_tenant;
        let mut targets = Vec::with_capacity(self.staged.len());
        for StagedMethod { id, idempotency, latency_target } in std::mem::take(&mut self.staged) {
            if let Some(entry) = self.methods.get_mut(id.0) {
                entry.idempotency = idempotency;
                entry.latency_target = latency_target;
                targets.push((id, latency_target));
            }
        }
        targets
    }

    /// Releases the indices of removed tenants after a change has become final or was rolled back. `is_active` reports
    /// whether the tenant at an index is active.
    pub fn release_removed_tenants(&mut self, is_active: impl Fn(usize) -> bool) {
        for name in std::mem::take(&mut self.removed_tenants) {
            let Some(index) = self.tenant_index(&name).filter(|index| !is_active(*index)) else { continue };
            self.tenants.remove(&name);
            self.free_tenant_indices.push(index);
        }
    }
}
