//! What the parts cost at the fleet's size: `asterrill-lab scale-*`. Figures, with the budget beside what is over it.

pub mod agree;
pub mod callers;
pub mod capacity;
pub mod config;
pub mod forms;
pub mod members;
pub mod rpc;
pub mod sizes;
mod statistics;
mod test_bed;
pub mod tool;
