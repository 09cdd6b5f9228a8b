//! Tests of the package: clusters of nodes in memory on virtual time, and unit tests of single parts.

mod cluster;
mod decoding;
mod seeded;
mod stored_bytes;
mod support;
mod versions;
