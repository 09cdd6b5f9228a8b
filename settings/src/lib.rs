//! The operators' settings: a deployment's file or the platform's JSON, read into a
//! [`Configuration`](asterrill_entries::Configuration), and made into the parts of the decision module. No decision is
//! taken here.

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
