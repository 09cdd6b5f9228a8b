//! Bounds of a configuration version. Messages name the bound of a list by its short name (`METHODS`, `TENANTS`, ...).

use asterrill::Us;

/// Most bytes of a name.
pub const MAX_NAME_BYTES: usize = 128;

/// Most methods of a version.
pub const MAX_METHODS: usize = 20_000;

/// Most tenants of a version.
pub const MAX_TENANTS: usize = 200_000;

/// Most gauges of a version.
pub const MAX_GAUGES: usize = 64;

/// Most changes of a step: every entry that there may be, each put or removed, and the global settings.
pub const MAX_CHANGES: usize = 2 * (MAX_METHODS + MAX_TENANTS) + 1;

/// Greatest number of cores, servers or callers, and greatest weight or rate.
pub const MAX_SETTING_VALUE: f64 = 1e9;

/// Longest duration in microseconds, 31 years; longer ones are cut to it. Sums of durations and points in time stay far
/// from the end of their type.
pub const MAX_DURATION_US: Us = 1_000_000_000_000_000;

/// Most memory in megabytes (1 TiB), and most file descriptors.
pub const MAX_RESOURCE_LIMIT: f64 = 1_048_576.0;

/// Longest part of an unknown key or word that a message repeats, in characters.
pub(crate) const MAX_QUOTED_CHARS: usize = 64;

/// The key of the memory that the deployment grants, as messages name it.
pub const MEMORY_LIMIT_KEY: &str = "limits.memory_mb";

/// The key of the file descriptors that the deployment grants, as messages name it.
pub const SOCKET_LIMIT_KEY: &str = "limits.sockets";
