//! Replies to operators, as types and as the JSON objects of the control socket.

use asterrill::Us;
use asterrill_rollout::RolloutError;
use asterrill_settings::SettingsError;
use serde::Serialize;
use serde_json::{Map, Value};

/// Reason for rejecting a request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rejection {
    /// Readable reason.
    pub error: String,
    /// Problems that the checks found, if the change did not pass them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub problems: Option<Vec<String>>,
    /// Whether another version was applied during validation, so that the change may be validated again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub crossed: bool,
}

impl Rejection {
    /// Creates a rejection without problems of the checks.
    pub fn new(error: impl Into<String>) -> Rejection {
        Rejection { error: error.into(), problems: None, crossed: false }
    }
}

impl From<RolloutError> for Rejection {
    fn from(error: RolloutError) -> Rejection {
        Rejection::new(error.to_string())
    }
}

impl From<SettingsError> for Rejection {
    fn from(error: SettingsError) -> Rejection {
        Rejection::new(error.to_string())
    }
}

/// Effect that a change would have.
#[derive(Clone, Debug, Serialize)]
pub struct DiffReply {
    /// Number of the running version that the change was compared with.
    pub base: u64,
    /// Hash of the new version.
    pub hash: String,
    /// Number of entries that differ.
    pub entries: usize,
    /// Readable differences, one per line.
    pub changes: Vec<String>,
    /// Risks that the checks found.
    pub problems: Vec<String>,
}

/// Version that was staged.
#[derive(Clone, Debug, Serialize)]
pub struct StagedReply {
    /// Number of the staged version.
    pub version: u64,
    /// Hash of the staged version.
    pub hash: String,
    /// Number of entries that differ.
    pub entries: usize,
    /// Readable differences, one per line.
    pub changes: Vec<String>,
    /// Risks that the checks found.
    pub problems: Vec<String>,
}

/// Version that was applied and is on probation.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedReply {
    /// Number of the applied version.
    pub version: u64,
    /// Hash of the applied version.
    pub hash: String,
    /// Number of entries that differ.
    pub entries: usize,
    /// Duration of the installation, in microseconds.
    pub took_us: u64,
    /// Duration of the probation, in microseconds.
    pub probation_us: Us,
}

/// Version whose probation was confirmed.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmedReply {
    /// Number of the confirmed version.
    pub version: u64,
    /// Hash of the confirmed version.
    pub hash: String,
}

/// Version that was restored in place of the one on probation.
#[derive(Clone, Debug, Serialize)]
pub struct RolledBackReply {
    /// Number of the restored version.
    pub version: u64,
    /// Hash of the restored version.
    pub hash: String,
    /// Number of entries that differ.
    pub entries: usize,
}

/// Staged version that was dropped.
#[derive(Clone, Debug, Serialize)]
pub struct DroppedReply {
    /// Number of the dropped version.
    pub version: u64,
}

/// Event of the history.
#[derive(Clone, Debug, Serialize)]
pub struct EventReply {
    /// Time of the event, in microseconds.
    pub at: Us,
    /// Kind of the event; see `EventKind::as_str`.
    pub what: &'static str,
    /// Number of the version.
    pub version: u64,
    /// Hash of the version.
    pub hash: String,
    /// Number of the version that it was made from.
    pub base: u64,
    /// Readable reason.
    pub why: String,
}

/// History of versions.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReply {
    /// Events, oldest first.
    pub history: Vec<EventReply>,
}

/// Probation of the running version.
#[derive(Clone, Debug, Serialize)]
pub struct ProbationReply {
    /// Latest end of the probation, in microseconds.
    pub until: Us,
    /// Number of the version that a rollback restores.
    pub good: u64,
}

/// Progress of the recovery after a start.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryReply {
    /// Name of the stage.
    pub name: &'static str,
    /// Reason for being at this stage.
    pub why: &'static str,
    /// Start of the stage, in microseconds.
    pub since: Us,
    /// Number of upstream outages observed since the start.
    pub outages: u64,
}

/// Counters since the start.
#[derive(Clone, Debug, Serialize)]
pub struct CountersReply {
    /// RPCs received.
    pub rpcs: u64,
    /// RPCs answered with success.
    pub ok: u64,
    /// RPCs answered with a rejection.
    pub pushed_back: u64,
    /// RPCs answered with an abort.
    pub aborted: u64,
    /// RPCs whose caller disconnected before the answer.
    pub gone: u64,
    /// Versions that were activated.
    pub changes: u64,
    /// Changes that were rejected.
    pub changes_refused: u64,
    /// Answers given while parts of the core had different versions. Any value but 0 is a defect.
    pub half_applied: u64,
    /// Failed writes of the store; `None` without a store.
    pub store_failed: Option<u64>,
}

/// Running and pending versions, with counters.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReply {
    /// Number of the running version.
    pub version: u64,
    /// Hash of the running version.
    pub hash: String,
    /// Number of the version that it was made from.
    pub base: u64,
    /// Number of methods.
    pub methods: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Probation of the running version, if it is not confirmed yet.
    pub probation: Option<ProbationReply>,
    /// Number of the staged version.
    pub staged: Option<u64>,
    /// Number of the version that is queued behind the one on probation.
    pub queued: Option<u64>,
    /// Progress of the recovery, if it is configured.
    pub stage: Option<RecoveryReply>,
    /// Counters since the start.
    pub counters: CountersReply,
}

/// Reply to an operator.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Reply to `diff`.
    Diff(DiffReply),
    /// Reply to `stage`.
    Staged(StagedReply),
    /// Reply to `apply`.
    Applied(AppliedReply),
    /// Reply to `settle`.
    Confirmed(ConfirmedReply),
    /// Reply to `undo`.
    RolledBack(RolledBackReply),
    /// Reply to `drop`.
    Dropped(DroppedReply),
    /// Reply to `history`.
    History(HistoryReply),
    /// Reply to `status`.
    Status(Box<StatusReply>),
    /// Object about the cluster's members or their agreed lists, which contains its own `ok`.
    Cluster(Value),
    /// Reply to any request that was not carried out.
    Rejected(Rejection),
}

impl Reply {
    /// Reports whether the request was carried out.
    pub fn is_ok(&self) -> bool {
        match self {
            Reply::Rejected(_) => false,
            Reply::Cluster(value) => value.get("ok") == Some(&Value::Bool(true)),
            _ => true,
        }
    }

    /// Converts the reply to one JSON object, with `ok` and, if that is false, `error`.
    pub fn to_json(&self) -> Value {
        match self {
            Reply::Diff(body) => object(true, body),
            Reply::Staged(body) => object(true, body),
            Reply::Applied(body) => object(true, body),
            Reply::Confirmed(body) => object(true, body),
            Reply::RolledBack(body) => object(true, body),
            Reply::Dropped(body) => object(true, body),
            Reply::History(body) => object(true, body),
            Reply::Status(body) => object(true, body),
            Reply::Cluster(value) => value.clone(),
            Reply::Rejected(rejection) => object(false, rejection),
        }
    }
}

impl From<Value> for Reply {
    fn from(value: Value) -> Reply {
        Reply::Cluster(value)
    }
}

impl From<Result<Reply, Rejection>> for Reply {
    fn from(result: Result<Reply, Rejection>) -> Reply {
        result.unwrap_or_else(Reply::Rejected)
    }
}

fn object(ok: bool, body: &impl Serialize) -> Value {
    let mut fields = match serde_json::to_value(body) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    fields.insert("ok".into(), ok.into());
    Value::Object(fields)
}

#[cfg(test)]
#[path = "../tests/reply.rs"]
mod tests;
