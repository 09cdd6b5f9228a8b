//! What a version of a backend's settings says, entry by entry, and the steps that lead from one version to the next. Free of
//! I/O: text comes in and goes out, files and sockets are the callers'.
//!
//! A [`Configuration`] is one version: its [`GlobalSettings`] (the few scalars), its methods and its tenants by name. Versions are values:
//! one is never changed, [`Configuration::apply`] makes the next one, and the two share all that they have in common, so that a
//! history costs its differences. Names are held once, by whoever knows them.
//!
//! * In: a [`Step`] as text ([`read_step`]), a whole version as text ([`read_configuration`]), or the platform's JSON, which
//!   `asterrill-settings` reads by [`fields`].
//! * Out: what differs between two versions ([`Configuration::changes_to`]), and text of either kind.
//!
//! Promises:
//! * A step is in force whole or not at all; a refusal names the key at fault, and the version stays what it was.
//! * The same meaning has the same [`Digest`], whatever steps or files led there.
//! * `a.apply(&a.changes_to(&b))` is `b`, and `changes_to` costs what differs.
//! * Every list has a bound, and one that is too long is refused by the bound's name: [`MAX_METHODS`], [`MAX_TENANTS`],
//!   [`MAX_GAUGES`], [`MAX_CHANGES`].
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
//! // Undone, it is exactly what it was.
//! let undone = next.apply(&next.changes_to(&running))?;
//! assert_eq!(undone.digest(), running.digest());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod content;
mod fault;
pub mod fields;
mod frame;
#[cfg(test)]
mod tests;
mod text;

pub use asterrill::Method;
pub use content::{check_method, check_name, Change, Configuration, Digest, NameLookup};
pub use fault::{ConfigError, EntryKind, StepError};
pub use frame::{GlobalSettings, UpstreamKind};
pub use text::{read_configuration, read_step, write_configuration, write_step, Step};

/// The name of a method or tenant, 1 to [`MAX_NAME_BYTES`] bytes, shared by all who know it.
pub type Name = std::sync::Arc<str>;

/// Bytes of a name at the most.
pub const MAX_NAME_BYTES: usize = 128;
/// Methods of a version at the most.
pub const MAX_METHODS: usize = 20_000;
/// Tenants of a version at the most.
pub const MAX_TENANTS: usize = 200_000;
/// Gauges of a frame at the most.
pub const MAX_GAUGES: usize = 64;
/// Changes of a step at the most: all that there may be, each put or taken.
pub const MAX_CHANGES: usize = 2 * (MAX_METHODS + MAX_TENANTS) + 1;
/// Greater numbers of cores, servers and callers, and greater worths and rates, are refused.
pub const MAX_FIGURE: f64 = 1e9;
/// Longer spans are taken for this one, 31 years in microseconds: sums of them and of moments stay far from their type's
/// end.
pub const MAX_DURATION: asterrill::Us = 1_000_000_000_000_000;
/// A terabyte, in megabytes, or a million descriptors, at the most.
pub const MAX_MACHINE_LIMIT: f64 = 1_048_576.0;
/// What the deployment grants, as messages name it.
pub const MEMORY_LIMIT_KEY: &str = "limits.memory_mb";
/// As [`MEMORY_LIMIT_KEY`].
pub const SOCKET_LIMIT_KEY: &str = "limits.sockets";
