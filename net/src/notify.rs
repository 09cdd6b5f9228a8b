//! Waking of one coroutine.

use may::coroutine::{self, Coroutine};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Wakes the one coroutine that is registered with it from its [`crate::wait_until`].
#[derive(Default)]
pub struct Notify {
    waiter: Mutex<Option<Coroutine>>,
}

impl Notify {
    fn waiter(&self) -> MutexGuard<'_, Option<Coroutine>> {
        self.waiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The calling coroutine is the one that is woken from now on.
    pub fn register(&self) {
        *self.waiter() = Some(coroutine::current());
    }

    /// Wakes the registered coroutine, if there is one; if it does not wait, its next wait ends at once.
    pub fn notify(&self) {
        if let Some(waiter) = &*self.waiter() {
            waiter.unpark();
        }
    }
}
