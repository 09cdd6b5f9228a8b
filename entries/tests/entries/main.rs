//! Versions, steps and their limits, checked against a simple model.

mod bounds;
mod model;
mod steps;
mod versions;
