//! Scenarios of changes of the configuration: bad ones under load, that have to be undone, and good ones that stay.

mod bad_change;
mod crash;
mod good_change;
mod stage;
mod storm;

pub use bad_change::bad_change;
pub use crash::crash;
pub use good_change::good_change;
pub use storm::storm;
