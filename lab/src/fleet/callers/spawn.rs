//! Callers of a fleet, each in its own thread.

use super::caller::{Caller, SharedState};
use super::ledger::CallerLedger;
use super::profile::{BackendAddresses, CallerProfile};
use crate::fleet::name_service::NameService;
use crate::sync::lock;
use std::sync::MutexGuard;
use std::thread;
use std::time::{Duration, Instant};

/// The running callers of a fleet.
#[derive(Clone)]
pub struct Callers {
    shared: SharedState,
}

impl Callers {
    /// Starts the callers; `start` is the time at which their statistics begin.
    pub fn start(
        start: Instant, profile: &CallerProfile, backend_addresses: &BackendAddresses,
        name_service: &NameService,
    ) -> Callers {
        let callers = Callers { shared: SharedState::new(start, profile, backend_addresses, name_service) };
        let ignoring_count = (profile.callers as f64 * profile.ignoring_share).round() as usize;
        for number in 0..profile.callers {
            let mut caller = Caller::new(number, number < ignoring_count, callers.shared.clone());
            thread::spawn(move || caller.run());
        }
        callers
    }

    /// Returns the locked statistics of the callers so far.
    pub fn ledger(&self) -> MutexGuard<'_, CallerLedger> {
        lock(&self.shared.ledger)
    }

    /// Makes all callers close their connections within the next 50 ms and reconnect.
    pub fn reconnect(&self) {
        *lock(&self.shared.reconnect_at) = Some(Instant::now());
    }

    /// Stops sending new RPCs, and waits this long for those in flight.
    pub fn stop(&self, wait: Duration) {
        self.shared.stop();
        thread::sleep(wait);
    }
}
