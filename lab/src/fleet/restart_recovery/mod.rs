//! `fleet-return`: restarts of most of a fleet at once, loss of persisted state, or an outage of the upstream.
//! Measures the time until full service, and overload of backends and upstream meanwhile.

mod faults;
mod measurements;
mod run;
mod scenario;
mod service;

pub use scenario::scenario;
