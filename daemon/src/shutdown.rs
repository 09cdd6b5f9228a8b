//! Graceful shutdown, and the learned values that are saved before it.

use crate::clocks::read_clocks;
use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::store::Store;
use asterrill::Us;
use asterrill_net::{now, wait_until};
use std::sync::Arc;

/// For all connections to be closed on both sides before the kill, in microseconds.
const CLOSE_TIMEOUT_US: Us = 70_000;
/// Between looks whether they are, in microseconds.
const CLOSE_POLL_INTERVAL_US: Us = 5_000;

/// What is done when the notice to shut down comes.
pub struct Shutdown {
    membership: Option<Arc<MembershipService>>,
    store: Option<Store>,
    /// From the notice to the kill, in microseconds; a reload may change it.
    pub grace: Us,
    begun: bool,
}

impl Shutdown {
    /// With `grace` microseconds from the notice to the kill.
    pub fn new(membership: Option<Arc<MembershipService>>, store: Option<Store>, grace: Us) -> Shutdown {
        Shutdown { membership, store, grace, begun: false }
    }

    /// The notice came already.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Saves what was learned, if that is due, or at the notice.
    pub fn save_learned(&self, dispatcher: &Dispatcher, at_notice: bool) {
        let learned = dispatcher.with(|core, _, now| core.take_snapshot(now, read_clocks, at_notice));
        if let (Some(learned), Some(store)) = (learned, &self.store) {
            store.save_learned(learned);
        }
    }

    /// The notice came. Learned values are those of the moment before: what a drain does to the figures is not worth
    /// learning.
    pub fn begin(&mut self, dispatcher: &Dispatcher) {
        let first = !std::mem::replace(&mut self.begun, true);
        self.save_learned(dispatcher, first);
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        dispatcher.with(|core, outbound, now| core.drain(now, self.grace, outbound));
    }
}

/// Closes all connections in order, and waits until they are closed, so long at most.
pub fn close_connections(dispatcher: &Dispatcher) {
    dispatcher.close_all();
    let until = now() + CLOSE_TIMEOUT_US;
    while !dispatcher.all_closed() && now() < until {
        wait_until(now() + CLOSE_POLL_INTERVAL_US);
    }
}
