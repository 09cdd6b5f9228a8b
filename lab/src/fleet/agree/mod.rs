//! `fleet-agree`: real processes that agree on lists. Operators at random nodes allow and deny one caller in turn
//! while faults are injected. A stub of that caller calls every node continuously, and the answers show which
//! version each node enforces.

mod evaluation;
mod faults;
mod probe_caller;
mod run;
mod timing;

pub use run::scenario;
