//! Tests of the consumer.

mod components;
mod dedup;
mod harness;
mod queue;
