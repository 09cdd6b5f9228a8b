//! `fleet-return`: most of a fleet restarted at once, persisted state lost, the upstream away; how long until service
//! is full again, and who was called too much meanwhile.

mod faults;
mod measurements;
mod run;
mod scenario;
mod service;

pub use scenario::scenario;
