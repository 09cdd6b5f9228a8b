//! Starts the worker and coroutines. This is the only module that needs `unsafe`.

use may::coroutine::Builder;
use std::io;

/// Stack size of a coroutine in words of 8 bytes. The deepest call path, from a frame through the decision module to an
/// outbox, used 969 words in a release build and 2,755 in a debug build. Untouched stack pages take no memory.
const STACK_WORDS: usize = 0x2000;
/// Number of stacks of ended coroutines that are kept for reuse.
const MAX_POOLED_STACKS: usize = 64;
/// Interval at which an idle worker polls. Events and timers wake it at once.
const IDLE_WAKE_NS: u64 = 500_000_000;
const TIMER_THREAD_STACK_BYTES: usize = 1 << 16;

/// Starts the single worker thread, which is not pinned to a core, and the timer thread. Must be called once, before the first
/// coroutine is started.
///
/// # Errors
/// Returns the operating system's error if the timer thread can't be started.
pub fn start_worker() -> io::Result<()> {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(MAX_POOLED_STACKS);
    may::config().set_worker_pin(false);
    may::config().set_timeout_ns(IDLE_WAKE_NS);
    std::thread::Builder::new()
        .name("timers".into())
        .stack_size(TIMER_THREAD_STACK_BYTES)
        .spawn(crate::clock::run_timers)
        .map(drop)
}

/// Starts a detached coroutine.
///
/// # Errors
/// Returns the operating system's error if there is no memory for the coroutine's stack.
#[allow(unsafe_code)]
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // `may` marks spawning as unsafe for two reasons: code that relies on thread-local storage across a wait, and stacks of a
    // fixed size. No coroutine here keeps thread-local state across a wait, and `STACK_WORDS` covers the deepest call path.
    unsafe { Builder::new().name(name.to_string()).spawn(work) }.map(drop)
}
