//! Wakeups of a single registered coroutine.

use may::coroutine::{self, Coroutine};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A notification that wakes one registered coroutine from [`crate::wait_until`].
#[derive(Default)]
pub struct Notify {
    waiter: Mutex<Option<Coroutine>>,
}

impl Notify {
    fn waiter(&self) -> MutexGuard<'_, Option<Coroutine>> {
        self.waiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the calling coroutine, in place of any other.
    pub fn register(&self) {
        *self.waiter() = Some(coroutine::current());
    }

    /// Wakes the registered coroutine, if there is one. If it is not waiting, its next wait ends at once.
    pub fn notify(&self) {
        if let Some(waiter) = &*self.waiter() {
            waiter.unpark();
        }
    }
}
