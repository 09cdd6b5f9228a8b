//! Changes to a version, and the steps that group them.

use crate::digest::Digest;
use crate::entry::{EntryKind, Name};
use crate::globals::GlobalSettings;
use asterrill::Method;
use std::sync::Arc;

/// One change to a version. A step contains at most one change per key, so the order of changes does not matter.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Replaces the global settings.
    SetGlobals(Arc<GlobalSettings>),
    /// Adds or replaces a method.
    PutMethod(Name, Method),
    /// Removes a method.
    RemoveMethod(Name),
    /// Adds or replaces a tenant, with its quota in RPCs per second across the whole fleet.
    PutTenant(Name, f64),
    /// Removes a tenant.
    RemoveTenant(Name),
}

impl Change {
    /// Returns the kind and name of the entry that the change concerns, or `None` for the global settings.
    pub fn key(&self) -> Option<(EntryKind, &Name)> {
        match self {
            Change::SetGlobals(_) => None,
            Change::PutMethod(name, _) | Change::RemoveMethod(name) => Some((EntryKind::Method, name)),
            Change::PutTenant(name, _) | Change::RemoveTenant(name) => Some((EntryKind::Tenant, name)),
        }
    }

    /// Reports whether the change removes an entry.
    pub(crate) fn is_removal(&self) -> bool {
        matches!(self, Change::RemoveMethod(_) | Change::RemoveTenant(_))
    }
}

/// A set of changes that leads from one version to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// The number of the version that the step applies to; `None` for the running version, whichever that is.
    pub base: Option<u64>,
    /// The digest of that version; `None` if the digest is not to be checked.
    pub hash: Option<Digest>,
    /// The changes, at most one per key.
    pub changes: Vec<Change>,
}
