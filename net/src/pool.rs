//! Buffers of one size, used again. Each goes back when its owner drops it.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard};

/// Bytes in a buffer: the longest body that is taken in, with what goes round it.
pub const SIZE: usize = 4608;
const SPARE: usize = 64; // that stay for later; what a rush needed more goes back to the system

struct Shelf {
    free: Vec<Vec<u8>>,
    out: usize,
    most: usize,
    peak: usize,
}

/// Hands out at most so many buffers at a time.
#[derive(Clone)]
pub struct Pool(Arc<Mutex<Shelf>>);

impl Pool {
    pub fn new(most: usize) -> Pool {
        Pool(Arc::new(Mutex::new(Shelf { free: Vec::new(), out: 0, most, peak: 0 })))
    }
    fn shelf(&self) -> MutexGuard<'_, Shelf> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
    /// An empty buffer, or none while as many as there may be are out.
    pub fn take(&self) -> Option<Buf> {
        let mut shelf = self.shelf();
        if shelf.out >= shelf.most {
            return None;
        }
        shelf.out += 1;
        shelf.peak = shelf.peak.max(shelf.out);
        let bytes = shelf.free.pop().unwrap_or_else(|| Vec::with_capacity(SIZE));
        Some(Buf { bytes, pool: self.clone() })
    }
    /// The same for those who hold many already: the last quarter is left to the others.
    pub fn take_spare(&self) -> Option<Buf> {
        let spare = {
            let shelf = self.shelf();
            shelf.out < shelf.most / 4 * 3
        };
        self.take().filter(|_| spare)
    }
    /// A buffer that holds these bytes; none also where they are too many.
    pub fn hold(&self, bytes: &[u8]) -> Option<Buf> {
        let mut buf = self.take().filter(|_| bytes.len() <= SIZE)?;
        buf.extend_from_slice(bytes);
        Some(buf)
    }
    /// From now on there may be so many; what is out beyond that comes back by itself.
    pub fn resize(&self, most: usize) {
        self.shelf().most = most;
    }
    /// Bytes of all buffers that there may be.
    pub fn bytes(&self) -> usize {
        self.shelf().most * SIZE
    }
    /// Buffers out now, and the most there ever were.
    pub fn used(&self) -> (usize, usize) {
        let shelf = self.shelf();
        (shelf.out, shelf.peak)
    }
}

/// A buffer on loan.
pub struct Buf {
    bytes: Vec<u8>,
    pool: Pool,
}

impl Deref for Buf {
    type Target = Vec<u8>;
    fn deref(&self) -> &Vec<u8> {
        &self.bytes
    }
}

impl DerefMut for Buf {
    fn deref_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}

impl AsRef<[u8]> for Buf {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buf {
    fn drop(&mut self) {
        let mut bytes = std::mem::take(&mut self.bytes);
        let mut shelf = self.pool.shelf();
        shelf.out -= 1;
        if shelf.free.len() < SPARE && bytes.capacity() == SIZE {
            bytes.clear();
            shelf.free.push(bytes);
        }
    }
}
