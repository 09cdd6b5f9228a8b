//! `fleet-agree`: real processes that agree on lists. One caller is admitted and barred in turns, by an operator at any
//! node, while faults go on; a stand-in of that caller calls every node all the time, and its answers say who acts on
//! what.

mod evaluation;
mod faults;
mod probe_caller;
mod run;
mod timing;

pub use run::scenario;
