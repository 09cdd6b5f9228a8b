//! Buffers of one size, used again. Each goes back to its pool when its owner drops it.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes in a buffer: the longest body that is taken in, with what goes around it.
pub const BUFFER_BYTES: usize = 4608;

/// Unused buffers that a pool retains; more than that were needed in a burst, and go back to the system.
const MAX_RETAINED: usize = 64;

struct State {
    free: Vec<Vec<u8>>,
    in_use: usize,
    max: usize,
    peak: usize,
}

/// A bounded pool of buffers. Clones share it.
#[derive(Clone)]
pub struct BufferPool {
    state: Arc<Mutex<State>>,
}

/// How many buffers of a pool are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Buffers in use now.
    pub in_use: usize,
    /// The most that ever were in use at a time.
    pub peak: usize,
}

impl BufferPool {
    /// A pool of at most `max` buffers at a time.
    pub fn new(max: usize) -> BufferPool {
        let state = State { free: Vec::new(), in_use: 0, max, peak: 0 };
        BufferPool { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An empty buffer; `None` while all are in use.
    pub fn take(&self) -> Option<PooledBuffer> {
        let mut state = self.lock();
        if state.in_use >= state.max {
            return None;
        }
        state.in_use += 1;
        state.peak = state.peak.max(state.in_use);
        let bytes = state.free.pop().unwrap_or_else(|| Vec::with_capacity(BUFFER_BYTES));
        Some(PooledBuffer { bytes, pool: self.clone() })
    }

    /// The same for an owner that has several already: it leaves the last quarter of the buffers to others.
    pub fn take_with_reserve(&self) -> Option<PooledBuffer> {
        let ample = {
            let state = self.lock();
            state.in_use < state.max / 4 * 3
        };
        self.take().filter(|_| ample)
    }

    /// A buffer that holds these bytes; `None` also if there are more than [`BUFFER_BYTES`].
    pub fn copy_from(&self, bytes: &[u8]) -> Option<PooledBuffer> {
        let mut buffer = self.take().filter(|_| bytes.len() <= BUFFER_BYTES)?;
        buffer.extend_from_slice(bytes);
        Some(buffer)
    }

    /// Changes how many buffers there may be. More than that come back as their owners drop them.
    pub fn resize(&self, max: usize) {
        self.lock().max = max;
    }

    /// Bytes of all buffers that there may be.
    pub fn capacity_bytes(&self) -> usize {
        self.lock().max * BUFFER_BYTES
    }

    /// How many buffers are in use.
    pub fn usage(&self) -> PoolUsage {
        let state = self.lock();
        PoolUsage { in_use: state.in_use, peak: state.peak }
    }
}

/// A buffer of a pool, returned to it on drop.
pub struct PooledBuffer {
    bytes: Vec<u8>,
    pool: BufferPool,
}

impl Deref for PooledBuffer {
    type Target = Vec<u8>;
    fn deref(&self) -> &Vec<u8> {
        &self.bytes
    }
}

impl DerefMut for PooledBuffer {
    fn deref_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}

impl AsRef<[u8]> for PooledBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for PooledBuffer {
    fn drop(&mut self) {
        let mut bytes = std::mem::take(&mut self.bytes);
        let mut state = self.pool.lock();
        state.in_use -= 1;
        if state.free.len() < MAX_RETAINED && bytes.capacity() == BUFFER_BYTES {
            bytes.clear();
            state.free.push(bytes);
        }
    }
}
