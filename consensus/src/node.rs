//! Nodes of the agreement: each is a lease holder, and a voter if the configuration names it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `state` | the fields of [`Node`], its start and its accessors |
//! | `driver` | input of time, datagrams and completed writes, and the handling of the voter's output |
//! | `messaging` | sending and dispatching of messages |
//! | `proposals` | operators' proposals, at the node where they are made and at the leader |
//! | `leases` | lease requests and grants |
//! | `activation` | activation of versions, and the policy that this node enforces |
//! | `catch_up` | fetching of versions that a node lacks |

mod activation;
mod catch_up;
mod driver;
mod leases;
mod messaging;
mod proposals;
mod state;

pub use state::{Counters, Datagram, Node, StartError};
