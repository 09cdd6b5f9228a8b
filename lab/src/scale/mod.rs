//! Resource use of single components at the size of the fleet: the `asterrill-lab scale-*` scenarios. Reports name the
//! figures that exceed their budget.

pub mod agree;
pub mod callers;
pub mod capacity;
pub mod config;
pub mod forms;
pub mod members;
pub mod options;
pub mod rpc;
mod statistics;
mod test_bed;
pub mod tool;
