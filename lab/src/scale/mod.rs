//! Scenarios at the size of the fleet ahead.

pub mod agree;
