//! Access of tests to the internal state of the core.

use super::active_names::ActiveNames;
use super::state::Core;

impl Core {
    /// Returns the learned state of the decision module.
    pub fn learned(&self) -> asterrill::LearnedState {
        self.engine.learned_state()
    }
    /// Reports whether a tenant is active.
    pub fn has_tenant(&self, name: &str) -> bool {
        let active = ActiveNames { names: &self.state.names, engine: &self.engine };
        active.tenant_index(name).is_some()
    }
    /// Returns the number of tenant indices ever allocated.
    pub fn tenant_indices(&self) -> usize {
        self.state.names.tenant_indices()
    }
}
