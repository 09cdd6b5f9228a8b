//! One node: always a lease holder, and a voter if the configuration names it.
//!
//! | module | job |
//! | --- | --- |
//! | `state` | the fields of [`Node`], its start, and what can be read from it |
//! | `driver` | time, datagrams and finished writes come in, and what the voter does in response |
//! | `messaging` | sending and dispatching of messages |
//! | `proposals` | operators' proposals, at the node that takes them and at the leader |
//! | `leases` | requests for leases, and their grants |
//! | `activation` | when a version becomes active, and what this node acts on |
//! | `catch_up` | fetching of versions that a node lacks |

mod activation;
mod catch_up;
mod driver;
mod leases;
mod messaging;
mod proposals;
mod state;

pub use state::{Counters, Datagram, Node, StartError};
