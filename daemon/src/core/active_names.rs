//! Lookup of the active methods and tenants by their names.

use super::state::RpcEngine;
use crate::name_table::NameTable;
use crate::recovery::ActiveCatalog;
use asterrill::{Idempotency, MethodId, Us};
use asterrill_consumer::Catalog;
use asterrill_entries::Name;
use asterrill_recovery::LatencyTargets;

/// View of the name table that contains only the names that are active in the decision module.
pub(super) struct ActiveNames<'a> {
    /// All names, active or not.
    pub(super) names: &'a NameTable,
    /// The engine, which reports whether a name is active.
    pub(super) engine: &'a RpcEngine,
}

impl ActiveNames<'_> {
    /// Returns the index of a method, if it is active.
    pub(super) fn method_id(&self, name: &str) -> Option<MethodId> {
        self.names.method_id(name).filter(|id| self.engine.has_method(*id))
    }

    /// Returns the index of a tenant, if it is active.
    pub(super) fn tenant_index(&self, name: &str) -> Option<usize> {
        self.names.tenant_index(name).filter(|index| self.engine.has_tenant(*index))
    }
}

impl Catalog for ActiveNames<'_> {
    fn method(&self, name: &str) -> Option<(MethodId, Idempotency)> {
        let id = self.method_id(name)?;
        Some((id, self.names.idempotency(id)?))
    }
    fn tenant(&self, name: &str) -> Option<usize> {
        self.tenant_index(name)
    }
    fn requires_tenant(&self) -> bool {
        self.names.requires_tenant
    }
}

impl LatencyTargets for ActiveNames<'_> {
    fn target(&self, name: &str) -> Option<Us> {
        self.names.latency_target(self.method_id(name)?)
    }
    fn shortest(&self) -> Us {
        let active = self.names.method_ids().filter(|id| self.engine.has_method(*id));
        active.filter_map(|id| self.names.latency_target(id)).min().unwrap_or(0)
    }
}

impl ActiveCatalog for ActiveNames<'_> {
    fn latency_targets(&self) -> &dyn LatencyTargets {
        self
    }
    fn method_name(&self, id: MethodId) -> Option<(&Name, Us)> {
        let active = self.engine.has_method(id);
        self.names.name(id).zip(self.names.latency_target(id)).filter(|_| active)
    }
    fn method_id(&self, name: &str) -> Option<MethodId> {
        ActiveNames::method_id(self, name)
    }
    fn tenant_index(&self, name: &str) -> Option<usize> {
        ActiveNames::tenant_index(self, name)
    }
    fn tenants(&self) -> Vec<(&Name, usize)> {
        self.names.tenants().filter(|(_, index)| self.engine.has_tenant(*index)).collect()
    }
}
