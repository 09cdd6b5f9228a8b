//! The scalars of one JSON object, by key.

use crate::error::ConfigError;
use crate::fields::value::{FieldValue, JsonHandler, Strictness};
use crate::keywords::{parse_keyword, Keywords};
use crate::limits::{MAX_QUOTED_CHARS, MAX_SETTING_VALUE};
use crate::time::micros_from_millis;
use asterrill::Us;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, Visitor};
use std::fmt;

/// A key that an object may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldKey {
    /// The index of the key in the list of expected keys.
    pub index: usize,
    /// The key itself.
    pub name: &'static str,
}

/// Deserializer of a key that is to be one of the expected names.
struct KeySeed {
    names: &'static [&'static str],
    strictness: Strictness,
}

impl<'d> DeserializeSeed<'d> for KeySeed {
    type Value = Option<FieldKey>;

    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<Option<FieldKey>, D::Error> {
        from.deserialize_str(self)
    }
}

impl Visitor<'_> for KeySeed {
    type Value = Option<FieldKey>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E: Error>(self, key: &str) -> Result<Option<FieldKey>, E> {
        let mut names = self.names.iter().enumerate();
        match names.find(|(_, name)| **name == key) {
            Some((index, name)) => Ok(Some(FieldKey { index, name })),
            None if self.strictness == Strictness::Strict => {
                let start = key.chars().take(MAX_QUOTED_CHARS).collect();
                Err(E::custom(ConfigError::UnknownField(start)))
            }
            None => Ok(None),
        }
    }
}

/// Reads an object. Calls `read_value`, which must read the value, for each key that is one of `names`, at most 64.
///
/// # Errors
/// Returns the errors of the deserializer and of `read_value`, and [`ConfigError::DuplicateField`], as it would be
/// ambiguous which of the two values is meant.
pub fn read_fields<'d, A: MapAccess<'d>>(
    mut object: A, names: &'static [&'static str], strictness: Strictness,
    mut read_value: impl FnMut(FieldKey, &mut A) -> Result<(), A::Error>,
) -> Result<(), A::Error> {
    let mut seen = 0_u64;
    while let Some(key) = object.next_key_seed(KeySeed { names, strictness })? {
        let Some(key) = key else {
            object.next_value::<IgnoredAny>()?;
            continue;
        };
        let bit = 1 << key.index;
        if seen & bit != 0 {
            return Err(A::Error::custom(ConfigError::DuplicateField(key.name.into())));
        }
        seen |= bit;
        read_value(key, &mut object)?;
    }
    Ok(())
}

/// The scalars of one object, by key.
#[derive(Clone, Debug)]
pub struct ObjectFields {
    names: &'static [&'static str],
    values: Vec<Option<FieldValue>>,
    strictness: Strictness,
}

