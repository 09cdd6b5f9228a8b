//! Requests on the control socket, each a line of JSON. `docs/operate/configuration.md` describes the fields.

use crate::change::{ChangeRequest, ChangeSource, OperatorCommand, Request};
use asterrill_consensus::{Access, Change, ListEntry, ListKind, Proposal};
use asterrill_rollout::{SimpleCommand, StageOptions};
use serde_json::Value;

/// Supported version of the protocol.
const PROTOCOL_VERSION: u64 = 1;

/// Maximum number of values in a request besides those of its texts. A value takes up to 300 bytes once it is parsed.
const MAX_REQUEST_VALUES: usize = 20_000;

/// Parses a request.
///
/// A long text is moved out of the parsed line instead of being copied, and the line is dropped right after parsing.
///
/// # Errors
/// The line is not a valid request. The text is meant for the operator.
pub fn parse(line: String) -> Result<Request, String> {
    if !has_few_values(&line) {
        return Err(format!("a request may have at most {MAX_REQUEST_VALUES} values"));
    }
    let fields: Value = serde_json::from_str(&line).map_err(|e| format!("not valid JSON: {e}"))?;
    drop(line);
    Fields(fields).into_request()
}

/// Reports whether JSON has at most [`MAX_REQUEST_VALUES`] values, without parsing it. Text inside strings doesn't count.
fn has_few_values(json: &str) -> bool {
    let (mut in_string, mut escaped, mut values) = (false, false, 0);
    for byte in json.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' => escaped = in_string,
            b'"' => in_string = !in_string,
            b',' | b'[' | b'{' if !in_string => values += 1,
            _ => {}
        }
    }
    values <= MAX_REQUEST_VALUES
}

/// JSON object of a request.
struct Fields(Value);

impl Fields {
    fn into_request(mut self) -> Result<Request, String> {
        let version = self.0.get("v").unwrap_or(&Value::Null);
        if version.as_u64() != Some(PROTOCOL_VERSION) {
            return Err(format!("field v: expected protocol version {PROTOCOL_VERSION}, found {version}"));
        }
        let source = self.take_source()?;
        let command = self.0.get("do").and_then(Value::as_str);
        match command {
            Some("stage") => Ok(Request::Stage(self.change_request("stage", source)?)),
            Some("diff") => Ok(Request::Diff(self.change_request("diff", source)?)),
            _ => self.command(command).map(Request::Command),
        }
    }

    /// Takes the source of a change out of the request, if there is one.
    fn take_source(&mut self) -> Result<Option<ChangeSource>, String> {
        match (self.take_text("step"), self.take_text("text")) {
            (Some(_), Some(_)) => Err("expected either text or step, found both".into()),
            (Some(step), None) => Ok(Some(ChangeSource::Step(step))),
            (None, text) => Ok(text.map(ChangeSource::Text)),
        }
    }

    fn change_request(&self, command: &str, source: Option<ChangeSource>) -> Result<ChangeRequest, String> {
        let source = source.ok_or_else(|| format!("{command} requires text or step"))?;
        let options = StageOptions { force: self.flag("force"), queue: self.flag("queue") };
        Ok(ChangeRequest { source, base: self.number("base")?, options })
    }

    fn command(&self, name: Option<&str>) -> Result<OperatorCommand, String> {
        if let Some(command) = name.and_then(SimpleCommand::parse) {
            return Ok(OperatorCommand::Simple(command));
        }
        match name {
            Some("apply") => Ok(OperatorCommand::Apply {
                if_base: self.number("if_base")?,
                probation: self.number("probation_us")?,
            }),
            Some("list") => Ok(OperatorCommand::AgreedList(self.list_kind()?)),
            Some("fleet-undo") => {
                let to = self.number("to")?.ok_or("fleet-undo requires to, the version to restore")?;
                Ok(OperatorCommand::ProposeAgreed(Proposal::Undo { base: self.number("base")?, to }))
            }
            Some("list-change") => {
                let kind = self.list_kind()?;
                let rows = self.0.get("entries").and_then(Value::as_array);
                let rows = rows.ok_or("list-change requires entries, an array of objects")?;
                let changes = rows.iter().map(|row| list_change(kind, row)).collect::<Result<_, _>>()?;
                Ok(OperatorCommand::ProposeAgreed(Proposal::Change { base: self.number("base")?, changes }))
            }
            other => Err(format!("unknown command {:?}", other.unwrap_or_default())),
        }
    }

    fn take_text(&mut self, name: &str) -> Option<String> {
        match self.0.get_mut(name).map(Value::take) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        }
    }

    fn flag(&self, name: &str) -> bool {
        self.0.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    fn number(&self, name: &str) -> Result<Option<u64>, String> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => {
                let number = value.as_u64().map(Some);
                number.ok_or_else(|| format!("{name}: expected a non-negative integer, found {value}"))
            }
        }
    }

    fn list_kind(&self) -> Result<ListKind, String> {
        let name = self.0.get("list").and_then(Value::as_str).unwrap_or("");
        ListKind::from_name(name)
            .ok_or_else(|| format!("unknown list {name:?}: expected tenants, callers or methods"))
    }
}

/// Parses one entry of a list change.
///
/// An entry has a key, a standing (`in`, `out` or `none`) and, optionally, the Unix time in microseconds at which it
/// expires.
fn list_change(kind: ListKind, row: &Value) -> Result<Change, String> {
    let key = row
        .get("key")
        .and_then(Value::as_str)
        .ok_or("list-change: each entry requires key, a string")?
        .to_string();
    let expires_at = row.get("until").and_then(Value::as_u64).unwrap_or(0);
    let access = match row.get("standing").and_then(Value::as_str) {
        Some("in") => Access::Allowed,
        Some("out") => Access::Denied,
        Some("none") => return Ok(Change::Remove { kind, key }),
        other => {
            let found = other.unwrap_or_default();
            return Err(format!("standing of {key:?}: expected in, out or none, found {found:?}"));
        }
    };
    Ok(Change::Put { kind, key, entry: ListEntry { access, expires_at } })
}
