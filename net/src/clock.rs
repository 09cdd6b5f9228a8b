//! The clocks, and waiting by them.
//!
//! The timers of `may` are not used: its `park_timeout` has whole milliseconds only, so that a wait of less than one never
//! ends, and it wakes coroutines on a thread of its own beside the worker. Here one plain thread wakes coroutines when their
//! time has come, to the microsecond, and all that is woken runs on the worker.

use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock, in microseconds. It may be set back.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// A clock that is never set, in microseconds since the first call in this process.
pub fn monotonic_now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// The longest sleep of the timer thread, in microseconds: the Unix clock may be set.
const MAX_SLEEP_US: u64 = 500_000;

/// When a coroutine is to be woken, and a number that tells timers of one moment apart.
type TimerKey = (u64, u64);

struct Timers {
    pending: BTreeMap<TimerKey, Coroutine>,
    next_number: u64,
}

struct TimerQueue {
    timers: Mutex<Timers>,
    /// Signalled when a timer is added that is earlier than all others.
    earlier: Condvar,
}

static QUEUE: TimerQueue = TimerQueue {
    timers: Mutex::new(Timers { pending: BTreeMap::new(), next_number: 0 }),
    earlier: Condvar::new(),
};

impl TimerQueue {
    fn lock(&self) -> MutexGuard<'_, Timers> {
        self.timers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a timer for the calling coroutine.
    fn add(&self, at: u64) -> TimerKey {
        let mut timers = self.lock();
        let key = (at, timers.next_number);
        timers.next_number += 1;
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

/// Wakes coroutines when their timers expire. Never returns: the work of the timer thread.
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

/// Waits until unparked. Then other coroutines get their turn first: a coroutine that is unparked from another thread while it
/// is about to wait goes on within the scheduler's own call, and `may` 0.3.51 hangs its worker for good if the coroutine ends
/// there.
pub(crate) fn park() {
    coroutine::park();
    coroutine::yield_now();
}

/// Waits until the Unix clock is at `at` (microseconds), or until the [`crate::Notify`] that this coroutine is registered with
/// is notified. Others get their turn in any case.
pub fn wait_until(at: u64) {
    if at <= now() {
        return coroutine::yield_now();
    }
    wait_for_timer(at);
}

/// Lets every coroutine that is ready, or whose socket is, run first. `yield_now` of `may` 0.3.51 does not: its worker looks at
/// sockets, and takes up what was started or woken, only once no coroutine yields any more. One peer that sends as fast as it
/// is read, or a rush of new connections, would hold up all others.
pub fn yield_to_others() {
    wait_for_timer(now());
}

fn wait_for_timer(at: u64) {
    let key = QUEUE.add(at);
    park();
    QUEUE.remove(key);
}