impl ObjectFields {
    /// Creates storage for the fields of at most 64 names.
    pub fn new(names: &'static [&'static str], strictness: Strictness) -> ObjectFields {
        ObjectFields { names, values: vec![None; names.len()], strictness }
    }

    /// Returns how strictly values are read.
    pub(crate) fn strictness(&self) -> Strictness {
        self.strictness
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.values.fill(None);
    }

    /// Reads the value of the field with this index in the list of names.
    ///
    /// # Errors
    /// Returns the errors of the deserializer.
    pub fn read_value<'d, A: MapAccess<'d>>(&mut self, index: usize, object: &mut A) -> Result<(), A::Error> {
        let value = object.next_value_seed(self.strictness)?;
        if let Some(slot) = self.values.get_mut(index) {
            *slot = Some(value);
        }
        Ok(())
    }

    /// Reports whether the field was given, `null` included.
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    fn get(&self, name: &str) -> Option<&FieldValue> {
        let index = self.names.iter().position(|candidate| *candidate == name)?;
        self.values.get(index)?.as_ref()
    }

    /// Returns the value of a field; `null` counts as absent.
    pub fn value(&self, name: &str) -> Option<&FieldValue> {
        self.get(name).filter(|value| **value != FieldValue::Null)
    }

    /// Returns the value of a field that is a string.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if it is absent or not a string.
    pub fn text(&self, name: &'static str) -> Result<&str, ConfigError> {
        match self.get(name) {
            Some(FieldValue::Text(text)) => Ok(text),
            _ => Err(ConfigError::InvalidField(name)),
        }
    }

    /// Returns a number of 0 or more, or `None` if the field is absent or `null`.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if it is not a number, or negative.
    pub fn optional_number(&self, name: &'static str) -> Result<Option<f64>, ConfigError> {
        match self.value(name) {
            None => Ok(None),
            // Adding 0 turns -0 into 0.
            Some(FieldValue::Number(number)) if *number >= 0.0 => Ok(Some(*number + 0.0)),
            Some(_) => Err(ConfigError::InvalidField(name)),
        }
    }

    /// Returns a number of 0 or more.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if it is absent, not a number, or negative.
    pub fn number(&self, name: &'static str) -> Result<f64, ConfigError> {
        self.optional_number(name)?.ok_or(ConfigError::InvalidField(name))
    }

    /// Returns a number from 0 to [`MAX_SETTING_VALUE`], or `None` if the field is absent or `null`.
    ///
    /// # Errors
    /// Returns the errors of [`ObjectFields::optional_number`], and [`ConfigError::OutOfBounds`].
    pub fn optional_bounded_number(&self, name: &'static str) -> Result<Option<f64>, ConfigError> {
        match self.optional_number(name)? {
            Some(value) if value > MAX_SETTING_VALUE => Err(ConfigError::OutOfBounds { key: name, value }),
            value => Ok(value),
        }
    }

    /// Returns a number from 0 to [`MAX_SETTING_VALUE`].
    ///
    /// # Errors
    /// Returns the errors of [`ObjectFields::number`], and [`ConfigError::OutOfBounds`].
    pub fn bounded_number(&self, name: &'static str) -> Result<f64, ConfigError> {
        self.optional_bounded_number(name)?.ok_or(ConfigError::InvalidField(name))
    }

    /// Returns a duration, given in milliseconds, in whole microseconds up to
    /// [`MAX_DURATION_US`](crate::MAX_DURATION_US), or `None` if the field is absent or `null`.
    ///
    /// # Errors
    /// Returns the errors of [`ObjectFields::optional_number`].
    pub fn optional_duration(&self, name: &'static str) -> Result<Option<Us>, ConfigError> {
        Ok(self.optional_number(name)?.map(micros_from_millis))
    }

    /// Returns a duration, given in milliseconds, in whole microseconds up to
    /// [`MAX_DURATION_US`](crate::MAX_DURATION_US).
    ///
    /// # Errors
    /// Returns the errors of [`ObjectFields::number`].
    pub fn duration(&self, name: &'static str) -> Result<Us, ConfigError> {
        self.number(name).map(micros_from_millis)
    }

    /// Returns a boolean: `false` if the field is absent or `null`, and in lenient reading also if it is not a boolean.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] in strict reading if it is not a boolean.
    pub(crate) fn boolean(&self, name: &'static str) -> Result<bool, ConfigError> {
        match self.value(name) {
            Some(FieldValue::Bool(value)) => Ok(*value),
            Some(_) if self.strictness == Strictness::Strict => Err(ConfigError::InvalidField(name)),
            _ => Ok(false),
        }
    }

    /// Returns the value that a keyword stands for.
    ///
    /// # Errors
    /// Returns the errors of [`ObjectFields::text`], and [`ConfigError::UnknownKeyword`].
    pub(crate) fn keyword<T: Copy>(
        &self, name: &'static str, keywords: &Keywords<T>,
    ) -> Result<T, ConfigError> {
        let keyword = self.text(name)?;
        parse_keyword(keywords, keyword).ok_or_else(|| ConfigError::unknown_keyword(name, keyword))
    }

    /// Returns the value that a keyword stands for, or `None` if the field is absent or `null`.
    ///
    /// # Errors
    /// Returns [`ConfigError::InvalidField`] if it is not a string, and [`ConfigError::UnknownKeyword`].
    pub(crate) fn optional_keyword<T: Copy>(
        &self, name: &'static str, keywords: &Keywords<T>,
    ) -> Result<Option<T>, ConfigError> {
        match self.value(name) {
            None => Ok(None),
            Some(_) => self.keyword(name, keywords).map(Some),
        }
    }
}

/// Replaces all values by those of an object; the output reports whether the JSON value was one.
impl JsonHandler for &mut ObjectFields {
    type Output = bool;

    fn scalar<E: Error>(self, _: FieldValue) -> Result<bool, E> {
        self.clear();
        Ok(false)
    }

    fn object<'d, A: MapAccess<'d>>(self, object: A) -> Result<bool, A::Error> {
        self.clear();
        read_fields(object, self.names, self.strictness, |key, object| self.read_value(key.index, object))?;
        Ok(true)
    }
}
