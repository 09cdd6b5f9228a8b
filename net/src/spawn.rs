//! Starting coroutines: the one place that needs `unsafe`.

use may::coroutine::Builder;
use std::io;

/// Words of stack for a coroutine (8 bytes each). The deepest path, from a frame through the decision module
/// to an outbox, used 969 in a release build and 2,755 in a debug build; pages never touched take no memory.
const STACK: usize = 0x2000;

/// One worker for one core, on whichever core the system likes, and the thread that wakes those that wait.
/// Called once, before the first coroutine.
pub fn one_worker() -> io::Result<()> {
    may::config().set_workers(1).set_stack_size(STACK).set_pool_capacity(64);
    may::config().set_worker_pin(false);
    may::config().set_timeout_ns(500_000_000); // wakes of an idle worker; events and timers come at once
    std::thread::Builder::new()
        .name("alarms".into())
        .stack_size(1 << 16)
        .spawn(crate::clock::alarms)
        .map(drop)
}

/// Starts a coroutine that nobody waits for.
#[allow(unsafe_code)]
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    // `may` calls spawning unsafe for two reasons: code that relies on thread-local storage across a wait,
    // and stacks of a fixed size. Nothing here keeps thread-local state over a wait, and the size is above.
    unsafe { Builder::new().name(name.to_string()).spawn(work) }.map(drop)
}
