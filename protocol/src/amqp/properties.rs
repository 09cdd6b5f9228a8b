//! Property tables: the client's own, and those of messages read into [`MessageProperties`].

use super::message::MessageProperties;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};
use std::collections::BTreeMap;

/// What the client can do beyond the specification.
const CAPABILITIES: [&str; 4] =
    ["publisher_confirms", "consumer_cancel_notify", "basic.nack", "connection.blocked"];

/// The client properties of `connection.start-ok` (1.4.2.2).
pub(super) fn client_properties() -> FieldTable {
    let mut capabilities = FieldTable::default();
    for name in CAPABILITIES {
        capabilities.insert(name.into(), AMQPValue::Boolean(true));
    }
    let mut table = FieldTable::default();
    table.insert("product".into(), AMQPValue::LongString("asterrill".into()));
    table.insert("version".into(), AMQPValue::LongString(env!("CARGO_PKG_VERSION").into()));
    table.insert("capabilities".into(), AMQPValue::FieldTable(capabilities));
    table
}

/// The properties of a message; headers of other types than texts and whole numbers are left out.
pub(super) fn message_properties(properties: &AMQPProperties) -> MessageProperties {
    let text = |value: &Option<ShortString>| value.as_ref().map(ShortString::to_string);
    let mut headers = BTreeMap::new();
    let mut delivery_count = None;
    for (name, value) in properties.headers().as_ref().map(FieldTable::inner).into_iter().flatten() {
        if name.as_str() == "x-delivery-count" {
            delivery_count = integer(value).and_then(|n| u64::try_from(n).ok());
        }
        headers.extend(header_text(value).map(|value| (name.to_string(), value)));
    }
    MessageProperties {
        message_id: text(properties.message_id()),
        correlation_id: text(properties.correlation_id()),
        reply_to: text(properties.reply_to()),
        expiration: text(properties.expiration()),
        timestamp: *properties.timestamp(),
        delivery_count,
        headers,
    }
}

fn header_text(value: &AMQPValue) -> Option<String> {
    match value {
        AMQPValue::LongString(text) => std::str::from_utf8(text.as_bytes()).ok().map(str::to_string),
        AMQPValue::ShortString(text) => Some(text.to_string()),
        value => integer(value).map(|n| n.to_string()),
    }
}

fn integer(value: &AMQPValue) -> Option<i64> {
    Some(match value {
        AMQPValue::ShortShortInt(n) => (*n).into(),
        AMQPValue::ShortShortUInt(n) => (*n).into(),
        AMQPValue::ShortInt(n) => (*n).into(),
        AMQPValue::ShortUInt(n) => (*n).into(),
        AMQPValue::LongInt(n) => (*n).into(),
        AMQPValue::LongUInt(n) => (*n).into(),
        AMQPValue::LongLongInt(n) => *n,
        _ => return None,
    })
}
