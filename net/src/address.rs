//! Where the other side of a link listens.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An address that may change while links to it are up, and perhaps fallbacks. Clones share the address.
#[derive(Clone)]
pub struct Address {
    primary: Arc<Mutex<SocketAddr>>,
    fallbacks: Arc<[SocketAddr]>,
}

impl Address {
    /// One address.
    pub fn new(primary: SocketAddr) -> Address {
        Address { primary: Arc::new(Mutex::new(primary)), fallbacks: Arc::new([]) }
    }

    /// The first of several addresses; the others are tried in their order while those before fail. `None` for none.
    pub fn with_fallbacks(addresses: &[SocketAddr]) -> Option<Address> {
        let (primary, fallbacks) = addresses.split_first()?;
        Some(Address { primary: Arc::new(Mutex::new(*primary)), fallbacks: fallbacks.into() })
    }

    /// The address to try after this many failures in a row.
    pub(crate) fn after_failures(&self, failures: usize) -> SocketAddr {
        match failures % (self.fallbacks.len() + 1) {
            0 => self.get(),
            n => self.fallbacks.get(n - 1).copied().unwrap_or_else(|| self.get()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SocketAddr> {
        self.primary.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address without fallbacks.
    pub fn get(&self) -> SocketAddr {
        *self.lock()
    }

    /// Changes the address. True if it was another. A link that is up stays until it ends; [`crate::Outbox::wake_owner`] wakes
    /// one that waits to connect.
    pub fn set(&self, address: SocketAddr) -> bool {
        std::mem::replace(&mut *self.lock(), address) != address
    }
}
