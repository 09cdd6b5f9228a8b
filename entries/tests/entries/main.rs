//! Versions, steps and their bounds, checked against a plain model.

mod bounds;
mod model;
mod steps;
mod versions;
