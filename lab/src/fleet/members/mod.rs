//! `fleet-members`: real processes with membership, under partitions, datagram loss, pauses and kills. The scenario
//! asks each member for its view; the statistics of the upstream show how much of the shared capacity the members
//! used.

mod cpu;
mod evaluation;
mod faults;
mod observation;
mod reachability;
mod run;
pub mod setup;
mod upstream_use;

pub use cpu::{cpu, start_idle_fleet};
pub use run::scenario;
