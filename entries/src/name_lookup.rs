//! Lookup of a version's instances of names, fast for readers that request them in sorted order.

use crate::configuration::Configuration;
use crate::entry::{EntryKind, Name};
use std::cmp::Ordering;
use std::iter::Peekable;

/// Lookup of a version's instances of names. Names requested in sorted order are found by advancing an iterator,
/// others by a search.
pub struct NameLookup<'c> {
    configuration: &'c Configuration,
    methods: Names<'c>,
    tenants: Names<'c>,
}

type Names<'c> = Peekable<Box<dyn Iterator<Item = &'c Name> + 'c>>;

impl<'c> NameLookup<'c> {
    /// Creates a lookup in this version.
    pub fn new(configuration: &'c Configuration) -> NameLookup<'c> {
        let methods: Box<dyn Iterator<Item = &Name>> = Box::new(configuration.methods.keys());
        let tenants: Box<dyn Iterator<Item = &Name>> = Box::new(configuration.tenants.keys());
        NameLookup { configuration, methods: methods.peekable(), tenants: tenants.peekable() }
    }

    /// Returns the same as [`Configuration::shared_name`].
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
