//! The callers of a fleet, each in a thread of its own.

use super::caller::{Caller, Shared};
use super::ledger::CallerLedger;
use super::profile::{BackendAddresses, CallerProfile};
use crate::fleet::name_service::NameService;
use crate::sync::lock;
use std::sync::MutexGuard;
use std::thread;
use std::time::{Duration, Instant};

/// The callers of a fleet.
#[derive(Clone)]
pub struct Callers {
    shared: Shared,
}

impl Callers {
    /// Starts them; `start` is when their account begins.
    pub fn start(
        start: Instant, profile: &CallerProfile, backend_addresses: &BackendAddresses,
        name_service: &NameService,
    ) -> Callers {
        let callers = Callers { shared: Shared::new(start, profile, backend_addresses, name_service) };
        let ignores_hints = (profile.callers as f64 * profile.ignoring_share).round() as usize;
        for number in 0..profile.callers {
            let mut caller = Caller::new(number, number < ignores_hints, callers.shared.clone());
            thread::spawn(move || caller.run());
        }
        callers
    }

    /// Their account so far.
    pub fn ledger(&self) -> MutexGuard<'_, CallerLedger> {
        lock(&self.shared.ledger)
    }

    /// All break off their connections within the next 50 ms and connect anew.
    pub fn reconnect(&self) {
        *lock(&self.shared.reconnect_at) = Some(Instant::now());
    }

    /// No more RPCs are sent; those in flight may end.
    pub fn stop(&self, wait: Duration) {
        self.shared.stop();
        thread::sleep(wait);
    }
}
