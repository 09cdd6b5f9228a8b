//! Answers to operators: typed, and as the JSON objects of the control socket.

use asterrill::Us;
use asterrill_rollout::RolloutError;
use asterrill_settings::SettingsError;
use serde::Serialize;
use serde_json::{Map, Value};

/// Why a request was not carried out.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rejection {
    /// The reason.
    pub error: String,
    /// What the checks found, where it did not pass them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub problems: Option<Vec<String>>,
    /// Another version came into force while the change was read: it may be read again.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub crossed: bool,
}

impl Rejection {
    /// Without problems of the checks.
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
    /// The hash of the version.
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
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
    /// How many entries differ.
    pub entries: usize,
    /// What it means, a line each.
    pub changes: Vec<String>,
    /// What is risky about it.
    pub problems: Vec<String>,
}

/// A version runs, on probation.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedReply {
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
    /// How many entries differ.
    pub entries: usize,
    /// How long it took to put it in force, in microseconds.
    pub took_us: u64,
    /// Length of the probation, in microseconds.
    pub probation_us: Us,
}

/// The version on probation is good.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmedReply {
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
}

/// The version before the one on probation runs again.
#[derive(Clone, Debug, Serialize)]
pub struct RolledBackReply {
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
    /// How many entries differ.
    pub entries: usize,
}

/// What was staged is forgotten.
#[derive(Clone, Debug, Serialize)]
pub struct DroppedReply {
    /// The number of the version.
    pub version: u64,
}

/// One event of the history.
#[derive(Clone, Debug, Serialize)]
pub struct EventReply {
    /// When it happened, in microseconds.
    pub at: Us,
    /// What happened; see `EventKind::as_str`.
    pub what: &'static str,
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
    /// The version that it was made from.
    pub base: u64,
    /// The reason.
    pub why: String,
}

/// What happened to versions.
#[derive(Clone, Debug, Serialize)]
pub struct HistoryReply {
    /// The oldest first.
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
    /// The name of the stage.
    pub name: &'static str,
    /// Why it is at this stage.
    pub why: &'static str,
    /// When it entered the stage, in microseconds.
    pub since: Us,
    /// Outages of the upstream that were seen since the start.
    pub outages: u64,
}

/// Figures since the start.
#[derive(Clone, Debug, Serialize)]
pub struct CountersReply {
    /// RPCs read.
    pub rpcs: u64,
    /// Answers: ok.
    pub ok: u64,
    /// Answers: rejected.
    pub pushed_back: u64,
    /// Answers: aborted.
    pub aborted: u64,
    /// RPCs whose caller left before the answer.
    pub gone: u64,
    /// Versions that were put in force.
    pub changes: u64,
    /// Changes that were rejected.
    pub changes_refused: u64,
    /// Answers given while parts of the core had different versions; 0, or it is a defect.
    pub half_applied: u64,
    /// Writes of the store that failed; `None` without a store.
    pub store_failed: Option<u64>,
}

/// What runs, is staged, and is on probation.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReply {
    /// The number of the version.
    pub version: u64,
    /// The hash of the version.
    pub hash: String,
    /// The version that it was made from.
    pub base: u64,
    /// How many methods there are.
    pub methods: usize,
    /// How many tenants there are.
    pub tenants: usize,
    /// Present while the running version is on probation.
    pub probation: Option<ProbationReply>,
    /// The staged version.
    pub staged: Option<u64>,
    /// The version behind the one on probation.
    pub queued: Option<u64>,
    /// How far the recovery is, where that is configured.
    pub stage: Option<RecoveryReply>,
    /// Figures since the start.
    pub counters: CountersReply,
}

/// An answer to an operator.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To `diff`.
    Diff(DiffReply),
    /// To `stage`.
    Staged(StagedReply),
    /// To `apply`.
    Applied(AppliedReply),
    /// To `settle`.
    Confirmed(ConfirmedReply),
    /// To `undo`.
    RolledBack(RolledBackReply),
    /// To `drop`.
    Dropped(DroppedReply),
    /// To `history`.
    History(HistoryReply),
    /// To `status`.
    Status(Box<StatusReply>),
    /// An object about the cluster's members or what they agree on, with its own `ok`.
    Cluster(Value),
    /// To anything that was not done.
    Rejected(Rejection),
}

impl Reply {
    /// Whether what was asked for was done.
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
