//! Parser for one line of a step or version: a JSON object that is either a header or a change.

use crate::change::Change;
use crate::configuration::Configuration;
use crate::digest::Digest;
use crate::entry::EntryKind;
use crate::error::{ConfigError, StepError};
use crate::fields::{
    read_fields, FieldValue, GlobalFields, JsonHandler, JsonSeed, ObjectFields, Strictness, METHOD_KEYS,
    TENANT_KEYS,
};
use serde::de::{DeserializeSeed, Error, MapAccess};
use std::sync::Arc;

const PUT_KEY: &str = "put";
const REMOVE_KEY: &str = "take";
const BASE_KEY: &str = "base";
const HASH_KEY: &str = "hash";
const GLOBALS_KEY: &str = "frame";

/// All keys that a line may contain.
const LINE_KEYS: &[&str] = &[
    PUT_KEY,
    REMOVE_KEY,
    "Name",
    "AimMs",
    "DeadlineMs",
    "Effect",
    "Worth",
    "LateWorth",
    "WindowMs",
    "SkipWorth",
    "QuotaRps",
    BASE_KEY,
    HASH_KEY,
    GLOBALS_KEY,
];

const RESOURCE_LIMITS_KEY: &str = "limits";

/// All keys that the global settings in a line may contain.
const GLOBALS_KEYS: &[&str] =
    &["FamilyInfo", "Safety", "Limits", "StepMs", "ReplicasOfMe", "OverShareWorth", RESOURCE_LIMITS_KEY];

/// Upper limit, exclusive, of the number of a base version: 2^53, as JSON numbers from there on are not exact.
const BASE_VERSION_LIMIT: f64 = 9_007_199_254_740_992.0;

/// A parsed line.
pub(crate) enum Line {
    /// The header: the version that a step applies to, or the digest of a complete version.
    Header {
        /// The version's number.
        base: Option<u64>,
        /// The version's digest.
        hash: Option<Digest>,
    },
    /// One change.
    Change(Change),
}

/// Parser of lines that reuses its storage from line to line.
pub(crate) struct LineReader {
    fields: ObjectFields,
    globals: Option<GlobalFields>,
}

impl LineReader {
    pub(crate) fn new() -> LineReader {
        LineReader { fields: ObjectFields::new(LINE_KEYS, Strictness::Strict), globals: None }
    }

    /// Reads the line with this number, which starts at 1. Partial global settings are completed from `base`, and
    /// names are shared with it.
    ///
    /// # Errors
    /// Returns a [`StepError`] that names the line and the mistake.
    pub(crate) fn read(
        &mut self, number: usize, text: &str, base: &Configuration,
    ) -> Result<Line, StepError> {
        self.parse(number, text)?;
        let is_header = self.fields.contains(BASE_KEY) || self.fields.contains(HASH_KEY);
        let line = match (self.fields.contains(PUT_KEY), self.fields.contains(REMOVE_KEY), &self.globals) {
            (false, false, Some(globals)) => self.globals_line(globals, base),
            (false, false, None) if is_header => self.header(),
            (true, false, None) => self.put(base),
            (false, true, None) => self.removal(base),
            _ => return Err(StepError::UnexpectedLine { line: number }),
        };
        line.map_err(|error| StepError::InvalidEntry { line: number, error })
    }

    /// Parses the fields of a line into the storage.
    fn parse(&mut self, number: usize, text: &str) -> Result<(), StepError> {
        self.globals = None;
        self.fields.clear();
        let mut from = serde_json::Deserializer::from_str(text);
        let parsed = JsonSeed(LineFields(self)).deserialize(&mut from);
        match parsed.and_then(|is_object| from.end().map(|()| is_object)) {
            Ok(true) => Ok(()),
            Ok(false) => Err(StepError::UnexpectedLine { line: number }),
            Err(error) => Err(parse_error(number, &error)),
        }
    }

    /// Returns an error if the line has a field other than `operation` and the `allowed` ones.
    fn allow_only(&self, operation: Option<&str>, allowed: &[&str]) -> Result<(), ConfigError> {
        let is_allowed = |key: &str| Some(key) == operation || allowed.contains(&key);
        match LINE_KEYS.iter().find(|key| self.fields.contains(key) && !is_allowed(key)) {
            Some(key) => Err(ConfigError::UnknownField(key.to_string())),
            None => Ok(()),
        }
    }

