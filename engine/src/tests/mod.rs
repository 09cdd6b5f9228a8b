//! Tests of the engine.

mod engine;
mod harness;
mod response_cache;
mod reused_ids;
mod window_changes;
