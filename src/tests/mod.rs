//! Tests of the decision module, a file for each concern. Most play a whole server in memory (`harness.rs`) or a bare
//! `Control` (`fixtures.rs`).

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
