//! One simulated server: its decision module, and the ids of the method and tenant names on the wire.

use crate::error::WireError;
use asterrill::{Control, MethodId, Us};
use asterrill_entries::Name;
use asterrill_settings::json::{integer, object};
use asterrill_settings::server_parts_from_json;
use serde_json::Value;
use std::collections::BTreeMap;

/// One simulated server.
pub struct Instance {
    pub(crate) control: Control,
    methods: BTreeMap<Name, MethodId>,
    tenants: BTreeMap<Name, usize>,
}

impl Instance {
    /// Creates a server from its `NewInstance` item.
    pub fn new(now: Us, item: &Value) -> Result<Instance, WireError> {
        let (seed, settings) = (integer(item, "Nonce64")?, object(item, "Params")?);
        let server = server_parts_from_json(now, seed, settings, None)?;
        let methods = server.methods.into_iter().enumerate();
        let tenants = server.tenants.into_iter().enumerate();
        Ok(Instance {
            control: server.control,
            methods: methods.map(|(index, name)| (name, MethodId(index))).collect(),
            tenants: tenants.map(|(index, name)| (name, index)).collect(),
        })
    }

    /// Returns the method of this name.
    pub fn method(&self, name: &str) -> Result<MethodId, WireError> {
        self.methods.get(name).copied().ok_or_else(|| WireError::UnknownMethod(name.into()))
    }

    /// Returns the tenant of this name, if the settings contain it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}
