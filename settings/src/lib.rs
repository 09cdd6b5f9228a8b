//! Reading of operators' settings. A deployment file or the platform's JSON is parsed into a
//! [`Configuration`](asterrill_entries::Configuration), from which the parts of the decision module are built. The crate makes
//! no load control decisions.

#![warn(missing_docs)]

mod bounded_read;
mod deployment;
mod error;
pub mod json;
mod platform_settings;
mod server_parts;

pub use deployment::Deployment;
pub use error::{SettingsError, MAX_FILE_BYTES};
pub use server_parts::{
    configuration_from_json, global_parts, server_parts, server_parts_from_json, GlobalParts, ServerParts,
};
