//! Answers to operators: typed, and as the JSON objects of the control socket.

use asterrill::Us;
use asterrill_rollout::RolloutError;
use asterrill_settings::SettingsError;
use serde::Serialize;
use serde_json::{Map, Value};

/// Why a request was not carried out.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rejection {
    pub error: String,
    /// What the checks found, where it did not pass them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub problems: Option<Vec<String>>,
    /// Another version came into force while the change was read: it may be read again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub crossed: bool,
}

impl Rejection {
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

/// What a change would mean.
#[derive(Clone, Debug, Serialize)]
pub struct DiffReply {
    /// The version that it was compared with.
    pub base: u64,
    pub hash: String,
    /// How many entries differ.
    pub entries: usize,
    /// What it means, a line each.
    pub changes: Vec<String>,
    /// What is risky about it.
    pub problems: Vec<String>,
}

/// A change was staged.
#[derive(Clone, Debug, Serialize)]
pub struct StagedReply {
    pub version: u64,
    pub hash: String,
    pub entries: usize,
    pub changes: Vec<String>,
    pub problems: Vec<String>,
}

/// A version runs, on probation.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedReply {
    pub version: u64,
    pub hash: String,
    pub entries: usize,
    pub took_us: u64,
    pub probation_us: Us,
}

/// The version on probation is good.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmedReply {
    pub version: u64,
    pub hash: String,
}

/// The version before the one on probation runs again.
#[derive(Clone, Debug, Serialize)]
pub struct RolledBackReply {
    pub version: u64,
    pub hash: String,
    pub entries: usize,
}

/// What was staged is forgotten.
#[derive(Clone, Debug, Serialize)]
pub struct DroppedReply {
    pub version: u64,
}

/// One event of the history.
#[derive(Clone, Debug, Serialize)]
pub struct EventReply {
    pub at: Us,
    pub what: &'static str,
    pub version: u64,
    pub hash: String,
    pub base: u64,
    pub why: String,
}

/// What happened to versions.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReply {
    pub history: Vec<EventReply>,
}

/// The probation of the running version.
#[derive(Clone, Debug, Serialize)]
pub struct ProbationReply {
    /// When it ends at the latest, in microseconds.
    pub until: Us,
    /// The version to which a roll back returns.
    pub good: u64,
}

/// How far the recovery after a start is.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryReply {
    pub name: &'static str,
    pub why: &'static str,
    pub since: Us,
    pub outages: u64,
}

/// Figures since the start.
#[derive(Clone, Debug, Serialize)]
pub struct CountersReply {
    pub rpcs: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub gone: u64,
    pub changes: u64,
    pub changes_refused: u64,
    pub half_applied: u64,
    pub store_failed: Option<u64>,
}

/// What runs, is staged, and is on probation.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReply {
    pub version: u64,
    pub hash: String,
    pub base: u64,
    pub methods: usize,
    pub tenants: usize,
    pub probation: Option<ProbationReply>,
    pub staged: Option<u64>,
    pub queued: Option<u64>,
    pub stage: Option<RecoveryReply>,
    pub counters: CountersReply,
}

/// An answer to an operator.
#[derive(Clone, Debug)]
pub enum Reply {
    Diff(DiffReply),
    Staged(StagedReply),
    Applied(AppliedReply),
    Confirmed(ConfirmedReply),
    RolledBack(RolledBackReply),
    Dropped(DroppedReply),
    History(HistoryReply),
    Status(Box<StatusReply>),
    /// An object about the cluster's members or what they agree on, with its own `ok`.
    Cluster(Value),
    Rejected(Rejection),
}

impl Reply {
    pub fn is_ok(&self) -> bool {
        match self {
            Reply::Rejected(_) => false,
            Reply::Cluster(value) => value.get("ok") == Some(&Value::Bool(true)),
            _ => true,
        }
    }

    /// As one JSON object with `ok` and, where that is false, `error`.
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
