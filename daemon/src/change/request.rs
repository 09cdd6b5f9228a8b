//! What operators ask for.

use super::prepare::PreparedChange;
use asterrill::Us;
use asterrill_entries::Configuration;
use asterrill_rollout::{SimpleCommand, StageOptions};

/// Bytes of a text up to which it may be held while it is read, to be read again.
const MAX_RETAINED_TEXT_BYTES: usize = 512 * 1024;

/// What is handed in as a change.
#[derive(Clone, Debug)]
pub enum ChangeSource {
    /// A file's text: settings in JSON, or an operator's file.
    Text(String),
    /// A step, one entry a line.
    Step(String),
    /// Entries that were read already.
    Configuration(Configuration),
}

/// A change as it was asked for.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    pub source: ChangeSource,
    /// The version that it was made from, where that is given.
    pub base: Option<u64>,
    pub options: StageOptions,
}

impl ChangeRequest {
    /// Whether a copy may be held while it is read, to read it again if another version came into force meanwhile.
    pub fn may_be_retained(&self) -> bool {
        match &self.source {
            ChangeSource::Text(text) | ChangeSource::Step(text) => text.len() <= MAX_RETAINED_TEXT_BYTES,
            ChangeSource::Configuration(_) => true,
        }
    }
}

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
