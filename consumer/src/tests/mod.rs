//! Tests of the consumer.

mod harness;
mod parts;
mod queue;
