//! What the parts cost at the fleet's size: `asterrill-lab scale-*`. Figures, with the budget beside what is over it.

pub mod agree;
mod hollow;
pub mod members;
mod members_real;
