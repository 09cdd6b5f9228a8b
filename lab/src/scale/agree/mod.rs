//! The scenario `scale-agree`: a simulation of consensus at the size of a fleet, with three voters and many replicas.
//!
//! The nodes are the real state machines of `asterrill-consensus`, driven in memory. `cluster.rs` lists what the driver
//! models and what it omits.
//!
//! Times are virtual. CPU is the time that this thread spent in the state machines. It is added to the virtual time
//! of the node that spent it, except with `--quick`, whose runs are deterministic.

mod audit;
mod build;
mod changes;
mod cluster;
mod concurrent_proposals;
mod event_loop;
mod node;
mod options;
mod run;
mod scenario;
mod units;

pub use options::AgreeOptions;
pub use scenario::scenario;
