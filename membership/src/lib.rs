//! Cluster membership: failure detection among backends, and their policy during partitions.
//!
//! The crate performs no I/O. The caller passes in time, a random seed and datagrams, and takes out datagrams and
//! events. Probing, suspicion and gossip are implemented by `foca` (SWIM, after Das, Gupta and Motivala 2002). This
//! crate adds:
//!
//! | part | purpose |
//! | --- | --- |
//! | [`MemberId`] | identifies a member by name, address and process start; a later start replaces an earlier one |
//! | [`EnvelopeCodec`] | authenticates datagrams and drops foreign, forged and replayed ones before parsing them |
//! | [`Membership`] | the state machine: pause detection, flap damping, duplicate names, contacts, capacity limits |
//! | [`View`], [`Quorum`] | compare the members that are present with the agreed members |
//! | [`role_policy()`] | maps each view to what the parts of a backend may do |
//! | [`PersistedState`] | holds the state that a process leaves for its successor |
//! | [`QuotaLease`] | computes this member's fraction of a divided limit: shrinks at once, grows after a delay |
//!
//! A view never decides about a single RPC. It changes one parameter of the decision module, and no RPC waits for it.

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
