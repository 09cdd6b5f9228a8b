//! Requests and commands of operators.

use super::prepare::PreparedChange;
use super::request::ChangeRequest;
use asterrill::Us;
use asterrill_rollout::SimpleCommand;

/// Request on the control socket.
#[derive(Clone, Debug)]
pub enum Request {
    /// Stages a change.
    Stage(ChangeRequest),
    /// Describes the effect of a change without staging it.
    Diff(ChangeRequest),
    /// Command that needs no parsing off the worker thread.
    Command(OperatorCommand),
}

/// Command that the worker executes for an operator.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Stages a validated change.
    Stage(Box<PreparedChange>),
    /// Applies the staged version.
    Apply {
        /// Version that must be running, otherwise the command is rejected.
        if_base: Option<u64>,
        /// Duration of the probation in microseconds; `None` for that of the operator's file.
        probation: Option<Us>,
    },
    /// Command without arguments.
    Simple(SimpleCommand),
    /// Shows a list on which the backends agree.
    AgreedList(asterrill_consensus::ListKind),
    /// Proposes a change of the agreed lists.
    ProposeAgreed(asterrill_consensus::Proposal),
}
