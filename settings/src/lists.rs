//! The platform's settings, read as a stream into entries: no tree of the whole is made, and no copy of its text.

use crate::SettingsError;
use asterrill_entries::fields::{
    walk, Any, Fields, Form, FrameFields, Reading, Scalar, METHOD, SETTINGS, TENANT,
};
use asterrill_entries::{
    ConfigError, Configuration, EntryKind, GlobalSettings, Method, Name, NameLookup, MAX_METHODS, MAX_TENANTS,
};
use serde::de::{Error, MapAccess, SeqAccess};

/// What settings say, with methods and tenants in the order of the file.
pub(crate) struct Lists<'r> {
    /// Whose names are shared.
    running: Option<NameLookup<'r>>,
    pub frame: FrameFields,
    methods: Vec<(Name, Method)>,
    tenants: Vec<(Name, f64)>,
    /// There was a list of methods.
    listed: bool,
}

/// What was read, made out.
pub(crate) struct Told {
    pub frame: GlobalSettings,
    pub methods: Vec<(Name, Method)>,
    pub tenants: Vec<(Name, f64)>,
}

impl<'r> Lists<'r> {
    pub fn new(running: Option<&'r Configuration>) -> Lists<'r> {
        let frame = FrameFields::new(Reading::File);
        Lists {
            running: running.map(NameLookup::new),
            frame,
            methods: Vec::new(),
            tenants: Vec::new(),
            listed: false,
        }
    }

    fn name(&mut self, kind: EntryKind, name: &str) -> Name {
        match &mut self.running {
            Some(running) => running.shared_name(kind, name),
            None => name.into(),
        }
    }

    /// What was read, or the key at fault.
    pub fn told(mut self) -> Result<Told, SettingsError> {
        let frame = self.frame.frame(None)?;
        if !self.listed || self.methods.is_empty() {
            return Err(SettingsError::invalid_field("Categories"));
        }
        let shares = self.frame.skips.iter().copied().chain(std::iter::repeat(0.0));
        self.methods.iter_mut().zip(shares).for_each(|((_, method), share)| method.skip_value_ratio = share);
        Ok(Told { frame, methods: self.methods, tenants: self.tenants })
    }
}

/// Reads an object of settings; hands back whether it was one.
impl Form for &mut Lists<'_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        walk(object, SETTINGS, Reading::File, |place, object| match SETTINGS.get(place) {
            Some(&"Categories") => {
                self.listed = object.next_value_seed(Any(Entries { of: EntryKind::Method, to: self }))?;
                Ok(())
            }
            Some(&"Tenants") => {
                object.next_value_seed(Any(Entries { of: EntryKind::Tenant, to: self })).map(drop)
            }
            _ => self.frame.read(place, object),
        })?;
        Ok(true)
    }
}

/// A list of methods or tenants; hands back whether it was one.
struct Entries<'l, 'r> {
    of: EntryKind,
    to: &'l mut Lists<'r>,
}

impl Form for Entries<'_, '_> {
    type Made = bool;
    fn scalar<E: Error>(self, _: Scalar) -> Result<bool, E> {
        Ok(false)
    }
    fn list<'d, A: SeqAccess<'d>>(self, mut list: A) -> Result<bool, A::Error> {
        let (kind, lists) = (self.of, self.to);
        // A file has no SkipWorth of a method: it lists them in FamilyInfo.
        let method = METHOD.split_last().map_or(METHOD, |(_, before)| before);
        let mut fields = Fields::new(if kind == EntryKind::Method { method } else { TENANT }, Reading::File);
        while list.next_element_seed(Any(&mut fields))?.is_some() {
            lists.take(kind, &fields).map_err(A::Error::custom)?;
        }
        Ok(true)
    }
}

impl Lists<'_> {
    /// One more entry: too many are found as they come, before they take room.
    fn take(&mut self, kind: EntryKind, fields: &Fields) -> Result<(), ConfigError> {
        let name = self.name(kind, fields.name(kind)?);
        let of = |why: ConfigError| why.in_entry(kind, &name);
        match kind {
            EntryKind::Method if self.methods.len() >= MAX_METHODS => {
                return Err(ConfigError::too_many_entries(kind))
            }
            EntryKind::Tenant if self.tenants.len() >= MAX_TENANTS => {
                return Err(ConfigError::too_many_entries(kind))
            }
            EntryKind::Method => {
                let method = fields.method(0.0).map_err(of)?;
                self.methods.push((name, method));
            }
            EntryKind::Tenant => {
                let rate = fields.quota().map_err(of)?;
                self.tenants.push((name, rate));
            }
        }
        Ok(())
    }
}
