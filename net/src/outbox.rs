//! What waits to be written to one socket: bounded, in buffers from the pool. Whoever puts something in wakes
//! the coroutine that owns the socket.

use crate::{Buf, Pool, SIZE};
use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

const FEW: usize = 4; // buffers that any connection may hold, however few are left

/// How the owner of the socket is woken.
pub(crate) enum Waker {
    Io(WaitIoWaker),
    Parked(Coroutine),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Close {
    #[default]
    No,
    /// Once all is written.
    Written,
    Now,
}

#[derive(Default)]
struct Queue {
    chunks: VecDeque<Buf>,
    done: usize, // bytes of the first chunk that were written
    waiting: usize,
    most: usize,
    close: Close,
    hurry: bool, // its place is wanted: the other side is not waited for
    waker: Option<Waker>,
    used: u64,
}

#[derive(Clone)]
pub struct Outbox(Arc<Mutex<Queue>>, Pool);

impl Outbox {
    /// `most`: bytes that may wait.
    pub fn new(pool: &Pool, most: usize) -> Outbox {
        Outbox(Arc::new(Mutex::new(Queue { most, ..Queue::default() })), pool.clone())
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Puts these pieces in, one after the other, or none of them: then the peer is too slow, or memory is
    /// short, and its connection is closed.
    pub fn put(&self, pieces: &[&[u8]]) -> bool {
        let mut queue = self.queue();
        let length: usize = pieces.iter().map(|p| p.len()).sum();
        let room = queue.chunks.back().map_or(0, |chunk| SIZE - chunk.len());
        let fresh = length.saturating_sub(room).div_ceil(SIZE);
        // A slow peer is cut off before what it holds up leaves too little for the others.
        let slow = queue.chunks.len() >= FEW;
        let taken: Vec<Buf> =
            (0..fresh).map_while(|_| if slow { self.1.take_spare() } else { self.1.take() }).collect();
        let fits = queue.waiting + length <= queue.most && taken.len() == fresh && queue.close == Close::No;
        if fits {
            queue.waiting += length;
            let mut taken = taken.into_iter();
            for mut piece in pieces.iter().copied() {
                while !piece.is_empty() {
                    if queue.chunks.back().is_none_or(|chunk| chunk.len() == SIZE) {
                        queue.chunks.extend(taken.next());
                    }
                    let Some(chunk) = queue.chunks.back_mut() else { break };
                    let (now, later) = piece.split_at(piece.len().min(SIZE - chunk.len()));
                    chunk.extend_from_slice(now);
                    piece = later;
                }
            }
        } else if queue.close == Close::No {
            queue.close = Close::Now;
        }
        wake(&queue);
        fits
    }

    /// Closes the connection once all that waits is written, be it only about to begin; nothing more is put
    /// in.
    pub fn finish(&self) {
        let mut queue = self.queue();
        queue.close = queue.close.max(Close::Written);
        wake(&queue);
    }
    /// The same, and its place is wanted: the other side is not waited for once all is written.
    pub fn finish_soon(&self) {
        self.queue().hurry = true;
        self.finish();
    }
    pub(crate) fn hurry(&self) -> bool {
        self.queue().hurry
    }
    /// The same for a link. Nothing without a connection, or it could never be made again: false then.
    pub fn let_go(&self) -> bool {
        self.close(Close::Written)
    }
    /// Closes a link at once. Nothing without a connection.
    pub fn cut(&self) {
        self.close(Close::Now);
    }
    /// Wakes the owner: the other side is to be found elsewhere from now on.
    pub fn moved(&self) {
        wake(&self.queue());
    }
    fn close(&self, how: Close) -> bool {
        let mut queue = self.queue();
        let stands = matches!(queue.waker, Some(Waker::Io(_)));
        if stands {
            queue.close = queue.close.max(how);
            wake(&queue);
        }
        stands
    }
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue().waiting == 0
    }
    /// When the connection last carried something; 0 while there is none.
    pub fn used(&self) -> u64 {
        self.queue().used
    }

    /// It is not to be closed yet after all: something has come meanwhile.
    pub(crate) fn reopen(&self) {
        let mut queue = self.queue();
        if queue.close == Close::Written {
            queue.close = Close::No;
        }
    }
    pub(crate) fn closing(&self) -> Close {
        self.queue().close
    }
    pub(crate) fn touch(&self, now: u64) {
        self.queue().used = now;
    }
    pub(crate) fn wakes(&self, waker: Option<Waker>) {
        self.queue().waker = waker;
    }
    /// Forgets what waits: a new connection begins.
    pub(crate) fn clear(&self) {
        let mut queue = self.queue();
        (queue.done, queue.waiting, queue.close, queue.used) = (0, 0, Close::No, 0);
        queue.chunks.clear();
    }
    /// Writes the first chunk through `write`; false if nothing waits.
    pub(crate) fn write(&self, write: impl FnOnce(&[u8]) -> std::io::Result<usize>) -> std::io::Result<bool> {
        let mut queue = self.queue();
        let done = queue.done;
        let Some(chunk) = queue.chunks.front().filter(|chunk| chunk.len() > done) else { return Ok(false) };
        let written = write(&chunk[done..])?;
        let whole = done + written == chunk.len();
        queue.waiting -= written;
        queue.done += written;
        if whole {
            queue.chunks.pop_front();
            queue.done = 0;
        }
        Ok(true)
    }
}

fn wake(queue: &Queue) {
    match &queue.waker {
        Some(Waker::Io(waker)) => waker.wakeup(),
        Some(Waker::Parked(owner)) => owner.unpark(),
        None => {}
    }
}
