//! Listener of the broker, and the threads that serve its connections.

use super::connection::Connection;
use super::faults::FaultScript;
use super::ledger::BrokerLedger;
use super::message::Message;
use super::state::BrokerState;
use crate::sync::lock;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};

/// A stub broker.
#[derive(Clone)]
pub struct Broker {
    /// Address on which the broker listens.
    pub address: SocketAddr,
    state: Arc<Mutex<BrokerState>>,
}

impl Broker {
    /// Starts a broker that listens on a port chosen by the system.
    pub fn start(script: FaultScript) -> std::io::Result<Broker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(BrokerState::new(script)));
        let broker = Broker { address, state: state.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                std::thread::spawn(move || Connection::serve(stream, state));
            }
        });
        Ok(broker)
    }

    /// Returns this broker with an address on which nothing listens.
    pub fn unreachable(&self) -> std::io::Result<Broker> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Broker { address, state: self.state.clone() })
    }

    /// Locks and returns the state that its connections share.
    pub fn state(&self) -> MutexGuard<'_, BrokerState> {
        lock(&self.state)
    }

    /// Returns a copy of the ledger.
    pub fn ledger(&self) -> BrokerLedger {
        self.state().ledger.clone()
    }

    /// Returns the password that all users share.
    pub fn password(&self) -> String {
        self.state().password.clone()
    }

    /// Puts a message into a queue.
    pub fn publish(&self, queue: &str, mut message: Message) {
        let mut state = self.state();
        message.number = state.next_number();
        state.queues.entry(queue.into()).or_default().push_back(message);
    }

    /// Returns the number of messages that are ready in a queue.
    pub fn ready_messages(&self, queue: &str) -> usize {
        self.state().queues.get(queue).map_or(0, VecDeque::len)
    }
}
