//! How many connections and upstream links there is room for with so many file descriptors.

/// Descriptors that are not for connections: 13 are in use without a sidecar or an upstream link.
const RESERVED_DESCRIPTORS: u64 = 16;
/// One in so many descriptors is for an upstream link.
const DESCRIPTORS_PER_UPSTREAM_LINK: u64 = 8;
/// Upstream links at the least, so that a call can go by another than the one before.
const MIN_UPSTREAM_LINKS: u64 = 2;
/// Upstream links at the most; each has its coroutine.
const MAX_UPSTREAM_LINKS: u64 = 1_024;

/// Upstream links for so many descriptors.
pub fn upstream_links(descriptors: u64) -> u64 {
    (descriptors / DESCRIPTORS_PER_UPSTREAM_LINK).clamp(MIN_UPSTREAM_LINKS, MAX_UPSTREAM_LINKS)
}

/// Connections of sidecars at the most for so many descriptors.
pub fn max_connections(descriptors: u64) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS + upstream_links(descriptors)).max(1) as usize
}
