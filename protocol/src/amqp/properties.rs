//! Property tables: those of the client, and those of messages, which are read into [`MessageProperties`].

use super::message::MessageProperties;
use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};
use std::collections::BTreeMap;

/// Extensions of the protocol that the client supports.
const CAPABILITIES: [&str; 4] =
    ["publisher_confirms", "consumer_cancel_notify", "basic.nack", "connection.blocked"];

/// Returns the client properties for `connection.start-ok` (1.4.2.2).
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

/// Returns the properties of a message. Headers whose values are neither strings nor integers are omitted.
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

/// Returns the value of a header as text; none if it is neither a string nor an integer.
fn header_text(value: &AMQPValue) -> Option<String> {
    match value {
        AMQPValue::LongString(text) => std::str::from_utf8(text.as_bytes()).ok().map(str::to_string),
        AMQPValue::ShortString(text) => Some(text.to_string()),
        value => integer(value).map(|n| n.to_string()),
    }
}

/// Returns the value of a header if it is an integer.
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
