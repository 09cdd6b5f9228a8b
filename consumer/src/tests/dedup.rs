//! Changes of the time for which settlements are remembered.

use super::harness::S;
use crate::dedup::{ChannelNumber, EarlierSettlement, MessageIdentity, SettledMessages, SettlementSending};
use asterrill::Us;
use asterrill_protocol::amqp::Settlement;

/// Remembers a settlement for `ttl`, changes the time to `new_ttl`, and returns what is known after `age`.
fn known_after(ttl: Us, new_ttl: Us, age: Us) -> Option<EarlierSettlement> {
    let mut settled = SettledMessages::new(ttl, 10);
    let message = MessageIdentity::MessageId(1);
    settled.insert(0, message, Settlement::Ack, SettlementSending::NotSent);
    settled.set_limits(new_ttl, 10);
    settled.take(age, message, ChannelNumber(1))
}

/// Guards against a second run of a message within the time in force, after a change has raised it.
#[test]
fn raised_time_to_live_holds_for_settlements_before_the_change() {
    let known = Some(EarlierSettlement::Known(Settlement::Ack));
    assert_eq!(known_after(10 * S, 60 * S, 59 * S), known);
    assert_eq!(known_after(10 * S, 60 * S, 60 * S), None);
    assert_eq!(known_after(60 * S, 10 * S, 59 * S), known, "a lowered time holds for later settlements only");
}
