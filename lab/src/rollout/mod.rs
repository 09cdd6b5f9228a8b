//! Scenarios of configuration changes: bad ones under load, which have to be undone, and good ones, which become final.

mod bad_change;
mod crash;
mod good_change;
mod managed_backend;
mod storm;

pub use bad_change::bad_change;
pub use crash::crash;
pub use good_change::good_change;
pub use storm::storm;
