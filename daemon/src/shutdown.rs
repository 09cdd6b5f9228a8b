//! Graceful shutdown, and storage of learned values before it.

use crate::clocks::read_clocks;
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::store::Store;
use asterrill::Us;
use asterrill_net::{now, wait_until};
use std::sync::Arc;

/// Maximum time to wait for all connections to be closed on both sides before the process is killed, in microseconds.
const CLOSE_TIMEOUT_US: Us = 70_000;
/// Interval between checks whether all connections are closed, in microseconds.
const CLOSE_POLL_INTERVAL_US: Us = 5_000;

/// Graceful shutdown, started by the shutdown notice SIGTERM.
pub struct Shutdown {
    membership: Option<Arc<MembershipService>>,
    store: Option<Store>,
    /// The time from the notice until the process is killed, in microseconds; a reload may change it.
    pub grace: Us,
    begun: bool,
}

impl Shutdown {
    /// Creates a shutdown with `grace` microseconds from the notice until the process is killed.
    pub fn new(membership: Option<Arc<MembershipService>>, store: Option<Store>, grace: Us) -> Shutdown {
        Shutdown { membership, store, grace, begun: false }
    }

    /// Reports whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Stores the learned values if that is due, or in any case at the shutdown notice.
    pub fn save_learned(&self, dispatcher: &Dispatcher, at_notice: bool) {
        let learned = dispatcher.with(|core, _, now| core.take_snapshot(now, read_clocks, at_notice));
        if let (Some(learned), Some(store)) = (learned, &self.store) {
            store.save_learned(learned);
        }
    }

    /// Begins the shutdown. The learned values are stored before the drain, which distorts the figures.
    pub fn begin(&mut self, dispatcher: &Dispatcher) {
        let first = !std::mem::replace(&mut self.begun, true);
        self.save_learned(dispatcher, first);
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        dispatcher.with(|core, outbound, now| core.drain(now, self.grace, outbound));
    }
}

/// Closes all connections gracefully, and waits until they are closed, for a limited time.
pub fn close_connections(dispatcher: &Dispatcher) {
    dispatcher.close_all();
    let until = now() + CLOSE_TIMEOUT_US;
    while !dispatcher.all_closed() && now() < until {
        wait_until(now() + CLOSE_POLL_INTERVAL_US);
    }
}
