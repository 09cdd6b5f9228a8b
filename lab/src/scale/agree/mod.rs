//! `scale-agree`: agreement at the fleet's size, simulated: three voters and many replicas, the real state machines of
//! `asterrill-consensus` with a driver in memory (`cluster.rs`, which says what it leaves out).
//!
//! Times are virtual. CPU is what this thread spent in the state machines; it is charged to the virtual time of the node that
//! spent it, but for `--quick`, which is the same each time.

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
