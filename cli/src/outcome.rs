//! What came of a command: an object for the operator, and the exit code.

use serde_json::{json, Value};

/// Why a command ended, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Done = 0,
    /// The answer is no: a mistake, a rejection, a difference.
    No = 1,
    /// The arguments are wrong.
    Usage = 2,
    /// The daemon did not answer.
    Unreachable = 3,
    /// No majority of the backends answered.
    NoMajority = 4,
}

/// The `kind` of a reply where no majority of the backends answered.
const NO_MAJORITY: &str = "no majority";

/// What came of a command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// An object with `ok` and, where that is false, `error`.
    pub reply: Value,
    /// The exit code.
    pub status: ExitStatus,
}

impl Outcome {
    /// The status that the reply's `ok` says.
    pub fn of(reply: Value) -> Outcome {
        let status = if reply["ok"] == json!(true) { ExitStatus::Done } else { ExitStatus::No };
        Outcome { reply, status }
    }

    /// A failure.
    pub fn error(status: ExitStatus, why: impl Into<String>) -> Outcome {
        Outcome { reply: json!({"ok": false, "error": why.into()}), status }
    }

    /// A mistake of the operator.
    pub fn mistake(why: impl Into<String>) -> Outcome {
        Outcome::error(ExitStatus::No, why)
    }

    /// Whether it was done.
    pub fn is_done(&self) -> bool {
        self.status == ExitStatus::Done
    }

    /// Whether the reply says `ok`; a difference is ok as well.
    pub fn is_ok(&self) -> bool {
        self.reply["ok"] == json!(true)
    }

    /// Tells a missing majority from other rejections.
    pub fn with_majority_status(mut self) -> Outcome {
        if self.reply["kind"] == json!(NO_MAJORITY) {
            self.status = ExitStatus::NoMajority;
        }
        self
    }
}
