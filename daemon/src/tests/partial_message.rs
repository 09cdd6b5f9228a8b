//! Tests of the age of a partly received message.

use super::*;

const TIMEOUT: Us = 1_500_000;
const READ_INTERVAL: Us = 10_000;

/// Guards against the close of a connection whose peer sends so fast that each read ends within a message.
#[test]
fn messages_that_are_completed_in_time_never_time_out() {
    let mut partial = PartialMessage::default();
    for read in 0..1_000 {
        let now = read * READ_INTERVAL;
        assert!(!partial.has_timed_out(TIMEOUT, now), "read {read}");
        partial.update(ReadProgress { completed: true, has_partial: true }, now);
        assert!(partial.is_pending());
    }
}

#[test]
fn message_that_is_not_completed_times_out_however_often_parts_of_it_arrive() {
    let mut partial = PartialMessage::default();
    let timed_out_at = (0..1_000).map(|read| read * READ_INTERVAL).find(|now| {
        partial.update(ReadProgress { completed: false, has_partial: true }, *now);
        partial.has_timed_out(TIMEOUT, *now)
    });
    assert_eq!(timed_out_at, Some(TIMEOUT + READ_INTERVAL));
    partial.update(ReadProgress { completed: true, has_partial: false }, TIMEOUT * 2);
    assert!(!partial.is_pending() && !partial.has_timed_out(TIMEOUT, TIMEOUT * 9));
}