    fn globals_line(&self, globals: &GlobalFields, base: &Configuration) -> Result<Line, ConfigError> {
        self.allow_only(None, &[])?;
        let globals = globals.settings(Some(base.globals()))?;
        Ok(Line::Change(Change::SetGlobals(Arc::new(globals))))
    }

    fn header(&self) -> Result<Line, ConfigError> {
        self.allow_only(None, &[BASE_KEY, HASH_KEY])?;
        let base = match self.fields.optional_number(BASE_KEY)? {
            Some(number) if number.fract() != 0.0 => return Err(ConfigError::InvalidField(BASE_KEY)),
            Some(value) if value >= BASE_VERSION_LIMIT => {
                return Err(ConfigError::OutOfBounds { key: BASE_KEY, value });
            }
            number => number.map(|number| number as u64),
        };
        let hash = match self.fields.contains(HASH_KEY) {
            true => Some(self.fields.text(HASH_KEY)?.parse()?),
            false => None,
        };
        Ok(Line::Header { base, hash })
    }

    fn put(&self, base: &Configuration) -> Result<Line, ConfigError> {
        let kind = self.kind(PUT_KEY)?;
        let allowed = if kind == EntryKind::Method { METHOD_KEYS } else { TENANT_KEYS };
        self.allow_only(Some(PUT_KEY), allowed)?;
        let name = base.shared_name(kind, self.fields.entry_name(kind)?);
        let change = match kind {
            EntryKind::Method => {
                let method = self.fields.method().map_err(|error| error.in_entry(kind, &name))?;
                Change::PutMethod(name, method)
            }
            EntryKind::Tenant => {
                let quota = self.fields.quota().map_err(|error| error.in_entry(kind, &name))?;
                Change::PutTenant(name, quota)
            }
        };
        Ok(Line::Change(change))
    }

    fn removal(&self, base: &Configuration) -> Result<Line, ConfigError> {
        let kind = self.kind(REMOVE_KEY)?;
        self.allow_only(Some(REMOVE_KEY), &["Name"])?;
        let name = base.shared_name(kind, self.fields.entry_name(kind)?);
        Ok(Line::Change(match kind {
            EntryKind::Method => Change::RemoveMethod(name),
            EntryKind::Tenant => Change::RemoveTenant(name),
        }))
    }

    fn kind(&self, operation: &'static str) -> Result<EntryKind, ConfigError> {
        let keyword = self.fields.text(operation)?;
        let kinds = [EntryKind::Method, EntryKind::Tenant];
        let kind = kinds.into_iter().find(|kind| kind.keyword() == keyword);
        kind.ok_or_else(|| ConfigError::unknown_keyword(operation, keyword))
    }
}

/// Converts the parser's error to one with the number of the line in the whole text.
fn parse_error(line: usize, error: &serde_json::Error) -> StepError {
    let message = error.to_string().replace(" at line 1 column ", " at column ");
    if error.is_data() {
        StepError::InvalidField { line, message }
    } else {
        StepError::Json { line, message }
    }
}

/// Handler for the object of a line; the output reports whether the value was an object.
struct LineFields<'r>(&'r mut LineReader);

impl JsonHandler for LineFields<'_> {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        let LineReader { fields, globals } = self.0;
        read_fields(object, LINE_KEYS, Strictness::Strict, |key, object| {
            if key.name != GLOBALS_KEY {
                return fields.read_value(key.index, object);
            }
            let mut read = GlobalFields::new(Strictness::Strict);
            if !object.next_value_seed(JsonSeed(GlobalsObject(&mut read)))? {
                return Err(A::Error::custom(ConfigError::InvalidField(GLOBALS_KEY)));
            }
            *globals = Some(read);
            Ok(())
        })?;
        Ok(true)
    }
}

/// Handler for the global settings in a line; the output reports whether the value was an object.
struct GlobalsObject<'f>(&'f mut GlobalFields);

impl JsonHandler for GlobalsObject<'_> {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        read_fields(object, GLOBALS_KEYS, Strictness::Strict, |key, object| match key.name {
            RESOURCE_LIMITS_KEY => self.0.read_resource_limits(object).map(drop),
            _ => self.0.read(key, object),
        })?;
        Ok(true)
    }
}
