//! Turns of the connections that have more data to read than they may read at once.
//!
//! The worker polls sockets only once no coroutine is ready to run. Connections whose peers send as fast as they are read
//! would each become ready again while the others run, so that no socket was polled any more. Therefore they read one at a
//! time, in the order in which they asked, and after each turn the worker is left to all others for as long as the turn
//! took.

use crate::clock::{monotonic_now, now, park, wait_until};
use may::coroutine::{self, Coroutine};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Minimum time left to others after a turn, in microseconds.
const MIN_PAUSE_US: u64 = 50;
/// Maximum time left to others after a turn, in microseconds. A turn is longer only if the process was paused.
const MAX_PAUSE_US: u64 = 10_000;

struct TurnQueue {
    /// Number of the next turn that is requested.
    next: u64,
    /// Number of the turn that may be in progress.
    current: u64,
    /// Coroutines that wait for the turns after the current one, in order.
    waiting: VecDeque<Coroutine>,
}

static QUEUE: Mutex<TurnQueue> = Mutex::new(TurnQueue { next: 0, current: 0, waiting: VecDeque::new() });

fn lock() -> MutexGuard<'static, TurnQueue> {
    QUEUE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The turn of the calling coroutine. The next one begins when it is dropped.
pub(crate) struct Turn {
    started_at: u64,
}

impl Turn {
    /// Waits for a turn. The calling coroutine must not have one already.
    pub(crate) fn wait() -> Turn {
        let number = {
            let mut queue = lock();
            let number = queue.next;
            queue.next += 1;
            if number != queue.current {
                queue.waiting.push_back(coroutine::current());
            }
            number
        };
        while lock().current != number {
            park();
        }
        Turn { started_at: monotonic_now() }
    }

    /// Leaves the worker to others for as long as the turn took, then ends it.
    pub(crate) fn end(self) {
        let pause = (monotonic_now() - self.started_at).clamp(MIN_PAUSE_US, MAX_PAUSE_US);
        wait_until(now() + pause);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let next = {
            let mut queue = lock();
            queue.current += 1;
            queue.waiting.pop_front()
        };
        if let Some(next) = next {
            next.unpark();
        }
    }
}
