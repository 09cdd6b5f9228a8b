//! The outcome of a command: a reply object for the operator, and the exit code.

use serde_json::{json, Value};

/// The result of a command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command was done.
    Done = 0,
    /// The answer is negative: an invalid input, a rejection or a difference.
    Negative = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// The daemon did not answer.
    Unreachable = 3,
    /// No majority of the backends answered.
    NoMajority = 4,
}

/// The `kind` of a reply if no majority of the backends answered.
const NO_MAJORITY: &str = "no majority";

/// The outcome of a command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// An object with `ok` and, if that is false, `error`.
    pub reply: Value,
    /// The exit code.
    pub status: ExitStatus,
}

impl Outcome {
    /// Creates the outcome for a reply, with the status that its `ok` states.
    pub fn from_reply(reply: Value) -> Outcome {
        let status = if reply["ok"] == json!(true) { ExitStatus::Done } else { ExitStatus::Negative };
        Outcome { reply, status }
    }

    /// Creates the outcome of a failed command.
    pub fn error(status: ExitStatus, why: impl Into<String>) -> Outcome {
        Outcome { reply: json!({"ok": false, "error": why.into()}), status }
    }

    /// Creates the outcome for an invalid input of the operator.
    pub fn invalid_input(why: impl Into<String>) -> Outcome {
        Outcome::error(ExitStatus::Negative, why)
    }

    /// Reports whether the command was done.
    pub fn is_done(&self) -> bool {
        self.status == ExitStatus::Done
    }

    /// Reports whether the reply's `ok` is true. It is also true for a difference, whose status is
    /// [`ExitStatus::Negative`].
    pub fn is_ok(&self) -> bool {
        self.reply["ok"] == json!(true)
    }

    /// Changes the status to [`ExitStatus::NoMajority`] if the reply says that no majority answered.
    pub fn with_majority_status(mut self) -> Outcome {
        if self.reply["kind"] == json!(NO_MAJORITY) {
            self.status = ExitStatus::NoMajority;
        }
        self
    }
}
