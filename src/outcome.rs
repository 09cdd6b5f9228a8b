//! What the decision module hands back: answers, and what the server is to do.

use crate::ids::{RpcId, Us};

/// A final answer given by the decision module itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It never ran here.
    Rejected {
        /// The caller is asked not to try another server.
        terminal: bool,
        /// How long the caller should wait before it tries this server again; 0 for no advice.
        retry_after: Us,
    },
    /// An error that promises nothing about what was done.
    Aborted,
}

/// A final answer as it goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer<'a> {
    /// With the result of its run.
    Ok(&'a [u8]),
    /// It never ran here.
    Rejected {
        /// The caller is asked not to try another server.
        terminal: bool,
        /// How long the caller should wait before it tries this server again; 0 for no advice.
        retry_after: Us,
    },
    /// An error that promises nothing about what was done.
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

/// A key to retain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRetention {
    /// The RPC whose idempotency or cache key it is.
    pub id: RpcId,
    /// How long, from now.
    pub duration: Us,
}

/// An upstream call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The RPC that makes it.
    pub id: RpcId,
    /// When to abandon it, from now; more than 0.
    pub timeout: Us,
}

/// What is to be done after an input, list by list in this order.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Final answers.
    pub answers: Vec<Reply>,
    /// Running RPCs to cancel. Comes after the answers, so that what is answered ends for good.
    pub cancellations: Vec<RpcId>,
    /// Idempotency and cache keys to retain.
    pub retained_keys: Vec<KeyRetention>,
    /// Keys to release. Comes after the retained ones, as an RPC may be admitted and given up at once.
    pub released_keys: Vec<RpcId>,
    /// Queued RPCs to answer with the result of the one they repeat.
    pub coalesced: Vec<RpcId>,
    /// Queued RPCs to start.
    pub starts: Vec<RpcId>,
    /// Upstream calls to make.
    pub calls: Vec<CallRequest>,
    /// RPCs to resume without their upstream call.
    pub skipped_calls: Vec<RpcId>,
    /// The number to publish to callers; what it means is [`crate::FeedbackMode`].
    pub credit: Option<f64>,
    /// The answer to health checks from now on.
    pub healthy: Option<bool>,
    /// Connections idle for longer than this are to be closed.
    pub close_idle_after: Option<Us>,
    /// When to call [`crate::Control::timer_fired`], from now, besides the timers asked for before.
    pub wake_after: Option<Us>,
    /// Lines for the operators' log.
    pub log: Vec<String>,
}
