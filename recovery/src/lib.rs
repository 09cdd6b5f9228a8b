//! Recovery after a restart, an outage of the upstream tier, or the loss of stored state.
//!
//! Each decision is made by a state machine or a pure function of its own. Time, randomness, ages, the results of
//! upstream calls and the text of a snapshot are passed in; the crate performs no I/O.
//!
//! | decision | items |
//! | --- | --- |
//! | which learned state is stored, and in which format | [`Snapshot`], [`encode_checksummed`] |
//! | which stored values are still valid after this start | [`assess`], [`Assessment`] |
//! | how many calls may be in flight to the upstream tier after a start or an outage | [`SlowStart`] |
//! | how periodic work is spread, so that processes started together do not act in lockstep | [`seed`], [`phase`], [`JitteredInterval`] |
//! | how far a server has recovered, and on which evidence | [`StageTracker`] |
//!
//! Guarantees:
//!
//! - A snapshot is parsed completely or not at all: text that is truncated, damaged, written by another program or
//!   invalid is an error, never a panic or a partial result.
//! - No restored cost exceeds [`MAX_COST_FRACTION`] of its latency target, and no restored value withholds an RPC or a
//!   call for longer than [`MAX_EFFECT_TIME_US`] without fresh evidence.
//! - An age that can't be trusted is treated as too old.
//!
//! ```
//! use asterrill_recovery::{age, ClockReading};
//! let then = ClockReading { wall: 7_200_000_000, uptime: 1_000_000, boot_id: 7 };
//! // The wall clock was set back by an hour, but the machine was not rebooted, so the age is known from the uptime.
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
