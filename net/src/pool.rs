//! A bounded pool of reusable buffers of one size. Dropping a buffer returns it to its pool.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a buffer: the longest body that is accepted, plus its framing.
pub const BUFFER_BYTES: usize = 4608;

/// Number of free buffers that a pool retains. Further ones, which only a burst needed, are deallocated.
const MAX_FREE_BUFFERS: usize = 64;

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

/// Usage of a buffer pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Buffers in use now.
    pub in_use: usize,
    /// Maximum number of buffers that were in use at a time.
    pub peak: usize,
}

impl BufferPool {
    /// Creates a pool of which at most `max` buffers are in use at a time.
    pub fn new(max: usize) -> BufferPool {
        let state = State { free: Vec::new(), in_use: 0, max, peak: 0 };
        BufferPool { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an empty buffer. Returns `None` while all are in use.
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

    /// Takes an empty buffer unless only the reserve is left, which is the last quarter of the pool. An owner that already holds
    /// several buffers leaves the reserve to others.
    pub fn take_outside_reserve(&self) -> Option<PooledBuffer> {
        let above_reserve = {
            let state = self.lock();
            state.in_use < state.max / 4 * 3
        };
        self.take().filter(|_| above_reserve)
    }

    /// Takes a buffer and copies these bytes into it. Returns `None` if no buffer is free or there are more than
    /// [`BUFFER_BYTES`].
    pub fn copy_from(&self, bytes: &[u8]) -> Option<PooledBuffer> {
        let mut buffer = self.take().filter(|_| bytes.len() <= BUFFER_BYTES)?;
        buffer.extend_from_slice(bytes);
        Some(buffer)
    }

    /// Changes the maximum number of buffers. Buffers in use beyond a lowered maximum are returned as their owners drop them.
    pub fn resize(&self, max: usize) {
        self.lock().max = max;
    }

    /// Returns the total size of the maximum number of buffers.
    pub fn capacity_bytes(&self) -> usize {
        self.lock().max * BUFFER_BYTES
    }

    /// Returns the current and peak usage.
    pub fn usage(&self) -> PoolUsage {
        let state = self.lock();
        PoolUsage { in_use: state.in_use, peak: state.peak }
    }
}

/// A buffer that is returned to its pool on drop.
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
        if state.free.len() < MAX_FREE_BUFFERS && bytes.capacity() == BUFFER_BYTES {
            bytes.clear();
            state.free.push(bytes);
        }
    }
}
