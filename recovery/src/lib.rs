//! Recovery after a restart, an outage of the upstream tier, or the loss of stored state.
//!
//! Each question is decided by a state machine or a pure function of its own. Time, randomness, ages and the results of
//! upstream calls are passed in; the text of a snapshot goes out and comes in.
//!
//! | question | where |
//! | --- | --- |
//! | what is worth storing, and in which form | [`Snapshot`], [`encode_checksummed`] |
//! | what of it still holds after this start | [`assess`], [`Assessment`] |
//! | how many calls the upstream tier gets after a start or an outage | [`SlowStart`] |
//! | who waits how long, so that processes that start together don't act in step | [`seed`], [`phase`], [`JitteredInterval`] |
//! | how far a server has recovered, by what evidence | [`StageTracker`] |
//!
//! Promises:
//!
//! - A snapshot is read whole or not at all: what is cut short, damaged, of another program or invalid is an error,
//!   never a panic and never half of it.
//! - Nothing restored is more pessimistic than a server that has learned nothing by more than [`MAX_COST_FRACTION`], and
//!   nothing restored withholds an RPC or a call for longer than [`MAX_EFFECT_TIME_US`] without fresh evidence.
//! - An age that can't be trusted counts as too old.
//!
//! ```
//! use asterrill_recovery::{age, ClockReading};
//! let then = ClockReading { wall: 7_200_000_000, uptime: 1_000_000, boot_id: 7 };
//! // The wall clock was set back by an hour meanwhile; the machine has not been restarted, so its age is known.
//! let now = ClockReading { wall: 3_600_000_000, uptime: 3_000_000, boot_id: 7 };
//! assert_eq!(age(&now, &then), Some(2_000_000));
//! ```

#![warn(missing_docs)]

mod assessment;
mod checksummed;
mod clock;
mod jitter;
mod slow_start;
mod snapshot;
mod stages;
mod staleness;

pub use assessment::{Assessment, DiscardReason, RestoredCost, ValueKind, ValueVerdict, Verdict};
pub use checksummed::{decode_checksummed, encode_checksummed, ChecksumError, MAX_TEXT_BYTES};
pub use clock::{age, ClockReading};
pub use jitter::{phase, seed, JitteredInterval};
pub use slow_start::{CallSample, SlowStart, SlowStartConfig};
pub use snapshot::{
    AccountBalance, MethodCost, Snapshot, SnapshotError, TenantAllowance, MAX_ACCOUNTS, MAX_METHODS,
    MAX_TENANTS,
};
pub use stages::{Stage, StageEvidence, StageReason, StageTracker};
pub use staleness::{
    assess, CurrentServer, LatencyTargets, MAX_COST_FRACTION, MAX_EFFECT_TIME_US, MAX_RESTORED_RUNS,
};
