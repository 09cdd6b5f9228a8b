//! The platform's JSON fields, read from any deserializer without building a tree: the scalars of expected fields are
//! stored, everything else is skipped. What they mean is worked out afterwards, with errors that name the field.

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
