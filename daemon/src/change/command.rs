//! What operators ask for.

use super::prepare::PreparedChange;
use super::request::ChangeRequest;
use asterrill::Us;
use asterrill_rollout::SimpleCommand;

/// A request of the control socket.
#[derive(Clone, Debug)]
pub enum Request {
    /// Stage a change.
    Stage(ChangeRequest),
    /// Say what a change would mean.
    Diff(ChangeRequest),
    /// Anything that needs no reading beside the worker.
    Command(OperatorCommand),
}

/// What the worker carries out for an operator.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Stage a change that was read and checked.
    Stage(Box<PreparedChange>),
    /// Let the staged version run.
    Apply {
        /// Only if this version runs.
        if_base: Option<u64>,
        /// Length of the probation in microseconds; `None`: as the operator's file has it.
        probation: Option<Us>,
    },
    /// A command without arguments.
    Simple(SimpleCommand),
    /// A list on which the backends agree.
    AgreedList(asterrill_consensus::ListKind),
    /// Change what the backends agree on.
    ProposeAgreed(asterrill_consensus::Proposal),
}
