//! `fleet-members`: real processes that know each other, and cuts, losses, pauses and deaths between them. Each is asked
//! for its view; what it took of the shared upstream is in the upstream's own account.

mod cpu;
mod evaluation;
mod faults;
mod observation;
mod reachability;
mod run;
pub mod setup;

pub use cpu::{cpu, start_idle_fleet};
pub use run::scenario;
