//! Unit tests of deadlines, the prefetch window and remembered settlements.

use super::harness::{MS, S};
use crate::dedup::{ChannelNumber, EarlierSettlement, MessageIdentity, SettledMessages, SettlementSending};
use crate::prefetch::{PrefetchSignals, PrefetchWindow};
use asterrill::Us;
use asterrill_protocol::amqp::{MessageProperties, Settlement};

#[test]
fn deadline_is_the_earliest_bound_and_tolerates_clock_skew() {
    use crate::deadline::deadline;
    let now = 1_000 * S;
    let deadline_with = |expiration: &str, timestamp| {
        let expiration = Some(expiration.to_string()).filter(|text| !text.is_empty());
        deadline(now, &MessageProperties { expiration, timestamp, ..MessageProperties::default() }, 30 * S)
    };
    assert_eq!(deadline_with("", None), Some(now + 30 * S));
    assert_eq!(deadline_with("5000", None), Some(now + 5 * S));
    assert_eq!(deadline_with("60000", None), Some(now + 30 * S));
    assert_eq!(deadline_with("5000", Some(998)), Some(now + 4 * S));
    // The clock of the publisher is ahead.
    assert_eq!(deadline_with("5000", Some(5_000)), Some(now + 6 * S));
    assert_eq!(deadline_with("5000", Some(900)), None);
    assert_eq!(deadline_with("99999999999999999999", Some(900)), Some(now + 30 * S));
    assert_eq!(deadline_with("soon", None), Some(now + 30 * S));
    assert_eq!(deadline_with("0", None), None);
}

#[test]
fn prefetch_window_doubles_and_limits_its_rate_of_change() {
    let signals = |credit: f64| PrefetchSignals {
        credit: Some(credit),
        cores: 2.0,
        memory_capacity: 1e3,
        unsettled: 0,
        waiting: 0,
    };
    let mut window = PrefetchWindow::new(0, 64);
    let mut sizes = Vec::new();
    for n in 0..100 {
        if window.update(S + n * 100 * MS, signals(20.0)) {
            sizes.push(window.get());
        }
    }
    assert_eq!(sizes, [1, 2, 4, 8, 16, 32]);
    // If the credit alternates at every update, the window still changes at most twice a second.
    let mut changes = 0;
    for n in 0..100 {
        changes += usize::from(window.update(20 * S + n * 100 * MS, signals([0.0, 20.0][n as usize % 2])));
    }
    assert!(changes <= 20, "{changes}");
    let mut window = PrefetchWindow::new(0, 64);
    assert!(window.update(S, signals(0.4)) && window.get() == 1, "a credit below 1 allows one delivery");
    assert!(window.update(S + 1, signals(0.0)) && window.get() == 0, "the window drops to 0 at once");
    assert!(
        !window.update(S + 500 * MS, signals(9.0)),
        "the window does not grow within a second after a change"
    );
    assert!(window.update(2 * S + 1, signals(9.0)) && window.get() == 1);
    let mut window = PrefetchWindow::new(0, 64);
    for n in 1..8 {
        window.update(n * S, signals(20.0));
    }
    let many_waiting = PrefetchSignals { unsettled: 30, waiting: 20, ..signals(20.0) };
    assert!(
        window.update(20 * S, many_waiting) && window.get() == 16,
        "the window is halved while more than half of the deliveries wait"
    );
    let little_memory = PrefetchSignals { memory_capacity: 3.0, ..signals(20.0) };
    assert!(window.update(30 * S, little_memory) && window.get() == 2);
}

#[test]
fn settled_messages_are_bounded_in_number_and_time() {
    let mut settled = SettledMessages::new(10 * S, 100);
    let (current, later) = (ChannelNumber(1), ChannelNumber(2));
    let sent = SettlementSending::SentOn(current);
    let known = |settlement| Some(EarlierSettlement::Known(settlement));
    for n in 0..1_000_u128 {
        settled.insert(n as Us, MessageIdentity::MessageId(n), Settlement::Ack, sent);
    }
    assert_eq!(settled.len(), 100);
    assert_eq!(
        (
            settled.take(999, MessageIdentity::MessageId(0), later),
            settled.take(999, MessageIdentity::MessageId(950), later)
        ),
        (None, known(Settlement::Ack))
    );
    settled.insert(999, MessageIdentity::MessageId(950), Settlement::Reject, sent);
    assert_eq!(
        settled.take(999, MessageIdentity::MessageId(950), later),
        known(Settlement::Ack),
        "the first settlement is remembered"
    );
    assert_eq!((settled.take(11 * S, MessageIdentity::MessageId(999), later), settled.len()), (None, 0));
    let content = MessageIdentity::Content(1);
    settled.insert(0, content, Settlement::Ack, SettlementSending::NotSent);
    settled.insert(0, content, Settlement::Reject, SettlementSending::NotSent);
    let settlements = [(); 3].map(|()| settled.take(1, content, current));
    assert_eq!((settlements, settled.len()), ([known(Settlement::Ack), known(Settlement::Reject), None], 0));
    settled.insert(0, content, Settlement::Ack, sent);
    assert_eq!(settled.take(1, content, current), None, "nothing of an open channel is redelivered");
    settled.insert(0, content, Settlement::Reject, SettlementSending::NotSent);
    let earlier = [(); 3].map(|()| settled.take(1, content, later));
    assert_eq!(earlier, [known(Settlement::Reject), Some(EarlierSettlement::Uncertain), None]);
    settled.insert(0, content, Settlement::Ack, sent);
    settled.forget_read(current, settled.last_sequence());
    assert_eq!(settled.take(1, content, later), None, "the broker has read the settlement");
}
