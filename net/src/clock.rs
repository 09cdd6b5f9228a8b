//! Clocks and timers.
//!
//! The timers of `may` are not used: its `park_timeout` has millisecond resolution, so that a wait of less than a millisecond
//! never ends, and it runs the woken coroutines on a thread of its own beside the worker. This module has one timer thread
//! with microsecond resolution, and every coroutine that it wakes runs on the worker.

use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in microseconds. The system clock may be set back.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Returns the time of the monotonic clock, in microseconds since the first call in this process.
pub fn monotonic_now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// Maximum sleep of the timer thread, which bounds the delay of timers when the Unix clock is set.
const MAX_SLEEP_US: u64 = 500_000;

/// Expiry of a timer in microseconds, and a sequence number that distinguishes timers with the same expiry.
type TimerKey = (u64, u64);

struct Timers {
    pending: BTreeMap<TimerKey, Coroutine>,
    next_sequence: u64,
}

struct TimerQueue {
    timers: Mutex<Timers>,
    /// Signalled when a timer is added that expires before all others.
    earlier: Condvar,
}

static QUEUE: TimerQueue = TimerQueue {
    timers: Mutex::new(Timers { pending: BTreeMap::new(), next_sequence: 0 }),
    earlier: Condvar::new(),
};

impl TimerQueue {
    fn lock(&self) -> MutexGuard<'_, Timers> {
        self.timers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a timer that wakes the calling coroutine at `at`.
    fn add(&self, at: u64) -> TimerKey {
        let mut timers = self.lock();
        let key = (at, timers.next_sequence);
        timers.next_sequence += 1;
        timers.pending.insert(key, coroutine::current());
        if timers.pending.first_key_value().is_some_and(|(first, _)| *first == key) {
            self.earlier.notify_one();
        }
        key
    }

    fn remove(&self, key: TimerKey) {
        self.lock().pending.remove(&key);
    }
}

/// Runs the timer thread, which wakes coroutines when their timers expire. Never returns.
pub(crate) fn run_timers() {
    let mut timers = QUEUE.lock();
    loop {
        let now = now();
        while let Some(entry) = timers.pending.first_entry().filter(|entry| entry.key().0 <= now) {
            entry.remove().unpark();
        }
        let next = timers.pending.first_key_value();
        let sleep = next.map_or(MAX_SLEEP_US, |((at, _), _)| (at - now).min(MAX_SLEEP_US));
        let woken = QUEUE.earlier.wait_timeout(timers, Duration::from_micros(sleep));
        timers = woken.unwrap_or_else(PoisonError::into_inner).0;
    }
}

/// Parks the calling coroutine until it is unparked, then yields to other coroutines.
///
/// The yield guards against a hang in `may` 0.3.51: a coroutine that is unparked from another thread while it is about to park
/// resumes inside the scheduler's own call, and if it ends there, the worker hangs permanently.
pub(crate) fn park() {
    coroutine::park();
    coroutine::yield_now();
}

/// Waits until the Unix time `at` (microseconds), or until the [`crate::Notify`] that this coroutine is registered with is
/// notified. Yields to other coroutines even if `at` has passed.
pub fn wait_until(at: u64) {
    if at <= now() {
        return coroutine::yield_now();
    }
    wait_for_timer(at);
}

/// Yields to every coroutine that is ready to run or whose socket is ready.
///
/// `yield_now` of `may` 0.3.51 does not: its worker polls sockets and schedules started or woken coroutines only once no
/// coroutine yields any more. A peer that sends as fast as it is read, or a burst of new connections, would delay all others.
pub fn yield_to_others() {
    wait_for_timer(now());
}

fn wait_for_timer(at: u64) {
    let key = QUEUE.add(at);
    park();
    QUEUE.remove(key);
}
