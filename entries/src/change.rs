//! Changes of a version, and steps made of them.

use crate::digest::Digest;
use crate::entry::{EntryKind, Name};
use crate::globals::GlobalSettings;
use asterrill::Method;
use std::sync::Arc;

/// One change of a version. A step contains at most one change per key, so that their order does not matter.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Replaces the global settings.
    SetGlobals(Arc<GlobalSettings>),
    /// Adds or replaces a method.
    PutMethod(Name, Method),
    /// Removes a method.
    RemoveMethod(Name),
    /// Adds or replaces a tenant, with its quota in RPCs a second over the whole fleet.
    PutTenant(Name, f64),
    /// Removes a tenant.
    RemoveTenant(Name),
}

impl Change {
    /// The entry that it changes; `None` for the global settings.
    pub fn key(&self) -> Option<(EntryKind, &Name)> {
        match self {
            Change::SetGlobals(_) => None,
            Change::PutMethod(name, _) | Change::RemoveMethod(name) => Some((EntryKind::Method, name)),
            Change::PutTenant(name, _) | Change::RemoveTenant(name) => Some((EntryKind::Tenant, name)),
        }
    }

    /// Whether it removes an entry.
    pub(crate) fn is_removal(&self) -> bool {
        matches!(self, Change::RemoveMethod(_) | Change::RemoveTenant(_))
    }
}

/// What leads from one version to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// The number of the version that it applies to; `None` for whichever is running.
    pub base: Option<u64>,
    /// The digest of that version; `None` where it is not checked.
    pub hash: Option<Digest>,
    /// The changes, each key at most once.
    pub changes: Vec<Change>,
}
