//! Stand-in sidecars of a fleet: each sends RPCs at random, chooses among the backends that a late list names, and
//! retries elsewhere without a mark. A part of them ignores `pause` and credit.

mod attempts;
mod balancing;
mod caller;
mod connection;
mod ledger;
mod profile;
mod spawn;

pub use ledger::{in_time_share, Bucket, CallerLedger, Rejection, UnansweredAttempt, BUCKET_MS};
pub use profile::{BackendAddresses, CallerProfile};
pub use spawn::Callers;
