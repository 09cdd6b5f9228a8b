//! Tests of the engine.

mod engine;
mod harness;
