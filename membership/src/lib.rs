//! Which backends are alive, which have failed, and what a backend does while members disagree or are cut off.
//!
//! Time, randomness and datagrams are passed in; datagrams and events come out. Probing, suspicion and gossip are those
//! of `foca` (SWIM, after Das, Gupta and Motivala 2002). What is built around it:
//!
//! | part | job |
//! | --- | --- |
//! | [`MemberId`] | a name, its address, and which process start it is: a later start takes its place |
//! | [`EnvelopeCodec`] | authenticates datagrams and drops what is foreign, forged or replayed before it is read |
//! | [`Membership`] | the state machine: pauses, damping of flapping members, duplicate names, contacts, bounds |
//! | [`View`], [`Quorum`] | how much of the agreed cluster is present |
//! | [`role_policy()`] | the table: what each part of a backend does in each view |
//! | [`PersistedState`] | what a restart needs of the process before |
//! | [`QuotaLease`] | the fraction of a divided limit that this member may use: shrinks at once, grows late |
//!
//! A view never decides about an RPC. It changes one figure of the decision module, and nothing waits for it.

#![warn(missing_docs)]

mod config;
mod counters;
mod envelope;
mod event;
mod flap;
mod member;
mod member_id;
mod member_name;
mod persisted_state;
mod quorum;
mod quota_lease;
mod rate_limit;
mod receive;
mod replay;
mod role_policy;
mod send;
mod state;
mod suspicion;
mod swim;
#[cfg(test)]
mod tests;
mod tick;
mod timers;
mod transitions;
mod transmit;
mod view;
mod view_update;

pub use config::MembershipConfig;
pub use counters::Counters;
pub use envelope::{Envelope, EnvelopeCodec, EnvelopeError};
pub use event::Event;
pub use member::{MemberInfo, MemberStatus, StatusReason};
pub use member_id::MemberId;
pub use member_name::MemberName;
pub use persisted_state::{ParseStateError, PersistedState, RestoredState};
pub use quorum::Quorum;
pub use quota_lease::{LeaseTiming, QuotaLease};
pub use role_policy::{role_policy, AllowedChanges, RolePolicy, STATIC_QUOTA_FRACTION};
pub use state::Membership;
pub use transmit::{Message, Transmit};
pub use view::{View, ViewEvidence};
