//! Configuration of the engine.

use asterrill::Us;

/// Configuration of an [`crate::Engine`].
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Whether idempotent RPCs of each method may share the result of one run, indexed by method id.
    pub coalescible_methods: Vec<bool>,
    /// Limits that apply to all methods.
    pub limits: RetentionLimits,
}

/// Limits on how much of the ended RPCs is retained for retries and duplicates, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Lifetime of a read's result in the response cache, in microseconds; 0 disables the cache.
    pub result_ttl: Us,
    /// Maximum total size of the results retained for retries with the same idempotency key, in bytes.
    pub idempotency_result_bytes: usize,
    /// Longest time that any RPC may be open, in microseconds.
    pub max_rpc_lifetime: Us,
}

/// Function that copies a body for the engine to retain; returns none while no buffer is available for it.
pub type CopyBody<Body> = Box<dyn Fn(&[u8]) -> Option<Body> + Send>;
