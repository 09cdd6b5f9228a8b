//! Tests of the public interface. Each module tests one part of the crate.

mod checks;
mod crash_recovery;
mod probation;
mod reference_model;
mod transaction;
mod version_file;
mod version_file_fixture;
mod versions;
