//! Streaming reader for the platform's JSON fields, from any deserializer and without building a tree. It stores the
//! scalars of expected fields and skips everything else. Values are interpreted afterwards, with errors that name the
//! field.

mod entry;
mod family_info;
mod global;
mod merge;
mod object;
mod value;

pub use entry::{METHOD_KEYS, TENANT_KEYS};
pub use global::{GlobalFields, SETTINGS_KEYS};
pub use object::{read_fields, FieldKey, ObjectFields};
pub use value::{FieldValue, JsonHandler, JsonSeed, Strictness};
