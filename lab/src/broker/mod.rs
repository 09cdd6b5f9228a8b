//! A stub broker that implements the server side of AMQP 0-9-1 as far as a consumer needs it.
//!
//! It injects faults from a script and keeps a ledger of every delivery.

mod channel;
mod connection;
mod delivery;
mod faults;
mod ledger;
mod message;
mod methods;
mod server;
mod state;

pub use faults::{BrokerFault, FaultScript};
pub use ledger::{BrokerLedger, Settlement};
pub use message::{EndlessQueue, Message};
pub use server::Broker;
