//! Addresses of the peers that links connect to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A primary address, which may change while links to it are connected, and optional fallbacks. Clones share the address.
#[derive(Clone)]
pub struct Address {
    primary: Arc<Mutex<SocketAddr>>,
    fallbacks: Arc<[SocketAddr]>,
}

impl Address {
    /// Creates an address without fallbacks.
    pub fn new(primary: SocketAddr) -> Address {
        Address { primary: Arc::new(Mutex::new(primary)), fallbacks: Arc::new([]) }
    }

    /// Creates an address from a list: the first is the primary, the others are fallbacks, tried in order while connecting
    /// fails. Returns `None` for an empty list.
    pub fn with_fallbacks(addresses: &[SocketAddr]) -> Option<Address> {
        let (primary, fallbacks) = addresses.split_first()?;
        Some(Address { primary: Arc::new(Mutex::new(*primary)), fallbacks: fallbacks.into() })
    }

    /// Returns the address to try after this many consecutive failures.
    pub(crate) fn after_failures(&self, failures: usize) -> SocketAddr {
        match failures % (self.fallbacks.len() + 1) {
            0 => self.get(),
            n => self.fallbacks.get(n - 1).copied().unwrap_or_else(|| self.get()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SocketAddr> {
        self.primary.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the primary address.
    pub fn get(&self) -> SocketAddr {
        *self.lock()
    }

    /// Changes the primary address and reports whether the new one differs from the old one. An established connection is
    /// kept until it ends; [`crate::Outbox::wake_owner`] wakes a link that waits to connect.
    pub fn set(&self, address: SocketAddr) -> bool {
        std::mem::replace(&mut *self.lock(), address) != address
    }
}
