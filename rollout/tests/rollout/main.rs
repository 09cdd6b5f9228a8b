//! Tests of the public interface, each module against one part of the crate.

mod checks;
mod probation;
mod record;
mod record_fixture;
mod record_lives;
mod record_model;
mod transaction;
mod versions;
