//! Tests of the decision module, one file per subject. Most of them simulate a whole server in memory (`harness.rs`) or
//! drive a `Control` directly (`fixtures.rs`).

mod accounts;
mod admission;
mod commit;
mod concurrency;
mod fixtures;
mod harness;
mod invariants;
mod publication;
mod quota_fraction;
mod restore;
mod server_config;
mod staged_table;
mod upstream;
