//! Versions of a backend's configuration, and the steps that lead from one version to the next. The crate performs no
//! I/O: it reads and writes text, and callers handle files and sockets.
//!
//! A [`Configuration`] is one version: its [`GlobalSettings`], and its methods and tenants by name. Versions are
//! immutable values; [`Configuration::apply`] creates the next one. Versions share their common entries, so a history
//! costs only its differences. Each name is stored once and shared by all versions that contain it.
//!
//! * Input: a [`Step`] as text ([`read_step`]), a complete version as text ([`read_configuration`]), or the platform's
//!   JSON, which `asterrill-settings` reads with the help of [`fields`].
//! * Output: the changes between two versions ([`Configuration::changes_to`]), and steps and versions as text.
//!
//! Guarantees:
//! * A step is applied completely or not at all. An error names the invalid key, and leaves the version unchanged.
//! * Versions with equal contents have equal [`Digest`]s, whatever steps or files led to them.
//! * `a.apply(&a.changes_to(&b))` is `b`, and the cost of `changes_to` is proportional to the difference.
//! * Every list has a limit, and the error for a list that is too long names that limit: [`MAX_METHODS`],
//!   [`MAX_TENANTS`], [`MAX_GAUGES`], [`MAX_CHANGES`].
//!
//! ```
//! use asterrill_entries::{read_step, Configuration, GlobalSettings};
//!
//! let empty = Configuration::new(GlobalSettings { cores: 4, ..GlobalSettings::default() });
//! let first = read_step(
//!     r#"{"put":"method","Name":"look-up","AimMs":800,"DeadlineMs":2000,"Effect":"free","Worth":1}
//!        {"put":"tenant","Name":"acme","QuotaRps":100}"#,
//!     &empty,
//! )?;
//! let running = empty.apply(&first.changes)?;
//! let step = read_step(r#"{"put":"tenant","Name":"acme","QuotaRps":120}"#, &running)?;
//! let next = running.apply(&step.changes)?;
//! assert_eq!((running.tenant("acme"), next.tenant("acme")), (Some(100.0), Some(120.0)));
//! // A rollback restores exactly the earlier version.
//! let rolled_back = next.apply(&next.changes_to(&running))?;
//! assert_eq!(rolled_back.digest(), running.digest());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![warn(missing_docs)]

mod apply;
mod change;
mod configuration;
mod diff;
mod digest;
mod encode;
mod entry;
mod error;
pub mod fields;
mod globals;
mod keywords;
mod limits;
mod name_lookup;
mod read;
mod step_line;
mod time;
mod validation;
mod write;

pub use asterrill::Method;
pub use change::{Change, Step};
pub use configuration::Configuration;
pub use digest::{Digest, InvalidDigest};
pub use entry::{EntryKind, Name};
pub use error::{ConfigError, StepError};
pub use globals::{GlobalSettings, UpstreamKind};
pub use limits::{
    MAX_CHANGES, MAX_DURATION_US, MAX_GAUGES, MAX_METHODS, MAX_NAME_BYTES, MAX_RESOURCE_LIMIT,
    MAX_SETTING_VALUE, MAX_TENANTS, MEMORY_LIMIT_KEY, SOCKET_LIMIT_KEY,
};
pub use name_lookup::NameLookup;
pub use read::{read_configuration, read_step};
pub use time::micros_from_millis;
pub use write::{write_configuration, write_step};
