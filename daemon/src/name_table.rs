//! Where each method and each tenant stands. A name is held once, by all who know it; places never move while they
//! are known. Which of them are in force is the module's to say: a name whose terms are staged is found here already,
//! and one that was taken still is, until the change that took it is settled.

use asterrill::{Idempotency, MethodId, SettingsUpdate, Us};
use asterrill_entries::{Change, Name, MAX_METHODS};
use asterrill_settings::ServerParts;
use rustc_hash::FxHashMap;

/// Of one method, by the version in force.
#[derive(Clone, Debug)]
struct Of {
    name: Name,
    effect: Idempotency,
    target: Us,
}

/// What the surroundings of the module need to know of its settings.
pub struct NameTable {
    /// By their places. A place stays for good, also that of a method that was taken: what is in hand ends at it.
    methods: Vec<Of>,
    of_methods: FxHashMap<Name, MethodId>,
    tenants: FxHashMap<Name, usize>,
    /// Places of tenants that there ever were, and those of them that nobody has any more.
    places: usize,
    free: Vec<usize>,
    /// Tenants that were taken by a change that is not settled yet.
    taken: Vec<Name>,
    /// Of methods whose terms are staged: what comes into force with them.
    staged: Vec<(MethodId, Idempotency, Us)>,
    /// Tenants are told apart, by the version in force.
    pub tells_tenants: bool,
    pub gauges: Vec<String>,
}

impl NameTable {
    pub fn new(server: &mut ServerParts) -> NameTable {
        let (names, tenants) = (std::mem::take(&mut server.methods), std::mem::take(&mut server.tenants));
        let of_methods = names.iter().cloned().zip((0..).map(MethodId)).collect();
        let of = |((name, effect), target): ((Name, &Idempotency), &Us)| Of {
            name,
            effect: *effect,
            target: *target,
        };
        let methods = names.into_iter().zip(&server.effects).zip(&server.latency_targets).map(of).collect();
        let (places, tells_tenants) = (tenants.len(), !tenants.is_empty());
        let tenants = tenants.into_iter().zip(0..).collect();
        let gauges = std::mem::take(&mut server.gauges);
        let (free, taken, staged) = (Vec::new(), Vec::new(), Vec::new());
        NameTable { methods, of_methods, tenants, places, free, taken, staged, tells_tenants, gauges }
    }

    /// The place of a method, whether it is in force or not.
    pub fn method(&self, name: &str) -> Option<MethodId> {
        self.of_methods.get(name).copied()
    }
    /// The place of a tenant, whether it is in force or not.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
    pub fn name(&self, method: MethodId) -> Option<&Name> {
        self.methods.get(method.0).map(|of| &of.name)
    }
    pub fn effect(&self, method: MethodId) -> Option<Idempotency> {
        self.methods.get(method.0).map(|of| of.effect)
    }
    pub fn target(&self, method: MethodId) -> Option<Us> {
        self.methods.get(method.0).map(|of| of.target)
    }
    /// All methods that there ever were.
    pub fn methods(&self) -> impl Iterator<Item = MethodId> {
        (0..self.methods.len()).map(MethodId)
    }
    /// All tenants that are known, in force or not.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, usize)> {
        self.tenants.iter().map(|(name, place)| (name, *place))
    }
    /// Places of tenants that there ever were.
    #[cfg(test)]
    pub fn places(&self) -> usize {
        self.places
    }

    /// Whether there are places for all methods that a change names.
    pub fn could_take(&self, changes: &[Change]) -> Result<(), String> {
        let put = |change: &&Change| matches!(change, Change::PutMethod(..));
        // That none of them is known is the worst that can be: mostly there is room even so.
        if self.methods.len() + changes.iter().filter(put).count() <= MAX_METHODS {
            return Ok(());
        }
        let fresh =
            |change: &&Change| matches!(change, Change::PutMethod(name, _) if self.method(name).is_none());
        if self.methods.len() + changes.iter().filter(fresh).count() <= MAX_METHODS {
            return Ok(());
        }
        Err(format!("there were more than {MAX_METHODS} methods since the start: start anew"))
    }

    /// NameTable of a change get their places; hands back the terms that are to be staged there. None of them is in force
    /// by that.
    pub fn stage(&mut self, changes: &[Change]) -> Vec<SettingsUpdate> {
        changes.iter().filter_map(|change| self.place(change)).collect()
    }

    fn place(&mut self, change: &Change) -> Option<SettingsUpdate> {
        Some(match change {
            Change::SetGlobals(_) => return None,
            Change::PutMethod(name, method) => {
                let (effect, target) = (method.idempotency, method.latency_target);
                let place = match self.method(name) {
                    Some(place) => place,
                    None => {
                        let place = MethodId(self.methods.len());
                        self.methods.push(Of { name: name.clone(), effect, target });
                        self.of_methods.insert(name.clone(), place);
                        place
                    }
                };
                self.staged.push((place, effect, target));
                SettingsUpdate::Method(place, Some(method.clone()))
            }
            Change::RemoveMethod(name) => SettingsUpdate::Method(self.method(name)?, None),
            Change::PutTenant(name, rate) => {
                let place = match self.tenant(name) {
                    Some(place) => place,
                    None => {
                        let place = self.free.pop().unwrap_or_else(|| {
                            self.places += 1;
                            self.places - 1
                        });
                        self.tenants.insert(name.clone(), place);
                        place
                    }
                };
                SettingsUpdate::Tenant(place, Some(*rate))
            }
            Change::RemoveTenant(name) => {
                self.taken.push(name.clone());
                SettingsUpdate::Tenant(self.tenant(name)?, None)
            }
        })
    }

    /// What was staged is in force from now on. Hands back the targets of the methods that it named.
    pub fn change(&mut self, tells_tenants: bool) -> Vec<(MethodId, Us)> {
        self.tells_tenants = tells_tenants;
        let mut targets = Vec::with_capacity(self.staged.len());
        for (place, effect, target) in std::mem::take(&mut self.staged) {
            if let Some(of) = self.methods.get_mut(place.0) {
                (of.effect, of.target) = (effect, target);
                targets.push((place, target));
            }
        }
        targets
    }

    /// The change is settled, or was undone: the places of tenants that are over are free for others. `known`: whether
    /// the tenant at a place is in force.
    pub fn settled(&mut self, known: impl Fn(usize) -> bool) {
        for name in std::mem::take(&mut self.taken) {
            let Some(place) = self.tenant(&name).filter(|place| !known(*place)) else { continue };
            self.tenants.remove(&name);
            self.free.push(place);
        }
    }
}
