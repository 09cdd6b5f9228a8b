//! Limits on connections and upstream links for a given number of file descriptors and amount of memory.

/// File descriptors reserved for purposes other than sidecar connections and upstream links. A process without either
/// of these has 13 open.
const RESERVED_DESCRIPTORS: u64 = 16;
/// Ratio of the file descriptors of the process to its upstream links.
const DESCRIPTORS_PER_UPSTREAM_LINK: u64 = 8;
/// Minimum number of upstream links, so that the next call of an RPC can use another link than the previous one.
const MIN_UPSTREAM_LINKS: u64 = 2;
/// Maximum number of upstream links, each of which has its own coroutine.
const MAX_UPSTREAM_LINKS: u64 = 1_024;

/// Returns the number of upstream links for this number of file descriptors.
pub fn upstream_links(descriptors: u64) -> u64 {
    (descriptors / DESCRIPTORS_PER_UPSTREAM_LINK).clamp(MIN_UPSTREAM_LINKS, MAX_UPSTREAM_LINKS)
}

/// Divisor that gives the share of the memory limit for the stacks and the unfinished frames of sidecar connections.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;
/// Memory of a sidecar connection without its pooled buffers, in bytes: the used part of its stack, and a frame of which all
/// but the end has arrived.
const CONNECTION_BYTES: u64 = 16 * 1024;

/// Returns the maximum number of sidecar connections for this number of file descriptors and this memory limit in MB.
pub fn max_connections(descriptors: u64, memory_mb: u64) -> usize {
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS + upstream_links(descriptors));
    let by_memory = memory_mb * 1024 * 1024 / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(1) as usize
}

#[cfg(test)]
#[path = "tests/connection_limits.rs"]
mod tests;
