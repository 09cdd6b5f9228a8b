//! Formatting of replies as lines of text.

use serde_json::{Map, Value};
use std::fmt::Write;

/// Formats a reply as lines: one per field, except for `ok`, and one per item of a list.
pub fn format_reply(reply: &Value) -> String {
    let mut lines = String::new();
    let fields = reply.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(name, _)| *name != "ok") {
        match value {
            Value::Null => {}
            Value::Array(items) => {
                items.iter().for_each(|item| push_line(&mut lines, &item_line(item)));
            }
            Value::Object(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(name, value)| format!("{name}={}", plain_text(value))).collect();
                push_line(&mut lines, &format!("{name}: {}", fields.join(" ")));
            }
            value => push_line(&mut lines, &format!("{name}: {}", plain_text(value))),
        }
    }
    lines
}

fn push_line(lines: &mut String, line: &str) {
    // Writing to a `String` cannot fail.
    writeln!(lines, "{line}").unwrap_or_default();
}

/// Formats a string without quotes, and any other value as JSON.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn item_line(item: &Value) -> String {
    match item.as_object() {
        Some(member) if member.contains_key("standing") => member_line(member),
        Some(event) => event_line(event),
        None => plain_text(item),
    }
}

/// Formats an event of the history.
fn event_line(event: &Map<String, Value>) -> String {
    let field = |name: &str| event.get(name).map_or_else(|| "null".into(), plain_text);
    let (what, version, base, why) = (field("what"), field("version"), field("base"), field("why"));
    format!("{what:8} version {version} (of {base}): {why}")
}

/// Formats a member of the cluster, or an entry of a list.
fn member_line(member: &Map<String, Value>) -> String {
    let field = |name: &str| match member.get(name) {
        Some(Value::Null) | None => "-".into(),
        Some(value) => plain_text(value),
    };
    let (name, address, standing) = (field("name"), field("at"), field("standing"));
    let (since, heard, round_trip) = (field("since_ms"), field("heard_ms"), field("round_trip_us"));
    let (start, incarnation, why) = (field("start"), field("incarnation"), field("why"));
    let flaps = if member.get("flaps") == Some(&Value::Bool(true)) { " flaps" } else { "" };
    format!(
        "{name:20} {address:21} {standing:8} since {since} ms, heard {heard} ms ago, \
         round trip {round_trip} us, start {start}.{incarnation}{flaps} {why}"
    )
}
