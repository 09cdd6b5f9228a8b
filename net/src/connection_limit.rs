//! A limit on the number of open connections.

use crate::notify::Notify;
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::Arc;

struct Shared {
    /// Number of available permits. Negative after the limit was lowered below the number of open connections.
    available: AtomicIsize,
    /// Wakes the listener when permits become available.
    released: Notify,
}

/// A limit on open connections. Clones share it.
#[derive(Clone)]
pub struct ConnectionLimit {
    shared: Arc<Shared>,
}

/// A permit for one connection under a [`ConnectionLimit`]. Dropping it returns it.
pub struct ConnectionPermit {
    limit: ConnectionLimit,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limit.adjust(1);
    }
}

impl ConnectionLimit {
    /// Creates a limit of `max` connections.
    pub fn new(max: usize) -> ConnectionLimit {
        let shared = Shared { available: AtomicIsize::new(max as isize), released: Notify::default() };
        ConnectionLimit { shared: Arc::new(shared) }
    }

    /// Raises or lowers the limit. Connections above a lowered limit stay open; new ones wait until enough have ended.
    pub fn adjust(&self, by: isize) {
        self.shared.available.fetch_add(by, Ordering::AcqRel);
        self.shared.released.notify();
    }

    /// Registers the calling coroutine to be woken when permits become available.
    pub(crate) fn register(&self) {
        self.shared.released.register();
    }

    /// Takes a permit if one is available.
    pub(crate) fn try_acquire(&self) -> Option<ConnectionPermit> {
        let take_one = |available: isize| Some(available - 1).filter(|left| *left >= 0);
        let taken = self.shared.available.fetch_update(Ordering::AcqRel, Ordering::Acquire, take_one);
        taken.ok().map(|_| ConnectionPermit { limit: self.clone() })
    }
}
