//! Tests of the accounts of connections.

use super::*;

/// Guards against a sender that gets a fresh account with each connection that it opens.
#[test]
fn connections_one_after_another_share_an_account() {
    let mut slots = AccountSlots::default();
    let steady = slots.take();
    let first = slots.take();
    slots.release(first);
    for _ in 0..1_000 {
        let next = slots.take();
        assert_eq!(next, first);
        assert_ne!(next, steady);
        slots.release(next);
    }
    assert!(is_connection_account(first.caller()));
    for queue_account in [0, u64::from(u32::MAX), 1 << 63, u64::MAX] {
        assert!(!is_connection_account(CallerId(queue_account)), "{queue_account:x}");
    }
}
