//! Tests of the limits on connections.

use super::*;

/// Guards against a process that exceeds its memory limit because of the connections that its descriptors permit.
#[test]
fn connections_are_bounded_by_descriptors_and_by_memory() {
    assert_eq!(max_connections(512, 32), 432);
    assert_eq!(max_connections(1_024, 192), 880);
    assert_eq!(max_connections(1_048_576, 32) as u64 * CONNECTION_BYTES, 8 * 1024 * 1024);
    assert_eq!(max_connections(1, 1), 1);
    assert!(max_connections(1_048_576, 1_048_576) <= 1_048_576);
}
