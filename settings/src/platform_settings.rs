//! A streaming reader of the platform's settings. It parses entries without building a tree and without a copy of the text.

use crate::error::SettingsError;
use asterrill_entries::fields::{
    read_fields, FieldValue, GlobalFields, JsonHandler, JsonSeed, ObjectFields, Strictness, METHOD_KEYS,
    SETTINGS_KEYS, TENANT_KEYS,
};
use asterrill_entries::{
    ConfigError, Configuration, EntryKind, GlobalSettings, Method, Name, NameLookup, MAX_METHODS, MAX_TENANTS,
};
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess};
use serde_json::Value;

/// The platform's settings, with methods and tenants in list order.
pub(crate) struct PlatformSettings {
    pub(crate) globals: GlobalSettings,
    pub(crate) methods: Vec<(Name, Method)>,
    /// The tenants with their quotas in RPCs per second.
    pub(crate) tenants: Vec<(Name, f64)>,
}

impl PlatformSettings {
    /// Reads settings from a JSON tree.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the invalid key.
    pub(crate) fn from_value(settings: &Value) -> Result<PlatformSettings, SettingsError> {
        let mut reader = PlatformSettingsReader::new(None);
        JsonSeed(&mut reader).deserialize(settings)?;
        reader.finish()
    }
}

/// Reads a settings object. As a handler, it returns whether the value was an object.
pub(crate) struct PlatformSettingsReader<'r> {
    /// The names of the running version, which are shared with it.
    running_names: Option<NameLookup<'r>>,
    pub(crate) globals: GlobalFields,
    methods: Vec<(Name, Method)>,
    tenants: Vec<(Name, f64)>,
    /// Whether the object has a list of methods.
    has_method_list: bool,
}

impl<'r> PlatformSettingsReader<'r> {
    /// Creates a reader that shares names with `running`.
    pub(crate) fn new(running: Option<&'r Configuration>) -> PlatformSettingsReader<'r> {
        PlatformSettingsReader {
            running_names: running.map(NameLookup::new),
            globals: GlobalFields::new(Strictness::Lenient),
            methods: Vec::new(),
            tenants: Vec::new(),
            has_method_list: false,
        }
    }

    /// Returns the settings that were read.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the invalid key.
    pub(crate) fn finish(mut self) -> Result<PlatformSettings, SettingsError> {
        let globals = self.globals.settings(None)?;
        if !self.has_method_list || self.methods.is_empty() {
            return Err(SettingsError::invalid_field(EntryKind::Method.list_key()));
        }
        let skip_value_ratios =
            self.globals.skip_value_ratios().iter().copied().chain(std::iter::repeat(0.0));
        for ((_, method), skip_value_ratio) in self.methods.iter_mut().zip(skip_value_ratios) {
            method.skip_value_ratio = skip_value_ratio;
        }
        Ok(PlatformSettings { globals, methods: self.methods, tenants: self.tenants })
    }

    fn shared_name(&mut self, kind: EntryKind, name: &str) -> Name {
        match &mut self.running_names {
            Some(running) => running.shared_name(kind, name),
            None => name.into(),
        }
    }

    /// Adds one entry. Entries beyond the maximum are rejected as they are read, before they take memory.
    fn add_entry(&mut self, kind: EntryKind, fields: &ObjectFields) -> Result<(), ConfigError> {
        let name = self.shared_name(kind, fields.entry_name(kind)?);
        let is_full = match kind {
            EntryKind::Method => self.methods.len() >= MAX_METHODS,
            EntryKind::Tenant => self.tenants.len() >= MAX_TENANTS,
        };
        if is_full {
            return Err(ConfigError::too_many_entries(kind));
        }
        match kind {
            EntryKind::Method => {
                let method = fields.method().map_err(|error| error.in_entry(kind, &name))?;
                self.methods.push((name, method));
            }
            EntryKind::Tenant => {
                let quota = fields.quota().map_err(|error| error.in_entry(kind, &name))?;
                self.tenants.push((name, quota));
            }
        }
        Ok(())
    }
}

impl JsonHandler for &mut PlatformSettingsReader<'_> {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        read_fields(object, SETTINGS_KEYS, Strictness::Lenient, |key, object| {
            match key.name {
                "Categories" => {
                    let list = EntryList { kind: EntryKind::Method, reader: self };
                    self.has_method_list = object.next_value_seed(JsonSeed(list))?;
                }
                "Tenants" => {
                    let list = EntryList { kind: EntryKind::Tenant, reader: self };
                    object.next_value_seed(JsonSeed(list))?;
                }
                _ => self.globals.read(key, object)?,
            }
            Ok(())
        })?;
        Ok(true)
    }
}

/// Reads a list of methods or tenants. As a handler, it returns whether the value was a list.
struct EntryList<'l, 'r> {
    kind: EntryKind,
    reader: &'l mut PlatformSettingsReader<'r>,
}

impl EntryList<'_, '_> {
    /// Returns the field names of an entry. Methods lack the last one, `SkipWorth`, which the platform lists in `FamilyInfo`.
    fn entry_keys(&self) -> &'static [&'static str] {
        match self.kind {
            EntryKind::Method => METHOD_KEYS.split_last().map_or(METHOD_KEYS, |(_, others)| others),
            EntryKind::Tenant => TENANT_KEYS,
        }
    }
}

impl JsonHandler for EntryList<'_, '_> {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn array<'d, A: SeqAccess<'d>>(self, mut array: A) -> Result<bool, A::Error> {
        let mut fields = ObjectFields::new(self.entry_keys(), Strictness::Lenient);
        while array.next_element_seed(JsonSeed(&mut fields))?.is_some() {
            self.reader.add_entry(self.kind, &fields).map_err(A::Error::custom)?;
        }
        Ok(true)
    }
}
