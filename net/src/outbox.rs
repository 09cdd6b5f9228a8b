//! What waits to be written to one socket: bounded, in buffers from the pool. Whoever puts something in wakes the coroutine that
//! owns the socket.

use crate::pool::{BufferPool, PooledBuffer, BUFFER_BYTES};
use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Buffers that any connection may fill, however few are left.
const GUARANTEED_BUFFERS: usize = 4;

/// How the coroutine that owns the socket is woken.
pub(crate) enum Waker {
    /// It waits for the socket.
    Io(WaitIoWaker),
    /// It waits without a connection.
    Parked(Coroutine),
}

/// Whether the connection is to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseRequest {
    /// No.
    #[default]
    None,
    /// Once everything is written.
    AfterFlush,
    /// At once.
    Now,
}

#[derive(Default)]
struct Queue {
    buffers: VecDeque<PooledBuffer>,
    /// Bytes of the first buffer that were written.
    written: usize,
    /// Bytes that wait.
    pending: usize,
    max_pending: usize,
    close: CloseRequest,
    /// The place of the connection is needed: do not wait for the other side to close.
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

/// What waits to be written to one socket. Clones share it.
#[derive(Clone)]
pub struct Outbox {
    queue: Arc<Mutex<Queue>>,
    pool: BufferPool,
}

impl Outbox {
    /// An outbox in which at most `max_pending` bytes wait.
    pub fn new(pool: &BufferPool, max_pending: usize) -> Outbox {
        let queue = Queue { max_pending, ..Queue::default() };
        Outbox { queue: Arc::new(Mutex::new(queue)), pool: pool.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts all of these slices in, one after the other, or none of them. False for none: the peer is too slow, or memory is
    /// short, and its connection is closed; or it is about to be closed anyway.
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

    /// Up to `count` buffers. A slow peer, whose outbox has some already, is cut off before it leaves too few to the others.
    fn take_buffers(&self, count: usize, already: usize) -> Vec<PooledBuffer> {
        let slow = already >= GUARANTEED_BUFFERS;
        (0..count)
            .map_while(|_| if slow { self.pool.take_with_reserve() } else { self.pool.take() })
            .collect()
    }

    /// Closes the connection, or the one that is about to begin, once everything is written. Nothing more is put in.
    pub fn finish(&self) {
        let mut queue = self.lock();
        queue.close = queue.close.max(CloseRequest::AfterFlush);
        queue.wake_owner();
    }

    /// The same, without waiting for the other side to close: the place of the connection is needed.
    pub fn finish_without_linger(&self) {
        self.lock().skip_linger = true;
        self.finish();
    }

    pub(crate) fn skips_linger(&self) -> bool {
        self.lock().skip_linger
    }

    /// Closes the connection once everything is written. Without a connection it does nothing and returns false, so that a link
    /// can still connect.
    pub fn finish_if_connected(&self) -> bool {
        self.close_if_connected(CloseRequest::AfterFlush)
    }

    /// Closes the connection at once, if there is one.
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

    /// Wakes the coroutine that owns the socket, as after the address of its link has changed.
    pub fn wake_owner(&self) {
        self.lock().wake_owner();
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lock().pending == 0
    }

    /// When the connection last carried something, in microseconds of the Unix clock; 0 while there is none.
    pub fn last_used(&self) -> u64 {
        self.lock().last_used
    }

    /// Something arrived while the connection was about to be closed: it stays open after all.
    pub(crate) fn reopen(&self) {
        let mut queue = self.lock();
        if queue.close == CloseRequest::AfterFlush {
            queue.close = CloseRequest::None;
        }
    }

    pub(crate) fn close_request(&self) -> CloseRequest {
        self.lock().close
    }

    pub(crate) fn touch(&self, now: u64) {
        self.lock().last_used = now;
    }

    pub(crate) fn set_waker(&self, waker: Option<Waker>) {
        self.lock().waker = waker;
    }

    /// Drops what waits: a new connection begins.
    pub(crate) fn clear(&self) {
        let mut queue = self.lock();
        queue.written = 0;
        queue.pending = 0;
        queue.close = CloseRequest::None;
        queue.last_used = 0;
        queue.buffers.clear();
    }

    /// Writes the first buffer by `write`. False if nothing waits.
    ///
    /// # Errors
    /// What `write` returns.
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
