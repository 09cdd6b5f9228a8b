//! A bounded queue of bytes to write to one socket, stored in pooled buffers. Adding bytes wakes the coroutine that owns the
//! socket.

use crate::pool::{BufferPool, PooledBuffer, BUFFER_BYTES};
use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of buffers that an outbox may use regardless of how few are free in the pool.
const GUARANTEED_BUFFERS: usize = 4;

/// A handle that wakes the coroutine that owns the socket.
pub(crate) enum Waker {
    /// The waker of a coroutine that waits for events of its socket.
    Io(WaitIoWaker),
    /// A coroutine that is parked without a connection.
    Parked(Coroutine),
}

/// The requested close of a connection, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseRequest {
    /// No close is requested.
    #[default]
    None,
    /// A close once the outbox is flushed.
    AfterFlush,
    /// A close at once.
    Now,
}

#[derive(Default)]
struct Queue {
    buffers: VecDeque<PooledBuffer>,
    /// Number of bytes of the first buffer that have been written.
    written: usize,
    /// Number of bytes that are queued.
    pending: usize,
    max_pending: usize,
    close: CloseRequest,
    /// Whether to close without waiting for the peer to close too, because the connection's permit is needed.
    skip_linger: bool,
    waker: Option<Waker>,
    last_used: u64,
}

impl Queue {
    fn wake_owner(&self) {
        match &self.waker {
            Some(Waker::Io(waker)) => waker.wakeup(),
            Some(Waker::Parked(owner)) => owner.unpark(),
            None => {}
        }
    }

    fn append(&mut self, mut bytes: &[u8], free: &mut impl Iterator<Item = PooledBuffer>) {
        while !bytes.is_empty() {
            if self.buffers.back().is_none_or(|buffer| buffer.len() == BUFFER_BYTES) {
                self.buffers.extend(free.next());
            }
            let Some(buffer) = self.buffers.back_mut() else { return };
            let (first, rest) = bytes.split_at(bytes.len().min(BUFFER_BYTES - buffer.len()));
            buffer.extend_from_slice(first);
            bytes = rest;
        }
    }
}

/// A bounded queue of bytes to write to one socket. Clones share it.
#[derive(Clone)]
pub struct Outbox {
    queue: Arc<Mutex<Queue>>,
    pool: BufferPool,
}

impl Outbox {
    /// Creates an outbox that holds at most `max_pending` bytes.
    pub fn new(pool: &BufferPool, max_pending: usize) -> Outbox {
        let queue = Queue { max_pending, ..Queue::default() };
        Outbox { queue: Arc::new(Mutex::new(queue)), pool: pool.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues all of these slices in order, or none of them. Returns whether they were queued.
    ///
    /// If they don't fit, because the peer reads too slowly or the pool is short of buffers, the connection is closed at once.
    /// Nothing is queued after a close was requested.
    pub fn put(&self, slices: &[&[u8]]) -> bool {
        let mut queue = self.lock();
        let length: usize = slices.iter().map(|slice| slice.len()).sum();
        let space = queue.buffers.back().map_or(0, |buffer| BUFFER_BYTES - buffer.len());
        let needed = length.saturating_sub(space).div_ceil(BUFFER_BYTES);
        let buffers = self.take_buffers(needed, queue.buffers.len());
        let fits = queue.pending + length <= queue.max_pending
            && buffers.len() == needed
            && queue.close == CloseRequest::None;
        if fits {
            queue.pending += length;
            let mut buffers = buffers.into_iter();
            for slice in slices {
                queue.append(slice, &mut buffers);
            }
        } else if queue.close == CloseRequest::None {
            queue.close = CloseRequest::Now;
        }
        queue.wake_owner();
        fits
    }

    /// Takes up to `count` buffers. An outbox that already holds [`GUARANTEED_BUFFERS`] leaves the pool's reserve to others, so
    /// that a slow peer is disconnected before it exhausts the pool.
    fn take_buffers(&self, count: usize, held: usize) -> Vec<PooledBuffer> {
        let has_guaranteed = held >= GUARANTEED_BUFFERS;
        (0..count)
            .map_while(|_| if has_guaranteed { self.pool.take_outside_reserve() } else { self.pool.take() })
            .collect()
    }

    /// Closes the current or next connection once the outbox is flushed. Further [`Outbox::put`] calls are refused.
    pub fn finish(&self) {
        let mut queue = self.lock();
        queue.close = queue.close.max(CloseRequest::AfterFlush);
        queue.wake_owner();
    }

    /// Closes like [`Outbox::finish`] but without waiting for the peer to close, for use when the connection's permit is needed.
    pub fn finish_without_linger(&self) {
        self.lock().skip_linger = true;
        self.finish();
    }

    pub(crate) fn skips_linger(&self) -> bool {
        self.lock().skip_linger
    }

    /// Closes the current connection once the outbox is flushed. Without a connection, returns false and changes
    /// nothing, so that a link can still connect.
    pub fn finish_if_connected(&self) -> bool {
        self.close_if_connected(CloseRequest::AfterFlush)
    }

    /// Closes the current connection at once, if there is one.
    pub fn close_now(&self) {
        self.close_if_connected(CloseRequest::Now);
    }

    fn close_if_connected(&self, request: CloseRequest) -> bool {
        let mut queue = self.lock();
        let connected = matches!(queue.waker, Some(Waker::Io(_)));
        if connected {
            queue.close = queue.close.max(request);
            queue.wake_owner();
        }
        connected
    }

    /// Wakes the coroutine that owns the socket, for example after the address of its link has changed.
    pub fn wake_owner(&self) {
        self.lock().wake_owner();
    }

    /// Reports whether no bytes are queued.
    pub fn is_empty(&self) -> bool {
        self.lock().pending == 0
    }

    /// Returns the Unix time in microseconds at which the connection last transferred bytes; 0 without a connection.
    pub fn last_used(&self) -> u64 {
        self.lock().last_used
    }

    /// Cancels a [`CloseRequest::AfterFlush`], for data that arrived before the close.
    pub(crate) fn cancel_close(&self) {
        let mut queue = self.lock();
        if queue.close == CloseRequest::AfterFlush {
            queue.close = CloseRequest::None;
        }
    }

    pub(crate) fn close_request(&self) -> CloseRequest {
        self.lock().close
    }

    pub(crate) fn record_activity(&self, now: u64) {
        self.lock().last_used = now;
    }

    pub(crate) fn set_waker(&self, waker: Option<Waker>) {
        self.lock().waker = waker;
    }

    /// Discards the queued bytes and any close request, before a new connection.
    pub(crate) fn clear(&self) {
        let mut queue = self.lock();
        queue.written = 0;
        queue.pending = 0;
        queue.close = CloseRequest::None;
        queue.last_used = 0;
        queue.buffers.clear();
    }

    /// Writes from the first buffer with `write`. Returns false if nothing is queued.
    ///
    /// # Errors
    /// Returns the error of `write`.
    pub(crate) fn write_first(
        &self, write: impl FnOnce(&[u8]) -> std::io::Result<usize>,
    ) -> std::io::Result<bool> {
        let mut queue = self.lock();
        let Some(buffer) = queue.buffers.front() else { return Ok(false) };
        let rest = buffer.get(queue.written..).unwrap_or(&[]);
        if rest.is_empty() {
            return Ok(false);
        }
        let rest_length = rest.len();
        let written = write(rest)?;
        queue.pending -= written;
        queue.written += written;
        if written == rest_length {
            queue.buffers.pop_front();
            queue.written = 0;
        }
        Ok(true)
    }
}
