//! Tests of the package: many nodes in memory on virtual time, and the parts by themselves.

mod cluster;
mod decoding;
mod seeded;
mod stored_bytes;
mod support;
mod versions;
