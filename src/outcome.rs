//! Results of an input to the decision module: final answers, and the actions that the server has to take.

use crate::ids::{RpcId, Us};

/// A final answer given by the decision module itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The RPC never ran on this server.
    Rejected {
        /// Whether the caller is asked not to try another server.
        terminal: bool,
        /// Time that the caller should wait before it retries on this server; 0 if no delay is suggested.
        retry_after: Us,
    },
    /// An error that does not tell whether the RPC took effect.
    Aborted,
}

/// A final answer as it is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// The result of the RPC's run.
    Ok(&'a [u8]),
    /// The RPC never ran on this server.
    Rejected {
        /// Whether the caller is asked not to try another server.
        terminal: bool,
        /// Time that the caller should wait before it retries on this server; 0 if no delay is suggested.
        retry_after: Us,
    },
    /// An error that does not tell whether the RPC took effect.
    Aborted,
}

impl From<Answer> for FinalAnswer<'_> {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Rejected { terminal, retry_after } => FinalAnswer::Rejected { terminal, retry_after },
            Answer::Aborted => FinalAnswer::Aborted,
        }
    }
}

/// A final answer to one RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply {
    /// The RPC.
    pub id: RpcId,
    /// Its answer.
    pub answer: Answer,
}

/// An idempotency or cache key to retain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRetention {
    /// The RPC that the key belongs to.
    pub id: RpcId,
    /// Time from now for which the key is retained.
    pub duration: Us,
}

/// An upstream call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The RPC that makes it.
    pub id: RpcId,
    /// Time from now after which to abandon the call; more than 0.
    pub timeout: Us,
}

/// Actions to take after an input, list by list in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Final answers.
    pub answers: Vec<Reply>,
    /// Running RPCs to cancel. This follows the answers, so that a run is cancelled only when its RPC needs no
    /// further answer.
    pub cancellations: Vec<RpcId>,
    /// Idempotency and cache keys to retain.
    pub retained_keys: Vec<KeyRetention>,
    /// Keys to release. This follows the keys to retain, as one input may admit an RPC and end it.
    pub released_keys: Vec<RpcId>,
    /// Queued RPCs to answer with the result of the RPC that they repeat.
    pub coalesced: Vec<RpcId>,
    /// Queued RPCs to start.
    pub starts: Vec<RpcId>,
    /// Upstream calls to make.
    pub calls: Vec<CallRequest>,
    /// RPCs to resume without their upstream call.
    pub skipped_calls: Vec<RpcId>,
    /// The value to publish to callers, in the meaning of the [`crate::FeedbackMode`].
    pub credit: Option<f64>,
    /// The answer to health checks from now on.
    pub healthy: Option<bool>,
    /// The idle timeout: connections that are idle for longer are to be closed.
    pub close_idle_after: Option<Us>,
    /// Time from now after which to call [`crate::Control::timer_fired`], in addition to the timers requested before.
    pub wake_after: Option<Us>,
    /// Lines for the operators' log.
    pub log: Vec<String>,
}
