//! The system's Unix clock, and waiting by it.

use may::coroutine::{self, Coroutine};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Microseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Rings for the one coroutine that waits at it.
#[derive(Default)]
pub struct Bell(Mutex<Option<Coroutine>>);

impl Bell {
    /// The calling coroutine is the one that waits from now on.
    pub fn attend(&self) {
        *self.0.lock().unwrap_or_else(|e| e.into_inner()) = Some(coroutine::current());
    }
    pub fn ring(&self) {
        if let Some(waiting) = &*self.0.lock().unwrap_or_else(|e| e.into_inner()) {
            waiting.unpark();
        }
    }
}

/// Waits until `at`, or until the bell that this coroutine attends is rung. Comes back on the worker: `may`
/// itself lets go of sleepers on its timer thread.
pub fn wait_until(at: u64) {
    let span = at.saturating_sub(now());
    if span > 0 {
        coroutine::park_timeout(Duration::from_micros(span));
    }
    coroutine::yield_now();
}
