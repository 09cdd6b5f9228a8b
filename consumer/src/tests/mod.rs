//! Tests of the consumer.

mod components;
mod harness;
mod queue;
