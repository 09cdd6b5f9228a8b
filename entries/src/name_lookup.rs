//! A version's instances of names, found quickly for a reader that asks for them in their order.

use crate::configuration::Configuration;
use crate::entry::{EntryKind, Name};
use std::cmp::Ordering;
use std::iter::Peekable;

/// Finds a version's instances of names: one step further where names are asked for in their order, a search otherwise.
pub struct NameLookup<'c> {
    configuration: &'c Configuration,
    methods: Names<'c>,
    tenants: Names<'c>,
}

type Names<'c> = Peekable<Box<dyn Iterator<Item = &'c Name> + 'c>>;

impl<'c> NameLookup<'c> {
    /// A lookup in this version.
    pub fn new(configuration: &'c Configuration) -> NameLookup<'c> {
        let methods: Box<dyn Iterator<Item = &Name>> = Box::new(configuration.methods.keys());
        let tenants: Box<dyn Iterator<Item = &Name>> = Box::new(configuration.tenants.keys());
        NameLookup { configuration, methods: methods.peekable(), tenants: tenants.peekable() }
    }

    /// As [`Configuration::shared_name`].
    pub fn shared_name(&mut self, kind: EntryKind, name: &str) -> Name {
        let names = match kind {
            EntryKind::Method => &mut self.methods,
            EntryKind::Tenant => &mut self.tenants,
        };
        while let Some(candidate) = names.peek() {
            match (***candidate).cmp(name) {
                Ordering::Less => drop(names.next()),
                Ordering::Equal => return Name::clone(candidate),
                Ordering::Greater => break,
            }
        }
        self.configuration.shared_name(kind, name)
    }
}
