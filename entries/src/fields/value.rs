//! Reading and storage of single JSON values.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;

/// The value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array or an object; what it contains is not stored.
    Nested,
}

/// The strictness with which fields are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strictness {
    /// Skips unknown fields, and optional fields of a wrong type that have no effect. For the platform's files.
    #[default]
    Lenient,
    /// Rejects fields that are unknown or malformed, and parses numbers exactly. For steps; requires a text in memory.
    Strict,
}

/// Handler for a JSON value of any type.
pub trait JsonHandler: Sized {
    /// The result of handling a value.
    type Output;

    /// Handles a scalar, and by default also an array or object, as [`FieldValue::Nested`].
    ///
    /// # Errors
    /// Returns an error if the handler rejects the value.
    fn scalar<E: Error>(self, value: FieldValue) -> Result<Self::Output, E>;

    /// Handles an array; skips it by default.
    ///
    /// # Errors
    /// Returns the errors of the deserializer and of the handler.
    fn array<'d, A: SeqAccess<'d>>(self, mut array: A) -> Result<Self::Output, A::Error> {
        while array.next_element::<IgnoredAny>()?.is_some() {}
        self.scalar(FieldValue::Nested)
    }

    /// Handles an object; skips it by default.
    ///
    /// # Errors
    /// Returns the errors of the deserializer and of the handler.
    fn object<'d, A: MapAccess<'d>>(self, mut object: A) -> Result<Self::Output, A::Error> {
        while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        self.scalar(FieldValue::Nested)
    }
}

/// Adapter that lets a handler read a value from any deserializer.
pub struct JsonSeed<H>(pub H);

impl<'d, H: JsonHandler> DeserializeSeed<'d> for JsonSeed<H> {
    type Value = H::Output;

    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<H::Output, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'d, H: JsonHandler> Visitor<'d> for JsonSeed<H> {
    type Value = H::Output;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Number(value as f64))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Number(value as f64))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Number(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Text(value.into()))
    }

    fn visit_string<E: Error>(self, value: String) -> Result<H::Output, E> {
        self.0.scalar(FieldValue::Text(value))
    }

    fn visit_seq<A: SeqAccess<'d>>(self, array: A) -> Result<H::Output, A::Error> {
        self.0.array(array)
    }

    fn visit_map<A: MapAccess<'d>>(self, object: A) -> Result<H::Output, A::Error> {
        self.0.object(object)
    }
}

/// Handler that returns the value unchanged.
pub(crate) struct StoreValue;

impl JsonHandler for StoreValue {
    type Output = FieldValue;

    fn scalar<E: Error>(self, value: FieldValue) -> Result<FieldValue, E> {
        Ok(value)
    }
}

/// Reads the value of a field with this strictness.
impl<'d> DeserializeSeed<'d> for Strictness {
    type Value = FieldValue;

    fn deserialize<D: Deserializer<'d>>(self, from: D) -> Result<FieldValue, D::Error> {
        match self {
            Strictness::Lenient => JsonSeed(StoreValue).deserialize(from),
            Strictness::Strict => {
                let text = <&RawValue>::deserialize(from)?.get();
                read_exactly(text).map_err(D::Error::custom)
            }
        }
    }
}

/// Reads a value from its text. Numbers are parsed by the standard library, as those of the JSON parser may be off in
/// the last bit.
fn read_exactly(text: &str) -> Result<FieldValue, serde_json::Error> {
    let is_number = text.starts_with(|c: char| c == '-' || c.is_ascii_digit());
    match text.parse::<f64>() {
        Ok(number) if is_number && number.is_finite() => Ok(FieldValue::Number(number)),
        _ => JsonSeed(StoreValue).deserialize(&mut serde_json::Deserializer::from_str(text)),
    }
}
