//! Stub sidecars that call a fleet. Each sends RPCs at random intervals, chooses a backend from a delayed list,
//! and retries at other backends without marking the RPC as a retry. Some of them ignore `pause` and credit.

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
