//! What tests read of the core's inner state.

use super::active_names::ActiveNames;
use super::state::Core;

impl Core {
    /// What the decision module has learned.
    pub fn learned(&self) -> asterrill::LearnedState {
        self.engine.learned_state()
    }
    /// Whether a tenant is in force.
    pub fn has_tenant(&self, name: &str) -> bool {
        let active = ActiveNames { names: &self.state.names, engine: &self.engine };
        active.tenant_index(name).is_some()
    }
    /// Indices of tenants that were ever given out.
    pub fn tenant_indices(&self) -> usize {
        self.state.names.tenant_indices()
    }
}
