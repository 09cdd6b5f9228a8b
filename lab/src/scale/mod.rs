//! What the parts cost at the fleet's size: `asterrill-lab scale-*`. Figures, with the budget beside what is over it.

pub mod agree;
pub mod callers;
pub mod capacity;
pub mod config;
pub mod forms;
mod hollow;
pub mod members;
mod members_real;
pub mod rpc;
pub mod sizes;
mod statistics;
mod test_bed;
pub mod tool;
