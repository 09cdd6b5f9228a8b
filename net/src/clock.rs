//! The system's Unix clock, and waiting by it.
//!
//! The timers of `may` are not used: its `park_timeout` keeps whole milliseconds only, so that a wait of less
//! than one never ends, and it wakes sleepers on a thread of its own beside the worker. Here one plain thread
//! knows when whom to wake, to the microsecond, and all that is woken runs on the worker.

use may::coroutine::{self, Coroutine};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Microseconds of a clock that nobody sets, since this process began to ask: for what is counted between machines.
pub fn elapsed() -> u64 {
    static BEGAN: OnceLock<Instant> = OnceLock::new();
    BEGAN.get_or_init(Instant::now).elapsed().as_micros() as u64
}

const LONGEST: u64 = 500_000; // between looks at the clock, which may be set

/// Who waits until when, and a number to tell those of one moment apart.
struct Waiting {
    until: BTreeMap<(u64, u64), Coroutine>,
    next: u64,
}

struct Alarms {
    waiting: Mutex<Waiting>,
    earlier: Condvar,
}

static ALARMS: Alarms =
    Alarms { waiting: Mutex::new(Waiting { until: BTreeMap::new(), next: 0 }), earlier: Condvar::new() };

impl Alarms {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Wakes whoever is due; the work of the one thread for that.
pub(crate) fn alarms() {
    let mut waiting = ALARMS.waiting();
    loop {
        let now = now();
        while let Some(entry) = waiting.until.first_entry().filter(|entry| entry.key().0 <= now) {
            entry.remove().unpark();
        }
        let wait = waiting.until.first_key_value().map_or(LONGEST, |((at, _), _)| (at - now).min(LONGEST));
        let woken = ALARMS.earlier.wait_timeout(waiting, Duration::from_micros(wait));
        waiting = woken.unwrap_or_else(|e| e.into_inner()).0;
    }
}

/// Waits until unparked. Then others get their turn first: a coroutine that is unparked from another thread
/// while it is about to wait goes on within the scheduler's own call, and `may` 0.3.51 hangs its worker for
/// good if it comes to its end there.
pub(crate) fn park() {
    coroutine::park();
    coroutine::yield_now();
}

/// Waits until `at`, or until the bell that this coroutine attends is rung. Others get their turn in any
/// case.
pub fn wait_until(at: u64) {
    if at <= now() {
        return coroutine::yield_now();
    }
    wait(at);
}

/// Lets everyone else go first who is ready or whose socket is. `yield_now` of `may` 0.3.51 does not: its
/// worker looks at sockets, and takes up what was started or woken, only once nobody yields any more. One
/// peer that sends as fast as it is read, or a rush of new connections, would hold up all others.
pub fn turn() {
    wait(now());
}

fn wait(at: u64) {
    let key = {
        let mut waiting = ALARMS.waiting();
        let key = (at, waiting.next);
        waiting.next += 1;
        waiting.until.insert(key, coroutine::current());
        if waiting.until.first_key_value().is_some_and(|(first, _)| *first == key) {
            ALARMS.earlier.notify_one();
        }
        key
    };
    park();
    ALARMS.waiting().until.remove(&key);
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
