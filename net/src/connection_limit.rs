//! How many connections may be open at a time.

use crate::notify::Notify;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::Arc;

struct Shared {
    /// Permits that are left. Negative after the limit was lowered below what is open.
    free: AtomicIsize,
    /// Wakes the listener when permits come back.
    released: Notify,
}

/// A limit on open connections. Clones share it.
#[derive(Clone)]
pub struct ConnectionLimit {
    shared: Arc<Shared>,
}

/// One connection's place under a [`ConnectionLimit`], until it is dropped.
pub struct ConnectionPermit {
    limit: ConnectionLimit,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limit.adjust(1);
    }
}

impl ConnectionLimit {
    /// At most `max` connections.
    pub fn new(max: usize) -> ConnectionLimit {
        let shared = Shared { free: AtomicIsize::new(max as isize), released: Notify::default() };
        ConnectionLimit { shared: Arc::new(shared) }
    }

    /// Raises or lowers the limit. Connections beyond a lowered limit stay open; the next one waits until enough have ended.
    pub fn adjust(&self, by: isize) {
        self.shared.free.fetch_add(by, Ordering::AcqRel);
        self.shared.released.notify();
    }

    /// The calling coroutine is woken when permits come back.
    pub(crate) fn register(&self) {
        self.shared.released.register();
    }

    /// A permit, if one is left.
    pub(crate) fn try_acquire(&self) -> Option<ConnectionPermit> {
        let take_one = |free: isize| Some(free - 1).filter(|left| *left >= 0);
        let taken = self.shared.free.fetch_update(Ordering::AcqRel, Ordering::Acquire, take_one);
        taken.ok().map(|_| ConnectionPermit { limit: self.clone() })
    }
}
