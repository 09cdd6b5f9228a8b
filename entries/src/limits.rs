//! Limits of a configuration version. Messages call the limit of a list its bound and give its short name, such as
//! `bound TENANTS`.

use asterrill::Us;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of methods in a version.
pub const MAX_METHODS: usize = 20_000;

/// Maximum number of tenants in a version.
pub const MAX_TENANTS: usize = 200_000;

/// Maximum number of gauges in a version.
pub const MAX_GAUGES: usize = 64;

/// Maximum number of changes in a step: the removal of every entry, the addition of as many, and the global settings.
pub const MAX_CHANGES: usize = 2 * (MAX_METHODS + MAX_TENANTS) + 1;

/// Maximum number of cores, servers or callers, and maximum weight or rate.
pub const MAX_SETTING_VALUE: f64 = 1e9;

/// Maximum duration in microseconds, 31 years; longer durations are reduced to it. It keeps sums of durations and
/// points in time far from overflow.
pub const MAX_DURATION_US: Us = 1_000_000_000_000_000;

/// Maximum memory limit in megabytes (1 TiB), and maximum number of file descriptors.
pub const MAX_RESOURCE_LIMIT: f64 = 1_048_576.0;

/// Maximum length of the part of an unknown key or keyword that a message quotes, in characters.
pub(crate) const MAX_QUOTED_CHARS: usize = 64;

/// The key of the deployment's memory limit, as messages name it.
pub const MEMORY_LIMIT_KEY: &str = "limits.memory_mb";

/// The key of the deployment's limit of file descriptors, as messages name it.
pub const SOCKET_LIMIT_KEY: &str = "limits.sockets";
