//! Locking for stand-ins, which go on with what a panicked thread left behind.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also where a thread panicked while it held the lock: a ledger that is off by one entry is judged by
/// the rules of the scenario.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
