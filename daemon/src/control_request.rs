//! Requests of the control socket: a line of JSON, version 1. `docs/operate/configuration.md` has its fields.

use crate::change::{ChangeRequest, ChangeSource, OperatorCommand, Request};
use asterrill_consensus::{Access, Change, ListEntry, ListKind, Proposal};
use asterrill_rollout::{SimpleCommand, StageOptions};
use serde_json::Value;

/// The version of the protocol that is spoken.
const PROTOCOL_VERSION: u64 = 1;

/// What a line asks for. A long text is taken out of it, not copied, and the line is dropped at once.
///
/// # Errors
/// What is wrong with the line, for the operator.
pub fn parse(line: String) -> Result<Request, String> {
    let fields: Value = serde_json::from_str(&line).map_err(|e| format!("not JSON: {e}"))?;
    drop(line);
    Fields(fields).into_request()
}

/// The object of a request.
struct Fields(Value);

impl Fields {
    fn into_request(mut self) -> Result<Request, String> {
        if self.0.get("v").and_then(Value::as_u64) != Some(PROTOCOL_VERSION) {
            return Err(format!("this program speaks version {PROTOCOL_VERSION}"));
        }
        let source = self.take_source()?;
        let command = self.0.get("do").and_then(Value::as_str);
        match command {
            Some("stage") => Ok(Request::Stage(self.change_request("stage", source)?)),
            Some("diff") => Ok(Request::Diff(self.change_request("diff", source)?)),
            _ => self.command(command).map(Request::Command),
        }
    }

    /// The change that is handed in, if there is one.
    fn take_source(&mut self) -> Result<Option<ChangeSource>, String> {
        match (self.take_text("step"), self.take_text("text")) {
            (Some(_), Some(_)) => Err("text or step, not both".into()),
            (Some(step), None) => Ok(Some(ChangeSource::Step(step))),
            (None, text) => Ok(text.map(ChangeSource::Text)),
        }
    }

    fn change_request(&self, command: &str, source: Option<ChangeSource>) -> Result<ChangeRequest, String> {
        let source = source.ok_or_else(|| format!("{command} wants text or step"))?;
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
                let to = self.number("to")?.ok_or("it wants the version to go back to")?;
                Ok(OperatorCommand::ProposeAgreed(Proposal::Undo { base: self.number("base")?, to }))
            }
            Some("list-change") => {
                let kind = self.list_kind()?;
                let rows = self.0.get("entries").and_then(Value::as_array);
                let rows = rows.ok_or("list-change wants entries")?;
                let changes = rows.iter().map(|row| list_change(kind, row)).collect::<Result<_, _>>()?;
                Ok(OperatorCommand::ProposeAgreed(Proposal::Change { base: self.number("base")?, changes }))
            }
            other => Err(format!("{other:?} is not known")),
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
            Some(number) => number.as_u64().map(Some).ok_or_else(|| format!("{name} is no whole number")),
        }
    }

    fn list_kind(&self) -> Result<ListKind, String> {
        let name = self.0.get("list").and_then(Value::as_str).unwrap_or("");
        ListKind::from_name(name)
            .ok_or_else(|| format!("there is no list {name:?}: tenants, callers or methods"))
    }
}

/// A row of a change: a key, and `in`, `out` or `none`, with the Unix time in microseconds at which that ends, if any.
fn list_change(kind: ListKind, row: &Value) -> Result<Change, String> {
    let key = row.get("key").and_then(Value::as_str).ok_or("an entry wants its key")?.to_string();
    let expires_at = row.get("until").and_then(Value::as_u64).unwrap_or(0);
    let access = match row.get("standing").and_then(Value::as_str) {
        Some("in") => Access::Allowed,
        Some("out") => Access::Denied,
        Some("none") => return Ok(Change::Remove { kind, key }),
        other => return Err(format!("an entry is in, out or none, not {other:?}")),
    };
    Ok(Change::Put { kind, key, entry: ListEntry { access, expires_at } })
}
