//! Versioned settings and lists on which the backends agree.
//!
//! No two backends enforce contradicting versions for longer than [`Config::contradiction_bound`]. The crate does no
//! I/O: the caller passes in datagrams, the time and completed writes, and takes out datagrams, writes and an apply
//! policy.
//!
//! | module | contents |
//! | --- | --- |
//! | `lists`, `step`, `version` | a [`Version`]: settings and lists under one number and hash, cheap to clone; a [`Step`] leads to the next one |
//! | `command`, `version_log` | the entries of the voters' log, and its state machine: the retained versions ([`VersionLog`]) |
//! | `voter`, `storage`, `record` | total order of versions and their durability at a majority of the voters, by the crate `raft` |
//! | `lease`, `lessor` | which node may enforce which version, and for how long |
//! | `apply_policy` | what a node enforces: with a lease, in transition between two versions, and without a lease ([`ApplyPolicy`]) |
//! | `message`, `fragment` | messages between nodes, split into fragments that fit a datagram |
//! | `node` | one [`Node`]: always a lease holder, and a voter if the configuration names it |
//!
//! ```
//! use asterrill_consensus::{Access, Change, Config, ListEntry, ListKind, Node, Proposal};
//! let config = Config {
//!     voters: vec!["n1".into()],
//!     lease_duration: 1_000_000,
//!     renew_interval: 200_000,
//!     tick_interval: 10_000,
//! };
//! let mut node = Node::new(0, "n1", 1, config, &[], &[]).unwrap();
//! let entry = ListEntry { access: Access::Denied, expires_at: 0 };
//! let changes = vec![Change::Put { kind: ListKind::Tenants, key: "tenant-7".into(), entry }];
//! for now in (0..3_000_000).step_by(10_000) {
//!     node.tick(now, now);
//!     if now == 2_000_000 {
//!         node.propose(Proposal::Change { base: None, changes: changes.clone() });
//!     }
//!     for write in node.take_writes() {
//!         // A real caller reports the number once the write is durable.
//!         node.persisted(now, write.number);
//!     }
//! }
//! assert!(node.apply_policy().rejects(ListKind::Tenants, "tenant-7"));
//! ```
#![warn(missing_docs)]

mod apply_policy;
mod command;
mod config;
mod fragment;
mod lease;
mod lessor;
mod lists;
mod message;
mod node;
mod proposal;
mod record;
mod step;
mod storage;
mod version;
mod version_log;
mod voter;

pub use apply_policy::{ApplyMode, ApplyPolicy, LeasedPolicy};
pub use command::{Command, CommandOutcome, ProposalId, ResolvedProposal};
pub use config::Config;
pub use fragment::fragment;
pub use lessor::LeaseHolderCount;
pub use lists::{caller_key, Access, ListEntry, ListKind, MAX_CALLER_DIGITS};
pub use node::{Counters, Datagram, Node, StartError};
pub use proposal::{CompletedProposal, Proposal, ProposalOutcome};
pub use record::{decode_records, encode_records, DecodedRecords, Record, StoredHardState, StoredSnapshot};
pub use step::{
    Change, Step, StepError, MAX_KEY_BYTES, MAX_LIST_ENTRIES, MAX_SETTINGS_BYTES, MAX_STEP_CHANGES,
};
pub use version::{contradicts, Version, VersionContents};
pub use version_log::{SnapshotError, VersionLog};
pub use voter::DiskWrite;
