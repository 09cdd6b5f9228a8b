//! Starting the worker and coroutines: the one place that needs `unsafe`.

use may::coroutine::Builder;
use std::io;

/// Words of stack for a coroutine (8 bytes each). The deepest path, from a frame through the decision module
/// to an outbox, used 969 in a release build and 2,755 in a debug build; pages never touched take no memory.
const STACK_WORDS: usize = 0x2000;
/// Stacks of ended coroutines that are used again.
const STACK_POOL_SIZE: usize = 64;
/// Between wakes of an idle worker; events and timers wake it at once.
const IDLE_WAKE_NS: u64 = 500_000_000;
const TIMER_THREAD_STACK_BYTES: usize = 1 << 16;

/// Starts one worker for one core, on whichever core the system likes, and the timer thread. Called once, before the first
/// coroutine.
///
/// # Errors
/// What the system says if the thread can't be started.
pub fn start_worker() -> io::Result<()> {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACK_POOL_SIZE);
    may::config().set_worker_pin(false);
    may::config().set_timeout_ns(IDLE_WAKE_NS);
    std::thread::Builder::new()
        .name("timers".into())
        .stack_size(TIMER_THREAD_STACK_BYTES)
        .spawn(crate::clock::run_timers)
        .map(drop)
}

/// Starts a coroutine that nobody waits for.
///
/// # Errors
/// What the system says if there is no memory for its stack.
#[allow(unsafe_code)]
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // `may` calls spawning unsafe for two reasons: code that relies on thread-local storage across a wait,
    // and stacks of a fixed size. Nothing here keeps thread-local state over a wait, and the size is above.
    unsafe { Builder::new().name(name.to_string()).spawn(work) }.map(drop)
}
