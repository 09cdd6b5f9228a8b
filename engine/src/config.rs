//! What an engine is made with.

use asterrill::Us;

/// The configuration of an [`crate::Engine`].
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// For each method, in the order of their ids: whether idempotent RPCs of it may share the result of one run.
    pub coalescible_methods: Vec<bool>,
    /// What applies to all methods alike.
    pub limits: RetentionLimits,
}

/// How long, and how much of, what has ended is retained for repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// How long the result of a read may be served to others, in microseconds; 0 switches the response cache off.
    pub result_ttl: Us,
    /// Total bytes of results retained for repeats with the same idempotency key.
    pub idempotency_result_bytes: usize,
    /// The longest that any RPC may be open, in microseconds.
    pub max_rpc_lifetime: Us,
}

/// Makes the copy of a body that the engine retains; none while there is no buffer for it.
pub type CopyBody<Body> = Box<dyn Fn(&[u8]) -> Option<Body> + Send>;
